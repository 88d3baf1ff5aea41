import {appendItems, restartEvent, type DecisionContext} from '@pistachiogauge/chain';
import {getConfirmedAt, getPermittedMs, type AuthorityView} from '../authority/index.js';
import {type DirectoryView} from '../directory/index.js';
import {type EvacuationView} from '../evacuation/index.js';
import {emitCount, type JobFilter, type JobOutput} from '../filter.js';
import {
	findTask, hasPendingTask, isStepDone, isStepReady, type Job, type LedgerView, type PoolLedger, type Step,
} from '../ledger/index.js';
import {getJobEstimate, type ObservationView} from '../observation/index.js';
import {type QuotaView} from '../quota/index.js';
import {startValidityMs, type SupervisionView} from '../supervision/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {createAccountBudgets, reportAccountDemand, selectWithinBudgets} from './account-budgets.js';
import {type Candidate} from './choose-endpoint.js';
import {orderWaitingJobs, preemptForWaitingJobs, rankJobs} from './displacement-policies.js';
import {dropLostPlacements} from './drop-lost-placements.js';
import {countSearchStarts} from './limit-starts.js';
import {listCandidates} from './list-candidates.js';
import {measureDiscardedWork, recordPreemptedEnd} from './measure-discarded.js';
import {
	listReadySteps, orderByLargestFirst, rankJob, type RankedJob,
} from './order-jobs.js';
import {
	placeGang, placeStep, type PlacementResult,
} from './place-step.js';
import {
	createPlacementSearch, getKnownWaitReason, isAttainable, recordWaitingJob, reportWaitingJobs, type PlacementSearch,
} from './placement-search.js';
import {type PlacementState} from './placement-state.js';
import {
	expireTicket, isBarredEverywhere, recordAdvice, removeUnusedAdvice,
} from './step-advice.js';

/** Minimum time between two searches of a pool for tasks to start. In a burst a run ends every few ms, a search takes about 1 ms, and tasks last hundreds of ms. */
const minSearchIntervalMs = 8;
/** Addition to that interval for each job that is ranked. A task that starts some ms later costs less than an owner that has no processor time left to start any. */
const searchIntervalPerRankedJobMs = 0.05;
/** The same for each job that no endpoint can take, which is not ranked. */
const searchIntervalPerUnattainableJobMs = 0.005;
/** A pool is searched again after this time even if no change was reported: avoided endpoints may have become usable, and the rank of a job depends on its age. */
const maxSearchIntervalMs = 50;

/** @internal */
export type PlacementFilterState = {readonly placement: PlacementState} & AuthorityView & LedgerView & SupervisionView & DirectoryView & EvacuationView & ObservationView & QuotaView & ConfigurationView;

type State = PlacementFilterState;

