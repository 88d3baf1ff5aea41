import {restartEvent, type DecisionContext} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {type EvacuationView} from '../evacuation/index.js';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {
	type Job, type LedgerView, type PoolLedger, type Step, type Task,
} from '../ledger/index.js';
import {subtractResources} from '../model/index.js';
import {type ObservationView} from '../observation/index.js';
import {getUsedResources, type SupervisionView} from '../supervision/index.js';
import {adviseStep} from './advise-step.js';
import {chooseEndpoint, takeCandidate, type Candidate} from './choose-endpoint.js';
import {
	getOpenSteps, orderJobs, rankJob, type RankedJob,
} from './order-jobs.js';
import {type PlacementState} from './placement-state.js';

/** Steps that find no room before the search ends; those after them are seldom much smaller. */
const missLimit = 24;
/** Least time in ms between two searches of a pool. In a pool's turn ends come every few ms, each search costs about one, and tasks last hundreds. */
const searchPauseMs = 8;
/** Time in ms after which a pool is searched again though nothing was told: endpoints that were avoided may be used again, and jobs rank by their age. */
const searchAgainMs = 50;

type State = {readonly placement: PlacementState} & LedgerView & SupervisionView & DirectoryView & EvacuationView & ObservationView;

/**
Chooses which tasks start, and where.

@public
*/
export const placementFilter: JobFilter<State> = {
	name: 'placement',
	handlers: {
		'placement-due'(state, {pool}, context) {
			const placedAt = state.placement.placedAt.get(pool) ?? Number.NEGATIVE_INFINITY;
			if (context.now >= placedAt + searchPauseMs) {
				return placeTasks(state, pool, context);
			}

			// Several things that one input has changed are seen by one search, as it comes after them.
			if (context.now > placedAt) {
				state.placement.due.add(pool);
			}

			return [];
		},
		'task-placed'({placement}, {endpointId, taskId}) {
			placement.reserved.get(endpointId)?.delete(taskId);
			return [];
		},
		'advice-answered'(state, {pool, stepId, tickets, validMs}, context) {
			state.placement.adviceAsked.delete(stepId);
			if (tickets === undefined) {
				return [];
			}

			state.placement.advice.set(stepId, {tickets, validUntil: context.now + validMs});
			return placeTasks(state, pool, context);
		},
		tick(state, _event, context) {
			const {due, placedAt} = state.placement;
			return [...state.ledger.pools.keys()]
				.filter(pool => due.has(pool) || context.now >= (placedAt.get(pool) ?? 0) + searchAgainMs)
				.flatMap(pool => placeTasks(state, pool, context));
		},
	},
};

function placeTasks(state: State, poolName: string, context: DecisionContext): JobOutput[] {
	const pool = state.ledger.pools.get(poolName);
	state.placement.due.delete(poolName);
	state.placement.placedAt.set(poolName, context.now);
	if (pool === undefined || pool.activeJobs.size === 0) {
		return [];
	}

	const waiting = [...pool.activeJobs].filter(job => hasPending(job.steps.values()));
	if (waiting.length === 0) {
		return [];
	}

	const candidates = getCandidates(state, pool, context);
	if (candidates.length === 0) {
		return [];
	}

	const outputs: JobOutput[] = [emitCount('placement_searches_total')];
	let misses = 0;
	for (const {job} of orderJobs(waiting, queue => state.observation.estimateFactors.get(queue) ?? 1, getCapacity(candidates), context.now)) {
		if (job.isAwaitingSurvey) {
			continue;
		}

		for (const step of getOpenSteps(job)) {
			const place = step.spec.isGang ? placeGang : placeStep;
			const {placed, hasMissed} = place(state, step, candidates, context);
			outputs.push(...placed);
			misses += hasMissed ? 1 : 0;
		}

		if (misses >= missLimit) {
			break;
		}
	}

	return outputs;
}

function getCapacity(candidates: readonly Candidate[]): number {
	return candidates.reduce((sum, {endpoint}) => sum + endpoint.capacity.cpuMillis, 0);
}

/** How a job stands against its objective, as far as durations are known. @internal */
export function rankByMeasuredDurations({observation}: ObservationView, job: Job, now: number): RankedJob {
	return rankJob(job, observation.estimateFactors.get(job.record.queue) ?? 1, now);
}

function hasPending(steps: Iterable<Step>): boolean {
	for (const step of steps) {
		if (step.doneCount < step.tasks.length && step.tasks.some(task => isPending(task))) {
			return true;
		}
	}

	return false;
}

function isPending(task: Task): boolean {
	return !task.isDone && task.runs.size === 0;
}

