import {type DirectoryView} from '../directory/index.js';
import {type EvacuationView} from '../evacuation/index.js';
import {
	isStepReady, type Job, type PoolLedger, type Step,
} from '../ledger/index.js';
import {subtractResources} from '../model/index.js';
import {isRetryDelayed, type ObservationView} from '../observation/index.js';
import {
	addCount, chooseEndpoint, countRunsByEndpoint, isPending, reserveCandidate, type Candidate,
} from '../placement/index.js';
import {type SupervisionView} from '../supervision/index.js';

type State = DirectoryView & EvacuationView & ObservationView & SupervisionView;

/** A task that has waited for this long has not been placed in several searches, so no other endpoint can take it now. */
const minWaitMs = 300;
/** Maximum number of waiting tasks that are looked at for a report. */
const maxTasks = 500;

/** Lists endpoints that are being evacuated and could run tasks that wait, as few as these need. @internal */
export function listNeededEndpoints(state: State, pool: Readonly<PoolLedger>, now: number): string[] {
	const candidates = listEvacuatedCandidates(state, pool.pool);
	const needed = new Set<Candidate>();
	let taskCount = 0;
	for (const step of candidates.length === 0 ? [] : listWaitingSteps(pool.activeJobs)) {
		const counts = countRunsByEndpoint(step);
		for (const task of step.tasks) {
			if (needed.size === candidates.length || taskCount >= maxTasks) {
				return listIds(needed);
			}

			if (!isPending(task) || now < task.idleSince + minWaitMs || isRetryDelayed(state, task, now)) {
				continue;
			}

			taskCount += 1;
			const chosen = chooseEndpoint([...needed], task, counts, undefined) ?? chooseEndpoint(candidates, task, counts, undefined);
			if (chosen === undefined) {
				break;
			}

			addCount(counts, chosen.endpoint.id);
			reserveCandidate(chosen, step);
			needed.add(chosen);
		}
	}

	return listIds(needed);
}

function listIds(candidates: ReadonlySet<Candidate>): string[] {
	return [...candidates].map(({endpoint}) => endpoint.id).sort();
}

function listEvacuatedCandidates({directory, evacuation, supervision}: State, poolName: string): Candidate[] {
	const candidates: Candidate[] = [];
	for (const {endpointId, pool} of evacuation.requests.values()) {
		const endpoint = directory.endpoints.get(endpointId);
		const supervised = supervision.endpoints.get(endpointId);
		if (pool === poolName && endpoint?.state === 'ready' && supervised?.phase === 'answering' && !supervised.hasUnknownUsage) {
			const {resources, fillerCount, servingCount} = supervised.usage;
			candidates.push({
				endpoint, free: subtractResources(endpoint.capacity, resources), fillerCount, servingCount, slowness: 1,
			});
		}
	}

	return candidates;
}

function * listWaitingSteps(jobs: Iterable<Job>): Generator<Step> {
	for (const job of jobs) {
		for (const step of job.isAwaitingSurvey ? [] : job.steps.values()) {
			if (step.doneCount < step.tasks.length && isStepReady(step)) {
				yield step;
			}
		}
	}
}
