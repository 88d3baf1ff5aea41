import {type DecisionContext} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {type EvacuationView} from '../evacuation/index.js';
import {type PoolLedger} from '../ledger/index.js';
import {subtractResources} from '../model/index.js';
import {type ObservationView} from '../observation/index.js';
import {type SupervisionView} from '../supervision/index.js';
import {reserveCandidate, type Candidate} from './choose-endpoint.js';
import {updateEndpointUse} from './endpoint-use.js';
import {countStartsLeft} from './limit-starts.js';
import {type PlacementState} from './placement-state.js';

type State = {readonly placement: PlacementState} & SupervisionView & DirectoryView & EvacuationView & ObservationView;

/** Lists the endpoints on which tasks of a pool may be started now, with their free resources. @internal */
export function listCandidates(state: State, pool: Readonly<PoolLedger>, context: DecisionContext): Candidate[] {
	const {supervision, directory, placement, observation} = state;
	const candidates: Candidate[] = [];
	for (const supervised of supervision.endpoints.values()) {
		const endpoint = directory.endpoints.get(supervised.id);
		if (supervised.pool !== pool.pool || updateEndpointUse(state, supervised, pool, context) !== 'usable' || endpoint === undefined) {
			continue;
		}

		const {resources, fillerCount, servingCount} = supervised.usage;
		const candidate: Candidate = {
			endpoint,
			free: subtractResources(endpoint.capacity, resources),
			fillerCount,
			servingCount,
			startsLeft: countStartsLeft(supervised),
			slowness: observation.endpoints.get(supervised.id)?.slowness ?? 1,
		};
		for (const step of placement.reservedSteps.get(supervised.id)?.values() ?? []) {
			reserveCandidate(candidate, step);
		}

		candidates.push(candidate);
	}

	return candidates;
}
