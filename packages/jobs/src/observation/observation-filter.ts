import {appendItems, restartEvent, type DecisionContext} from '@pistachiogauge/chain';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {
	findTask, type LedgerView, type Step, type Task,
} from '../ledger/index.js';
import {type JobEventOf} from '../model/index.js';
import {
	isInProgress, servingPercent, type Run, type SupervisionView, type SupervisedEndpoint,
} from '../supervision/index.js';
import {createDurationModel, recordDuration} from './duration-model.js';
import {getEndpointHealth, predictUnmeasuredMs, type ObservationState} from './observation-state.js';

/** Weight of the newest measurement in the exponential moving mean of an endpoint's speed. */
const smoothingFactor = 0.1;
/** Number of consecutive failures from which an endpoint is avoided. Jobs fail by themselves in 3 of 100 cases, so three failures in a row are not by chance. */
const failureLimit = 3;
/** Time for which an endpoint that fails, stalls or is slow is avoided before it is tried again. */
const avoidMs = 3000;
/** A run without progress for this time on the endpoint's clock counts as stalled. A busy endpoint is polled twice in this time, and the percentage of a run normally rises many times. */
const stallTimeoutMs = 1600;
/** Minimum age at which the progress of a run says something about its speed. */
const minMeasuredAgeMs = 700;
/** Ratio of extrapolated to expected duration above which a run is slow. Durations vary by half, and estimates are off by less than this factor. */
const minSlowdown = 3;
/** Minimum number of steps whose runs are slow for an endpoint to count as slow. Tasks of one step take equally long, so that slow runs of one step say as little as a single one. */
const minSlowSteps = 2;
/** A long-running task that has run for longer counts as having been at work, even if no answer has shown it so. */
const maxStartupMs = 1600;
/** Bounds of the delay before a long-running task is started again that fails before it is at work; it must be tried again well within the 6 s after which it counts as lost. */
const minRetryDelayMs = 250;
const maxRetryDelayMs = 2000;
/** Percentage from which the progress of a run says how long it will take. */
const minMeasuredPercent = 10;

type State = {readonly observation: ObservationState} & SupervisionView & LedgerView;

/**
Measures how long tasks take, and detects endpoints that answer but whose runs fail, stall or are slow.

@public
*/
export const observationFilter: JobFilter<State> = {
	name: 'observation',
	handlers: {
		'pool-loaded'({observation}, {durationModels}) {
			for (const [queue, model] of Object.entries(durationModels)) {
				// What this entry has measured itself may be newer.
				if (!observation.durationModels.has(queue)) {
					observation.durationModels.set(queue, {...model});
				}
			}

			return [];
		},
		'run-adopted'({observation, ledger}, {pool, taskId, run}) {
			const task = findTask(ledger.pools.get(pool), taskId);
			if (task !== undefined) {
				observation.adoptedRuns.set(task, run);
			}

			return [];
		},
		'run-ended': recordRunEnd,
		'poll-answered'(state, {endpointId}, context) {
			const supervised = state.supervision.endpoints.get(endpointId);
			return supervised?.phase === 'answering' ? checkEndpoint(state, supervised, context) : [];
		},
		'endpoint-forgotten'({observation}, {endpointId}) {
			observation.endpoints.delete(endpointId);
			return [];
		},
	},
};

function recordRunEnd(state: State, {
	pool, endpointId, end, wasExpected, tookMs, percent,
}: JobEventOf<'run-ended'>, context: DecisionContext): JobOutput[] {
	const {observation} = state;
	const health = getEndpointHealth(observation, endpointId);
	const task = findTask(state.ledger.pools.get(pool), end.taskId);
	const step = task?.step;
	if (end.outcome === 'failed') {
		const isEvidence = task === undefined || !task.step.spec.isLongRunning || recordFailure(observation, task, {tookMs, percent}, context);
		if (task !== undefined) {
			observation.lastFailedEndpoints.set(task, endpointId);
		}

		health.failuresInRow += isEvidence ? 1 : 0;
		return !isEvidence || health.failuresInRow < failureLimit ? [] : avoidEndpoint(state, endpointId, 'consecutive runs failed', context);
	}

	if (end.outcome !== 'done') {
		return [];
	}

	health.failuresInRow = 0;
	if (task === undefined || step === undefined || !wasExpected || step.spec.isLongRunning || observation.adoptedRuns.get(task) === end.run) {
		return [];
	}

	const {queue} = step.job.record;
	health.slowness += smoothingFactor * ((Math.min(10, tookMs / predictUnmeasuredMs(state, queue, step.spec))) - health.slowness);
	const model = observation.durationModels.get(queue) ?? createDurationModel();
	observation.durationModels.set(queue, model);
	recordDuration(model, step.spec.estimateMs, tookMs);
	recordStepDuration(observation, step, tookMs);
	return [];
}

