import {type DecisionContext} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {type EvacuationView} from '../evacuation/index.js';
import {type PoolLedger} from '../ledger/index.js';
import {type ObservationView} from '../observation/index.js';
import {canTakeStarts, type SupervisedEndpoint, type SupervisionView} from '../supervision/index.js';
import {type EndpointUse, type PlacementState} from './placement-state.js';

type State = {readonly placement: PlacementState} & SupervisionView & DirectoryView & EvacuationView & ObservationView;
type Exclusion = Exclude<EndpointUse, 'usable'>;
type ExclusionCheck = (state: State, endpoint: Readonly<SupervisedEndpoint>, pool: Readonly<PoolLedger>, context: DecisionContext) => boolean;

/** The first exclusion that holds counts. */
const exclusionChecks: Readonly<Record<Exclusion, ExclusionCheck>> = {
	silent: (_state, {phase}) => phase !== 'answering',
	'unanswered-order': (_state, endpoint, _pool, {now}) => !canTakeStarts(endpoint, now),
	'not-ready': ({directory}, {id}) => directory.endpoints.get(id)?.state !== 'ready',
	'evacuated-for-move': ({evacuation}, {id}) => evacuation.requests.get(id)?.purpose === 'move',
	'evacuated-for-maintenance': ({evacuation}, {id}) => evacuation.requests.get(id)?.purpose === 'maintenance',
	'unknown-usage': (_state, {hasUnknownUsage}) => hasUnknownUsage,
	'not-on-roster': (_state, {id}, {rosterEndpointIds}) => !rosterEndpointIds.has(id),
	paused: (_state, {startsPausedUntil}, _pool, {now}) => now < startsPausedUntil,
	avoided: ({observation}, {id}, _pool, {now}) => now < (observation.endpoints.get(id)?.avoidUntil ?? 0),
};

/** Finds out whether tasks may be started on an endpoint, and records since when that or the reason against it holds. @internal */
export function updateEndpointUse(state: State, endpoint: Readonly<SupervisedEndpoint>, pool: Readonly<PoolLedger>, context: DecisionContext): EndpointUse {
	const {endpointUses} = state.placement;
	const exclusion = (Object.keys(exclusionChecks) as Exclusion[]).find(each => exclusionChecks[each](state, endpoint, pool, context));
	const use = exclusion ?? 'usable';
	if (endpointUses.get(endpoint.id)?.use !== use) {
		endpointUses.set(endpoint.id, {pool: pool.pool, use, since: context.now});
	}

	return use;
}

/** Number of endpoints in each use, and the time in ms for which the first of them has been in it. @internal */
export type EndpointUseSummary = Partial<Record<EndpointUse, {count: number; longestMs: number}>>;

/** Counts the endpoints of a pool by their use. @internal */
export function countEndpointUses({endpointUses}: PlacementState, poolName: string, now: number): EndpointUseSummary {
	const summary: EndpointUseSummary = {};
	for (const {pool, use, since} of endpointUses.values()) {
		if (pool === poolName) {
			const {count, longestMs} = summary[use] ?? {count: 0, longestMs: 0};
			summary[use] = {count: count + 1, longestMs: Math.max(longestMs, Math.round(now - since))};
		}
	}

	return summary;
}