function getCandidates({
	supervision, directory, evacuation, placement, observation,
}: State, pool: Readonly<PoolLedger>, context: DecisionContext): Candidate[] {
	const candidates: Candidate[] = [];
	for (const watch of supervision.endpoints.values()) {
		const endpoint = directory.endpoints.get(watch.id);
		if (watch.pool !== pool.pool || watch.phase !== 'answering' || endpoint?.state !== 'ready' || !pool.rosterEndpointIds.has(watch.id)) {
			continue;
		}

		const record = observation.endpoints.get(watch.id);
		if (context.now < watch.startsPausedUntil || context.now < (record?.avoidUntil ?? 0) || evacuation.requests.has(watch.id)) {
			continue;
		}

		const runs = [...watch.runs.values()];
		const candidate: Candidate = {
			endpoint,
			free: subtractResources(endpoint.capacity, getUsedResources(watch)),
			fillerCount: runs.filter(run => run.isFiller).length,
			servingCount: runs.filter(run => run.isLongRunning && !run.isFiller).length,
			slowness: record?.slowness ?? 1,
		};
		for (const step of placement.reserved.get(watch.id)?.values() ?? []) {
			takeCandidate(candidate, step);
		}

		candidates.push(candidate);
	}

	return candidates;
}

type Placing = {readonly placed: JobOutput[]; readonly hasMissed: boolean};

function placeStep(state: State, step: Step, candidates: readonly Candidate[], context: DecisionContext): Placing {
	const placed: JobOutput[] = [];
	const advised = adviseStep(state, step, candidates, context);
	if (advised.outputs.length > 0) {
		return {placed: advised.outputs, hasMissed: false};
	}

	const run = step.job.lastRun + 1;
	for (const task of step.tasks) {
		if (!isPending(task)) {
			continue;
		}

		const chosen = chooseEndpoint(advised.candidates, task, state.observation.failedOn.get(task.id));
		if (chosen === undefined) {
			return {placed, hasMissed: true};
		}

		placed.push(...placeTask(state, {
			task, run, chosen, ticket: advised.tickets?.get(chosen.endpoint.id),
		}));
	}

	return {placed, hasMissed: false};
}

/** Places all tasks of a gang or none; they wait for each other. */
function placeGang(state: State, step: Step, candidates: readonly Candidate[], context: DecisionContext): Placing {
	if (!step.tasks.every(task => isPending(task))) {
		return {placed: [], hasMissed: false};
	}

	const advised = adviseStep(state, step, candidates, context);
	if (advised.outputs.length > 0) {
		return {placed: advised.outputs, hasMissed: false};
	}

	for (const group of groupByRack(advised.candidates, step)) {
		const before = group.map(candidate => ({...candidate}));
		const run = step.job.lastRun + 1;
		// All members resume from one value; any member's is valid for the gang.
		const checkpoint = step.tasks.map(task => task.checkpoint).sort().at(-1) ?? '';
		const placed: JobOutput[] = [];
		for (const task of step.tasks) {
			const chosen = chooseEndpoint(group, task, undefined);
			if (chosen === undefined) {
				break;
			}

			placed.push(...placeTask(state, {
				task, run, chosen, ticket: advised.tickets?.get(chosen.endpoint.id), checkpoint,
			}));
		}

		if (step.tasks.every(task => task.runs.has(run))) {
			return {placed, hasMissed: false};
		}

		for (const task of step.tasks) {
			state.placement.reserved.get(task.runs.get(run) ?? '')?.delete(task.id);
			task.runs.delete(run);
		}

		for (const [index, candidate] of group.entries()) {
			Object.assign(candidate, before[index]);
		}
	}

	return {placed: [], hasMissed: true};
}

/** Racks with the most free room first, and all endpoints together last. */
function groupByRack(candidates: readonly Candidate[], step: Step): ReadonlyArray<readonly Candidate[]> {
	if (!step.spec.isSameRack) {
		return [candidates];
	}

	const racks = new Map<string, Candidate[]>();
	for (const candidate of candidates) {
		racks.set(candidate.endpoint.rack, [...(racks.get(candidate.endpoint.rack) ?? []), candidate]);
	}

	const getFree = (group: readonly Candidate[]) => group.reduce((sum, candidate) => sum + candidate.free.cpuMillis, 0);
	return [...[...racks.values()].sort((left, right) => getFree(right) - getFree(left)), candidates];
}

function placeTask({placement}: State, {task, run, chosen, ticket, checkpoint = task.checkpoint}: {
	readonly task: Task;
	readonly run: number;
	readonly chosen: Candidate;
	readonly ticket: string | undefined;
	readonly checkpoint?: string;
}): JobOutput[] {
	takeCandidate(chosen, task.step);
	// The search that follows counts this run; the ledger notes it when the event reaches it.
	task.runs.set(run, chosen.endpoint.id);
	const reserved = placement.reserved.get(chosen.endpoint.id) ?? new Map<string, Step>();
	placement.reserved.set(chosen.endpoint.id, reserved.set(task.id, task.step));
	return [
		emitLog('info', 'task placed', {
			job: task.step.job.record.id, task: task.id, run, endpoint: chosen.endpoint.id, freeMillis: chosen.free.cpuMillis, hasCheckpoint: checkpoint !== '',
		}),
		restartEvent({
			kind: 'task-placed', pool: task.step.job.record.pool, taskId: task.id, run, endpointId: chosen.endpoint.id, checkpoint, ticket,
		}),
	];
}
