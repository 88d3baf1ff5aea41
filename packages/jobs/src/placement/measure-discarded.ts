import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {findTask, type LedgerView, type Task} from '../ledger/index.js';
import {createDurationPredictor, type ObservationView} from '../observation/index.js';
import {type Run, type SupervisionView} from '../supervision/index.js';
import {type PoolDisplacement} from './displacement-state.js';
import {type PlacementState} from './placement-state.js';

/** Maximum number of preempted tasks of a pool that are followed until they resume. */
const maxFollowedTasks = 200;

type State = {readonly placement: PlacementState} & SupervisionView & LedgerView & ObservationView;

/** Follows a task whose run is preempted, to measure what the stop discards. @internal */
export function followPreemptedTask({preemptedTasks}: PoolDisplacement, task: Task, run: Readonly<Run>): void {
	const oldest = preemptedTasks.keys().next().value;
	if (preemptedTasks.size >= maxFollowedTasks && oldest !== undefined) {
		preemptedTasks.delete(oldest);
	}

	preemptedTasks.set(task.id, {run: run.run, percent: run.percent});
}

/** Records the progress in the last answer before the end of a preempted run. @internal */
export function recordPreemptedEnd({placement}: State, pool: string, taskId: string, ended: {readonly run: number; readonly percent: number}): void {
	const followed = placement.displacements.get(pool)?.preemptedTasks.get(taskId);
	if (followed?.run === ended.run) {
		followed.percent = Math.max(followed.percent, ended.percent);
	}
}

/** Measures the work that preempted runs have discarded: the difference in progress to the run that resumes them, as first listed by its endpoint. @internal */
export function measureDiscardedWork(state: State, endpointId: string): JobOutput[] {
	const endpoint = state.supervision.endpoints.get(endpointId);
	const followedTasks = endpoint === undefined ? undefined : state.placement.displacements.get(endpoint.pool)?.preemptedTasks;
	if (endpoint === undefined || followedTasks === undefined || followedTasks.size === 0) {
		return [];
	}

	const outputs: JobOutput[] = [];
	for (const run of endpoint.runs.values()) {
		const followed = followedTasks.get(run.taskId);
		const task = followed === undefined ? undefined : findTask(state.ledger.pools.get(endpoint.pool), run.taskId);
		if (followed === undefined || task === undefined || run.run <= followed.run || run.percent === 0) {
			continue;
		}

		followedTasks.delete(run.taskId);
		const {step} = task;
		const durationMs = createDurationPredictor(state, step.job.record.queue)(step.spec, step);
		const discardedCoreMs = Math.round(Math.max(0, followed.percent - run.percent) / 100 * durationMs * step.spec.room.cpuMillis / 1000);
		outputs.push(
			emitCount('preempted_work_discarded_core_ms_total', discardedCoreMs),
			emitLog('info', 'preempted task resumed', {
				pool: endpoint.pool, task: run.taskId, run: run.run, endpoint: endpointId, percent: run.percent, percentBefore: followed.percent, discardedCoreMs,
			}),
		);
	}

	return outputs;
}