/**
Records the failure of a long-running task, which may fail at any time by itself, and delays its next start if it failed before it was at work.

@returns Whether the failure says something about the endpoint: the task failed before it was at work, and had not done so elsewhere.
*/
function recordFailure({earlyEnds}: ObservationState, task: Task, {tookMs, percent}: {readonly tookMs: number; readonly percent: number}, {now}: DecisionContext): boolean {
	if (percent >= servingPercent || tookMs > maxStartupMs) {
		earlyEnds.delete(task);
		return false;
	}

	const count = (earlyEnds.get(task)?.count ?? 0) + 1;
	earlyEnds.set(task, {count, retryAt: now + Math.min(maxRetryDelayMs, minRetryDelayMs * (2 ** (count - 1)))});
	return count === 1;
}

/** Records that a long-running task has come to be at work: its endpoint carries out what is started there. */
function recordServing({observation}: State, endpointId: string, task: Task | undefined, run: Readonly<Run>): void {
	if (task === undefined || !run.isLongRunning || run.percent < servingPercent || observation.servingRuns.has(run)) {
		return;
	}

	observation.servingRuns.add(run);
	observation.earlyEnds.delete(task);
	getEndpointHealth(observation, endpointId).failuresInRow = 0;
}

/** Records a measured duration of a task as that of its step. */
function recordStepDuration({stepDurations}: ObservationState, step: Step, durationMs: number): void {
	const known = stepDurations.get(step);
	stepDurations.set(step, known === undefined ? durationMs : (known + durationMs) / 2);
}

function checkEndpoint(state: State, supervised: Readonly<SupervisedEndpoint>, context: DecisionContext): JobOutput[] {
	const pool = state.ledger.pools.get(supervised.pool);
	const clockMs = supervised.clockMs ?? 0;
	const slowRuns: Run[] = [];
	const slowSteps = new Set<Step>();
	let measuredCount = 0;
	const outputs: JobOutput[] = [];
	for (const run of supervised.runs.values()) {
		const task = findTask(pool, run.taskId);
		recordServing(state, supervised.id, task, run);
		if (!isInProgress(run) || run.isLongRunning || run.isFiller || task === undefined || task.step.spec.isGang) {
			continue;
		}

		// A run whose endpoint restarted before it was confirmed has made no progress yet by the new process's clock.
		const progressedClockMs = Math.max(run.progressedClockMs, run.confirmedClockMs ?? 0);
		// At 100 percent no progress is left to report, only the end of the run.
		if (run.percent < 100 && clockMs > progressedClockMs + stallTimeoutMs) {
			appendItems(outputs, moveRun(state, supervised, run, task, 'run stalled'));
			continue;
		}

		const durationMs = state.observation.adoptedRuns.get(task) === run.run ? undefined : estimateDurationMs(run, task, clockMs);
		if (durationMs === undefined) {
			continue;
		}

		const isSlow = durationMs > minSlowdown * predictUnmeasuredMs(state, task.step.job.record.queue, task.step.spec);
		if (isSlow && state.observation.movedSlowTasks.has(task)) {
			continue;
		}

		measuredCount += 1;
		if (isSlow) {
			slowRuns.push(run);
			slowSteps.add(task.step);
		} else if (run.percent >= minMeasuredPercent) {
			recordStepDuration(state.observation, task.step, durationMs);
		}
	}

	if (outputs.length > 0) {
		return [...avoidEndpoint(state, supervised.id, 'runs stalled', context), ...outputs];
	}

	if (slowSteps.size < minSlowSteps || slowRuns.length * 2 <= measuredCount) {
		return [];
	}

	return [
		...avoidEndpoint(state, supervised.id, 'most of its runs are slow', context),
		...slowRuns.flatMap(run => {
			const task = findTask(pool, run.taskId);
			if (task === undefined || run.percent >= 50) {
				return [];
			}

			state.observation.movedSlowTasks.add(task);
			return moveRun(state, supervised, run, task, 'run is slow');
		}),
	];
}

/** Estimates the duration in ms of a run at its present speed; undefined if that is not known yet. */
function estimateDurationMs(run: Readonly<Run>, task: Task, clockMs: number): number | undefined {
	const ageMs = run.startedClockMs === undefined ? 0 : clockMs - run.startedClockMs;
	// A resumed run starts at the percentage of the run before, so its age says little about its speed.
	return ageMs < minMeasuredAgeMs || task.checkpoint !== '' ? undefined : (ageMs * 100) / Math.max(1, run.percent);
}

function moveRun({observation}: State, supervised: Readonly<SupervisedEndpoint>, run: Readonly<Run>, task: Task, reason: string): JobOutput[] {
	observation.lastFailedEndpoints.set(task, supervised.id);
	return [
		emitCount('runs_moved_total'),
		restartEvent({
			kind: 'run-stop-requested', pool: supervised.pool, taskId: run.taskId, reason,
		}),
	];
}

function avoidEndpoint({observation}: State, endpointId: string, reason: string, context: DecisionContext): JobOutput[] {
	const health = getEndpointHealth(observation, endpointId);
	const wasAvoided = context.now < health.avoidUntil;
	health.avoidUntil = context.now + avoidMs;
	return wasAvoided
		? []
		: [emitLog('warn', 'endpoint excluded from placement for a while', {
			endpoint: endpointId, reason, failuresInRow: health.failuresInRow, avoidMs,
		})];
}