/**
Chooses which tasks to start, and on which endpoints.

@public
*/
export const placementFilter: JobFilter<State> = {
	name: 'placement',
	handlers: {
		'placement-due'(state, {pool}, context) {
			const lastSearchAt = state.placement.searchedAt.get(pool) ?? Number.NEGATIVE_INFINITY;
			const {ranked, unattainable} = state.placement.searchSizes.get(pool) ?? {ranked: 0, unattainable: 0};
			if (context.now >= lastSearchAt + minSearchIntervalMs + (searchIntervalPerRankedJobMs * ranked) + (searchIntervalPerUnattainableJobMs * unattainable)) {
				return placeTasks(state, pool, context);
			}

			// Changes with the same time come from one input. The search sees all of them, as it runs after them.
			if (context.now > lastSearchAt) {
				state.placement.duePools.add(pool);
			}

			return [];
		},
		'pool-lost'({placement}, {pool}) {
			for (const [id, endpoint] of placement.endpointUses) {
				if (endpoint.pool === pool) {
					placement.endpointUses.delete(id);
				}
			}

			placement.displacements.delete(pool);
			return [];
		},
		'endpoint-forgotten'({placement}, {endpointId}) {
			placement.endpointUses.delete(endpointId);
			return [];
		},
		'task-placed'({placement}, {endpointId, taskId}) {
			placement.reservedSteps.get(endpointId)?.delete(taskId);
			return [];
		},
		'run-ended'(state, {pool, end: {taskId, run}, percent}) {
			recordPreemptedEnd(state, pool, taskId, {run, percent});
			return [];
		},
		'poll-answered': (state, {endpointId}) => measureDiscardedWork(state, endpointId),
		'advice-answered': (state, event, context) => [
			...recordAdvice(state, event, context),
			...placeTasks(state, event.pool, context),
		],
		'start-refused'(state, {endpointId, taskId, refusal}, context) {
			const pool = state.supervision.endpoints.get(endpointId)?.pool;
			const task = pool === undefined ? undefined : findTask(state.ledger.pools.get(pool), taskId);
			if (refusal === 'no-ticket' && task !== undefined) {
				expireTicket(state, task.step, endpointId, context);
			}

			return [];
		},
		tick(state, _event, context) {
			removeUnusedAdvice(state);
			const outputs = dropLostPlacements(state);
			const {duePools, searchedAt} = state.placement;
			return [
				...outputs,
				...[...state.ledger.pools.keys()]
					.filter(pool => duePools.has(pool) || context.now >= (searchedAt.get(pool) ?? 0) + maxSearchIntervalMs)
					.flatMap(pool => placeTasks(state, pool, context)),
			];
		},
	},
};

function placeTasks(state: State, poolName: string, context: DecisionContext): JobOutput[] {
	const pool = state.ledger.pools.get(poolName);
	state.placement.duePools.delete(poolName);
	state.placement.searchedAt.set(poolName, context.now);
	// A start is valid for some time after it is sent, which has to end with this entry's permission.
	if (pool === undefined || pool.activeJobs.size === 0 || getPermittedMs(state, poolName, context) < startValidityMs) {
		return reportAccountDemand(state, poolName, undefined, context);
	}

	const waiting = [...pool.activeJobs].filter(job => hasPendingTasks(job.steps.values()));
	if (waiting.length === 0) {
		state.placement.searchSizes.delete(poolName);
		return reportAccountDemand(state, poolName, undefined, context);
	}

	const confirmedAt = getConfirmedAt(state, poolName);
	const candidates = listCandidates(state, pool, context);
	// A restarted endpoint has forgotten the token of a later owner. Only a confirmation since then tells that there is none.
	const usable = candidates.filter(candidate => getStartableSince(state, candidate) <= confirmedAt);
	// A job that was stored after another entry had claimed the pool is not held back there by a survey of this entry's endpoints.
	const confirmed = waiting.filter(job => job.firstSeenAt <= confirmedAt);
	const outputs: JobOutput[] = [];
	if (candidates.some(candidate => getStartableSince(state, candidate) > confirmedAt && getStartableSince(state, candidate) <= context.now) || (confirmed.length < waiting.length && candidates.length > 0)) {
		outputs.push(restartEvent({kind: 'claim-confirmation-due', pool: poolName}));
	}

	const search = createPlacementSearch(usable, createAccountBudgets(state, pool, context), countSearchStarts(state));
	if (usable.length > 0) {
		outputs.push(emitCount('placement_searches_total'));
		appendItems(outputs, placeJobs(state, pool, search, confirmed, context));
	}

	for (const job of waiting) {
		if (job.firstSeenAt > confirmedAt) {
			recordWaitingJob(search, job, 'claim');
		} else if (usable.length === 0) {
			recordWaitingJob(search, job, 'no-endpoint');
		}
	}

	// The demand comes last, so that the tasks placed here are counted as started when shares are compared with it.
	return [...outputs, ...reportWaitingJobs(state.placement, poolName, search, context), ...reportAccountDemand(state, poolName, search, context)];
}

/** Returns the time of this entry's claim, in monotonic ms, that has to be confirmed before tasks are started on a candidate. @internal */
export function getStartableSince({supervision}: SupervisionView, {endpoint}: Candidate): number {
	return supervision.endpoints.get(endpoint.id)!.startableSince;
}

