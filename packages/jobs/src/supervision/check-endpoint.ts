import {
	appendItems, passEvent, restartEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {getConfirmedAt, type AuthorityView} from '../authority/index.js';
import {emitLog, type JobOutput} from '../filter.js';
import {dropRun, dropRuns} from './drop-runs.js';
import {recordFormerEndpoint} from './former-endpoints.js';
import {hasLeaseExpired} from './lease-clock.js';
import {pollIfDue} from './poll-endpoint.js';
import {type SupervisedEndpoint, type SupervisionState} from './supervision-state.js';

/** Time without an answer after which an endpoint is recorded as silent; a single lost answer is compensated by the next poll before that. */
const silentReportDelayMs = 1000;

type State = {readonly supervision: SupervisionState} & AuthorityView;

/** Does what is due for an endpoint: drops its runs when its lease has expired, records it as silent, polls it, or ends its supervision. @internal */
export function checkEndpoint(state: State, endpoint: SupervisedEndpoint, context: DecisionContext): JobOutput[] {
	const {supervision} = state;
	const outputs: JobOutput[] = [];
	if (!endpoint.isListed && endpoint.phase === 'silent' && endpoint.runs.size === 0 && endpoint.unsupervisedRuns.length === 0 && endpoint.unsavedEnds.size === 0) {
		// It has answered under this claim, so that only runs that this entry has started or seen can be running there.
		return removeEndpoint(supervision, endpoint, context);
	}

	const confirmedAt = getConfirmedAt(state, endpoint.pool);
	if (endpoint.phase !== 'answering' && endpoint.phase !== 'expired' && hasLeaseExpired(endpoint, context.now) && !hasLeaseExpired(endpoint, confirmedAt)) {
		// If this entry has lost the claim meanwhile, the next owner may have renewed the lease.
		outputs.push(restartEvent({kind: 'claim-confirmation-due', pool: endpoint.pool}));
	}

	if (endpoint.phase !== 'answering' && hasLeaseExpired(endpoint, confirmedAt)) {
		appendItems(outputs, dropExpiredRuns(endpoint, confirmedAt));
		if (!endpoint.isListed && !endpoint.isPollPending && endpoint.runs.size === 0) {
			return [...outputs, ...removeEndpoint(supervision, endpoint, context)];
		}

		if (endpoint.phase !== 'expired') {
			endpoint.phase = 'expired';
			outputs.push(emitLog('warn', 'lease of endpoint expired', {endpoint: endpoint.id, pool: endpoint.pool, silentMs: Math.round(context.now - (endpoint.silentSince ?? context.now))}));
		}
	}

	if (endpoint.phase !== 'answering' && endpoint.areRunsKnown) {
		appendItems(outputs, recordSilence(endpoint, context));
	}

	return [...outputs, ...pollIfDue(state, endpoint, context)];
}

/** Drops the runs of an endpoint whose lease has expired, but for starts that a later process may still carry out. */
function dropExpiredRuns(endpoint: SupervisedEndpoint, confirmedAt: number): JobOutput[] {
	if (confirmedAt > endpoint.lateStartsUntil) {
		return dropRuns(endpoint, 'lease-expired');
	}

	return [...endpoint.runs.values()].filter(({listedByProcess}) => listedByProcess !== undefined).flatMap(run => dropRun(endpoint, run, 'lease-expired'));
}

/** Records the runs of an endpoint that has been silent for some time, and again when they change. */
function recordSilence(endpoint: SupervisedEndpoint, {now}: DecisionContext): JobOutput[] {
	// A task whose end is not saved would be started again by the next owner, and the endpoint may list the end later.
	const unsettled = [
		...[...endpoint.runs.values()].map(({taskId, run}) => ({taskId, run})),
		...[...endpoint.unsavedEnds.values()].filter(({taskId}) => !endpoint.runs.has(taskId)),
	];
	const isDue = endpoint.silentSince === undefined || now > endpoint.silentSince + silentReportDelayMs;
	if (!isDue || endpoint.reportedRunCount === unsettled.length) {
		return [];
	}

	endpoint.reportedRunCount = unsettled.length;
	return [
		emitLog('info', 'runs on silent endpoint recorded', {
			endpoint: endpoint.id, pool: endpoint.pool, token: endpoint.token, runs: endpoint.runs.size, unsavedEnds: endpoint.unsavedEnds.size,
		}),
		passEvent({
			kind: 'endpoint-silent', pool: endpoint.pool, endpointId: endpoint.id, runs: unsettled,
		}),
	];
}

function removeEndpoint(supervision: SupervisionState, endpoint: SupervisedEndpoint, {now}: DecisionContext): JobOutput[] {
	supervision.endpoints.delete(endpoint.id);
	recordFormerEndpoint(supervision.pools.get(endpoint.pool)!, endpoint, now);
	return [
		emitLog('info', 'supervision of endpoint ended', {endpoint: endpoint.id, pool: endpoint.pool, phase: endpoint.phase}),
		passEvent({kind: 'endpoint-forgotten', pool: endpoint.pool, endpointId: endpoint.id}),
	];
}
