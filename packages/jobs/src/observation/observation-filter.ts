import {restartEvent, type DecisionContext} from '@pistachiogauge/chain';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {findTask, type LedgerView, type Task} from '../ledger/index.js';
import {type JobEventOf} from '../model/index.js';
import {type Run, type SupervisionView, type SupervisedEndpoint} from '../supervision/index.js';
import {getRecord, type ObservationState} from './observation-state.js';

/** Weight of the newest measurement in a moving mean. */
const newestWeight = 0.1;
/** Failures in a row after which an endpoint is avoided: jobs fail by themselves in 3 of 100 cases, so three in a row are not chance. */
const failureLimit = 3;
/** Time in ms for which an endpoint that fails, stalls or is slow is avoided, before it is tried again. */
const avoidMs = 3000;
/** Time in ms without progress after which a run stands still; two looks at a busy endpoint, and many steps of its percentage. */
const stallMs = 1600;
/** Age in ms of a run from which its pace tells something. */
const judgeAfterMs = 700;
/** Measured against expected duration from which an endpoint is slow: durations spread by half, and estimates are off by less than this. */
const slowFactor = 3;
/** Runs of an endpoint that must agree on its being slow. */
const slowRuns = 2;

type State = {readonly observation: ObservationState} & SupervisionView & LedgerView;

/**
Learns from runs how long tasks take, and finds endpoints that fail, stall or slow down what they run although they answer.

@public
*/
export const observationFilter: JobFilter<State> = {
	name: 'observation',
	handlers: {
		'run-ended': learnFromEnd,
		'poll-answered'(state, {endpointId}, context) {
			const watch = state.supervision.endpoints.get(endpointId);
			return watch?.phase === 'answering' ? judgeEndpoint(state, watch, context) : [];
		},
		'endpoint-forgotten'({observation}, {endpointId}) {
			observation.endpoints.delete(endpointId);
			return [];
		},
	},
};

function learnFromEnd(state: State, {pool, endpointId, end, wasExpected, tookMs}: JobEventOf<'run-ended'>, context: DecisionContext): JobOutput[] {
	const {observation} = state;
	const record = getRecord(observation, endpointId);
	if (end.outcome === 'failed') {
		observation.failedOn.set(end.taskId, endpointId);
		record.failuresInRow += 1;
		return record.failuresInRow < failureLimit ? [] : avoidEndpoint(state, endpointId, 'it fails what it runs', context);
	}

	if (end.outcome !== 'done') {
		return [];
	}

	observation.failedOn.delete(end.taskId);
	record.failuresInRow = 0;
	const step = findTask(state.ledger.pools.get(pool), end.taskId)?.step;
	if (step === undefined || !wasExpected || step.spec.estimateMs === 0 || step.spec.isLongRunning) {
		return [];
	}

	const {queue} = step.job.record;
	const factor = observation.estimateFactors.get(queue) ?? 1;
	const measured = Math.min(10, tookMs / step.spec.estimateMs);
	observation.estimateFactors.set(queue, factor + (newestWeight * (measured - factor)));
	record.slowness += newestWeight * ((measured / Math.max(factor, 0.01)) - record.slowness);
	return [];
}

function judgeEndpoint(state: State, watch: Readonly<SupervisedEndpoint>, context: DecisionContext): JobOutput[] {
	const pool = state.ledger.pools.get(watch.pool);
	const slow: Run[] = [];
	let judged = 0;
	const outputs: JobOutput[] = [];
	for (const run of watch.runs.values()) {
		const task = findTask(pool, run.taskId);
		if (run.phase !== 'running' || run.isLongRunning || run.isFiller || task === undefined || task.step.spec.isGang) {
			continue;
		}

		// One whose work is all done has nothing left to show but its end.
		if (run.percent < 100 && context.now > run.progressedAt + stallMs) {
			outputs.push(...moveRun(state, watch, run, task, 'it stands still'));
			continue;
		}

		const pace = getPace(state, run, task, context.now);
		if (pace !== undefined) {
			judged += 1;
			slow.push(...(pace > slowFactor ? [run] : []));
		}
	}

	if (outputs.length > 0) {
		return [...avoidEndpoint(state, watch.id, 'runs stand still there', context), ...outputs];
	}

	if (slow.length < slowRuns || slow.length * 2 <= judged) {
		return [];
	}

	return [
		...avoidEndpoint(state, watch.id, 'runs are slow there', context),
		...slow.flatMap(run => {
			const task = findTask(pool, run.taskId);
			return task !== undefined && run.percent < 50 ? moveRun(state, watch, run, task, 'it is slow') : [];
		}),
	];
}

/** Duration at the present pace against the expected one; undefined while it cannot be told. */
function getPace({observation}: State, run: Readonly<Run>, task: Task, now: number): number | undefined {
	const {estimateMs} = task.step.spec;
	const ageMs = now - run.startedAt;
	if (estimateMs === 0 || ageMs < judgeAfterMs) {
		return undefined;
	}

	const factor = observation.estimateFactors.get(task.step.job.record.queue) ?? 1;
	// A resumed run shows the percentage of its former one; its pace tells too little.
	return task.checkpoint === '' ? (ageMs * 100) / Math.max(1, run.percent) / (estimateMs * factor) : undefined;
}

function moveRun({observation}: State, watch: Readonly<SupervisedEndpoint>, run: Readonly<Run>, task: Task, reason: string): JobOutput[] {
	observation.failedOn.set(task.id, watch.id);
	return [
		emitCount('runs_moved_total'),
		restartEvent({
			kind: 'run-stop-requested', pool: watch.pool, taskId: run.taskId, reason,
		}),
	];
}

function avoidEndpoint({observation}: State, endpointId: string, reason: string, context: DecisionContext): JobOutput[] {
	const record = getRecord(observation, endpointId);
	const wasAvoided = context.now < record.avoidUntil;
	record.avoidUntil = context.now + avoidMs;
	return wasAvoided
		? []
		: [emitLog('warn', 'endpoint avoided', {
			endpoint: endpointId, reason, failuresInRow: record.failuresInRow, avoidMs,
		})];
}