/** Orders the jobs that a search tries by their ranks. Jobs that no endpoint can take are left out, as they would displace others, and so are those that their accounts' budgets hold back. @internal */
export function orderStartableJobs(state: State, pool: Readonly<PoolLedger>, search: PlacementSearch, waiting: readonly Job[], context: DecisionContext): {readonly ordered: RankedJob[]; readonly outputs: JobOutput[]} {
	const attainable = waiting.filter(job => hasAttainableStep(state, search, job));
	state.placement.searchSizes.set(pool.pool, {ranked: attainable.length, unattainable: waiting.length - attainable.length});
	const capacityMillis = sumCapacityMillis(search.candidates);
	// The jobs of one account compete for what it may have running.
	const orderAccountJobs = (jobs: readonly Job[], allowanceMillis: number) => orderByLargestFirst(rankJobs(state, jobs, context.now), Math.min(capacityMillis, allowanceMillis));
	const {selected, held} = selectWithinBudgets(state, search, attainable, orderAccountJobs, context);
	for (const job of held) {
		recordWaitingJob(search, job, 'account-cap');
	}

	return orderWaitingJobs(state, {pool, waiting: selected, capacityMillis}, context);
}

/** Places the tasks of the waiting jobs in the order of their ranks. */
function placeJobs(state: State, pool: Readonly<PoolLedger>, search: PlacementSearch, waiting: readonly Job[], context: DecisionContext): JobOutput[] {
	const {ordered, outputs} = orderStartableJobs(state, pool, search, waiting, context);
	for (const {job} of ordered) {
		if (job.isAwaitingSurvey) {
			recordWaitingJob(search, job, 'survey');
			continue;
		}

		for (const step of listReadySteps(job)) {
			const {outputs: placed, waitReason} = placeWaitingStep(state, search, step, context);
			appendItems(outputs, placed);
			if (waitReason !== undefined) {
				recordWaitingJob(search, job, waitReason);
			}
		}
	}

	return [...outputs, ...preemptForWaitingJobs(state, pool, search, ordered, context)];
}

/** Whether an endpoint could take a task of one of the job's ready steps if it had no runs; if not, the job waits for another endpoint. */
function hasAttainableStep(state: State, search: PlacementSearch, job: Job): boolean {
	let hasReadyStep = false;
	for (const step of job.steps.values()) {
		if (isStepDone(step) || !isStepReady(step)) {
			continue;
		}

		if (isAttainable(search, step) && !isBarredEverywhere(state, step, search.candidates)) {
			return true;
		}

		hasReadyStep = true;
	}

	if (!hasReadyStep) {
		return true;
	}

	recordWaitingJob(search, job, 'no-endpoint');
	return false;
}

/** Places the pending tasks of a step, unless it is known that none can start. @internal */
export function placeWaitingStep(state: State, search: PlacementSearch, step: Step, context: DecisionContext): PlacementResult {
	if (!hasPendingTask(step)) {
		return {outputs: [], waitReason: undefined};
	}

	const knownReason = getKnownWaitReason(state.placement, search, step, context);
	if (knownReason !== undefined) {
		return {outputs: [], waitReason: knownReason};
	}

	return step.spec.isGang ? placeGang(state, step, search, context) : placeStep(state, step, search, context);
}

function sumCapacityMillis(candidates: readonly Candidate[]): number {
	return candidates.reduce((sum, {endpoint}) => sum + endpoint.capacity.cpuMillis, 0);
}

/** Ranks a job by the durations measured so far. @internal */
export function rankByMeasuredDurations(state: ObservationView, job: Job, now: number): RankedJob {
	return rankJob(job, getJobEstimate(state, job, now), now);
}

/** Whether a task of any of the steps waits for a start. @internal */
export function hasPendingTasks(steps: Iterable<Step>): boolean {
	for (const step of steps) {
		if (hasPendingTask(step)) {
			return true;
		}
	}

	return false;
}
