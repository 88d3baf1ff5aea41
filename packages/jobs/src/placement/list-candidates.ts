import {type DecisionContext} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {type EvacuationView} from '../evacuation/index.js';
import {type PoolLedger} from '../ledger/index.js';
import {subtractResources} from '../model/index.js';
import {type ObservationView} from '../observation/index.js';
import {type SupervisionView} from '../supervision/index.js';
import {reserveCandidate, type Candidate} from './choose-endpoint.js';
import {type PlacementState} from './placement-state.js';

type State = {readonly placement: PlacementState} & SupervisionView & DirectoryView & EvacuationView & ObservationView;

/** Lists the endpoints on which tasks of a pool may be started now, with their free resources. @internal */
export function listCandidates({
	supervision, directory, evacuation, placement, observation,
}: State, pool: Readonly<PoolLedger>, context: DecisionContext): Candidate[] {
	const candidates: Candidate[] = [];
	for (const supervised of supervision.endpoints.values()) {
		const endpoint = directory.endpoints.get(supervised.id);
		if (supervised.hasUnknownUsage || supervised.pool !== pool.pool || supervised.phase !== 'answering' || endpoint?.state !== 'ready' || !pool.rosterEndpointIds.has(supervised.id)) {
			continue;
		}

		const health = observation.endpoints.get(supervised.id);
		if (context.now < supervised.startsPausedUntil || context.now < (health?.avoidUntil ?? 0) || evacuation.requests.has(supervised.id)) {
			continue;
		}

		const {resources, fillerCount, servingCount} = supervised.usage;
		const candidate: Candidate = {
			endpoint,
			free: subtractResources(endpoint.capacity, resources),
			fillerCount,
			servingCount,
			slowness: health?.slowness ?? 1,
		};
		for (const step of placement.reservedSteps.get(supervised.id)?.values() ?? []) {
			reserveCandidate(candidate, step);
		}

		candidates.push(candidate);
	}

	return candidates;
}
