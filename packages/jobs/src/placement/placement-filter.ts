import {restartEvent, type DecisionContext} from '@pistachiogauge/chain';
import {getConfirmedAt, getPermittedMs, type AuthorityView} from '../authority/index.js';
import {type DirectoryView} from '../directory/index.js';
import {type EvacuationView} from '../evacuation/index.js';
import {emitCount, type JobFilter, type JobOutput} from '../filter.js';
import {
	findTask, type Job, type LedgerView, type Step,
} from '../ledger/index.js';
import {getJobEstimate, type ObservationView} from '../observation/index.js';
import {startValidityMs, type SupervisionView} from '../supervision/index.js';
import {type Candidate} from './choose-endpoint.js';
import {listCandidates} from './list-candidates.js';
import {
	listReadySteps, orderJobs, rankJob, type RankedJob,
} from './order-jobs.js';
import {isPending, placeGang, placeStep} from './place-step.js';
import {type PlacementState} from './placement-state.js';
import {expireTicket, recordAdvice, removeUnusedAdvice} from './step-advice.js';

/** The search ends after the job in which the number of steps with tasks that fit on no endpoint reaches this limit; steps of later jobs are rarely much smaller. */
const maxUnplacedSteps = 24;
/** Minimum time between two searches of a pool for tasks to start. In a burst a run ends every few ms, a search takes about 1 ms, and tasks last hundreds of ms. */
const minSearchIntervalMs = 8;
/** Addition to that interval for each job of the pool, as a search ranks them all. A task that starts some ms later costs less than an owner that has no processor time left to start any. */
const searchIntervalPerJobMs = 0.05;
/** A pool is searched again after this time even if no change was reported: avoided endpoints may have become usable, and the rank of a job depends on its age. */
const maxSearchIntervalMs = 50;

type State = {readonly placement: PlacementState} & AuthorityView & LedgerView & SupervisionView & DirectoryView & EvacuationView & ObservationView;

/**
Chooses which tasks to start, and on which endpoints.

@public
*/
export const placementFilter: JobFilter<State> = {
	name: 'placement',
	handlers: {
		'placement-due'(state, {pool}, context) {
			const lastSearchAt = state.placement.searchedAt.get(pool) ?? Number.NEGATIVE_INFINITY;
			const jobCount = state.ledger.pools.get(pool)?.activeJobs.size ?? 0;
			if (context.now >= lastSearchAt + minSearchIntervalMs + (searchIntervalPerJobMs * jobCount)) {
				return placeTasks(state, pool, context);
			}

			// Changes with the same time come from one input. The search sees all of them, as it runs after them.
			if (context.now > lastSearchAt) {
				state.placement.duePools.add(pool);
			}

			return [];
		},
		'task-placed'({placement}, {endpointId, taskId}) {
			placement.reservedSteps.get(endpointId)?.delete(taskId);
			return [];
		},
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
			const {duePools, searchedAt} = state.placement;
			return [...state.ledger.pools.keys()]
				.filter(pool => duePools.has(pool) || context.now >= (searchedAt.get(pool) ?? 0) + maxSearchIntervalMs)
				.flatMap(pool => placeTasks(state, pool, context));
		},
	},
};

function placeTasks(state: State, poolName: string, context: DecisionContext): JobOutput[] {
	const pool = state.ledger.pools.get(poolName);
	state.placement.duePools.delete(poolName);
	state.placement.searchedAt.set(poolName, context.now);
	// A start is valid for some time after it is sent, which has to end with this entry's permission.
	if (pool === undefined || pool.activeJobs.size === 0 || getPermittedMs(state, poolName, context) < startValidityMs) {
		return [];
	}

	const waiting = [...pool.activeJobs].filter(job => hasPendingTasks(job.steps.values()));
	if (waiting.length === 0) {
		return [];
	}

	const confirmedAt = getConfirmedAt(state, poolName);
	const candidates = listCandidates(state, pool, context);
	// A restarted endpoint has forgotten the token of a later owner. Only a confirmation since then tells that there is none.
	const getStartableSince = ({endpoint}: Candidate) => state.supervision.endpoints.get(endpoint.id)!.startableSince;
	const usable = candidates.filter(candidate => getStartableSince(candidate) <= confirmedAt);
	// A job that was stored after another entry had claimed the pool is not held back there by a survey of this entry's endpoints.
	const confirmed = waiting.filter(job => job.firstSeenAt <= confirmedAt);
	const outputs: JobOutput[] = [];
	if (candidates.some(candidate => getStartableSince(candidate) > confirmedAt && getStartableSince(candidate) <= context.now) || (confirmed.length < waiting.length && candidates.length > 0)) {
		outputs.push(restartEvent({kind: 'claim-confirmation-due', pool: poolName}));
	}

	if (usable.length === 0) {
		return outputs;
	}

	outputs.push(emitCount('placement_searches_total'));
	let unplacedStepCount = 0;
	for (const {job} of orderJobs(confirmed, job => getJobEstimate(state, job, context.now), sumCapacityMillis(usable), context.now)) {
		if (job.isAwaitingSurvey) {
			continue;
		}

		for (const step of listReadySteps(job)) {
			const place = step.spec.isGang ? placeGang : placeStep;
			const {outputs: placed, isIncomplete} = place(state, step, usable, context);
			outputs.push(...placed);
			unplacedStepCount += isIncomplete ? 1 : 0;
		}

		if (unplacedStepCount >= maxUnplacedSteps) {
			break;
		}
	}

	return outputs;
}

function sumCapacityMillis(candidates: readonly Candidate[]): number {
	return candidates.reduce((sum, {endpoint}) => sum + endpoint.capacity.cpuMillis, 0);
}

/** Ranks a job by the durations measured so far. @internal */
export function rankByMeasuredDurations(state: ObservationView, job: Job, now: number): RankedJob {
	return rankJob(job, getJobEstimate(state, job, now), now);
}

function hasPendingTasks(steps: Iterable<Step>): boolean {
	for (const step of steps) {
		if (step.doneCount < step.tasks.length && step.tasks.some(task => isPending(task))) {
			return true;
		}
	}

	return false;
}
