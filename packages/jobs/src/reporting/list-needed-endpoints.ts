import {type DirectoryView} from '../directory/index.js';
import {type EvacuationView} from '../evacuation/index.js';
import {
	isStepDone, isStepReady, listPendingTasks, type Job, type LedgerView, type PoolLedger, type Step,
} from '../ledger/index.js';
import {hasCapacityFor, subtractResources} from '../model/index.js';
import {isRetryDelayed, type ObservationView} from '../observation/index.js';
import {
	addCount, chooseEndpoint, countRunsByEndpoint, reserveCandidate, type Candidate,
} from '../placement/index.js';
import {getAllowance, measurePoolUsage, type QuotaView} from '../quota/index.js';
import {type SupervisionView} from '../supervision/index.js';

type State = DirectoryView & EvacuationView & ObservationView & SupervisionView & LedgerView & QuotaView;

/** Tasks that have waited for this long have not been placed in many searches, so no other endpoint can take them now; endpoints are back well before the 3 s for which nothing of a job may run. */
const minWaitMs = 1500;
/** Maximum number of waiting tasks that are looked at for a report. */
const maxTasks = 500;

/**
Lists endpoints that are being evacuated and could run tasks that stand still, as few as these need. Tasks of jobs that have others running wait for capacity, which the fleet's holder weighs against that of other pools.

@internal
*/
export function listNeededEndpoints(state: State, pool: Readonly<PoolLedger>, now: number): string[] {
	const candidates = listEvacuatedCandidates(state, pool.pool);
	const needed = new Set<Candidate>();
	let taskCount = 0;
	const isHeldByCap = createCapCheck(state, pool);
	for (const step of candidates.length === 0 ? [] : listStandingSteps(pool.activeJobs)) {
		if (isHeldByCap(step)) {
			continue;
		}

		const counts = countRunsByEndpoint(step);
		for (const task of listPendingTasks(step)) {
			if (needed.size === candidates.length || taskCount >= maxTasks) {
				return listIds(needed);
			}

			if (now < task.idleSince + minWaitMs || isRetryDelayed(state, task, now)) {
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
				endpoint, free: subtractResources(endpoint.capacity, resources), fillerCount, servingCount, startsLeft: Number.POSITIVE_INFINITY, slowness: 1,
			});
		}
	}

	return candidates;
}

/** Lists the ready steps of long-running tasks, and those of jobs of which nothing runs. */
function * listStandingSteps(jobs: Iterable<Job>): Generator<Step> {
	for (const job of jobs) {
		const isRunning = [...job.steps.values()].some(({tasks}) => [...tasks.started.values()].some(({runs}) => runs.size > 0));
		for (const step of job.isAwaitingSurvey ? [] : job.steps.values()) {
			if (!isStepDone(step) && (step.spec.isLongRunning || !isRunning) && isStepReady(step)) {
				yield step;
			}
		}
	}
}

/** Creates the check whether the cap of a step's account keeps its tasks from starting; an endpoint would not help them. */
function createCapCheck(state: State, pool: Readonly<PoolLedger>): (step: Step) => boolean {
	let usage: ReturnType<typeof measurePoolUsage> | undefined;
	return ({job: {record: {account}}, spec}) => {
		const allowance = account === undefined ? undefined : getAllowance(state, pool.pool, account);
		if (account === undefined || allowance === undefined) {
			return false;
		}

		usage ??= measurePoolUsage(state, pool);
		const used = usage.get(account)?.possible;
		return !hasCapacityFor(used === undefined ? allowance : subtractResources(allowance, used), spec.room);
	};
}
