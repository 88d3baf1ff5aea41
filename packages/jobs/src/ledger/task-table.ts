import {formatTaskId, type StepSpec} from '../model/index.js';
import {type Step, type Task} from './ledger-state.js';

/**
The tasks of a step.

Only tasks that are between their first start and their end have an object, so that memory follows what runs and not what has been submitted.

@public
*/
export type TaskTable = {
	/** Number of tasks. */
	readonly size: number;
	/** When the step was created, in monotonic ms. Tasks that have never been started are idle since then. */
	readonly createdAt: number;
	/** Tasks that have been started and are not done, or may still be running, by index. */
	readonly started: Map<number, Task>;
	/** As in `ProgressRecord.steps`, one ASCII code per task; undefined before the first task is done. */
	marks: Uint8Array | undefined;
	/** Every task with a lower index has been started. */
	firstUnstarted: number;
};

/** ASCII codes of `d` and `.`, the marks in a progress record. */
const doneMark = 100;
const openMark = 46;

/**
Creates the table of a step's tasks.

@param saved - Marks of the tasks, as in `ProgressRecord.steps`.
@internal
*/
export function createTaskTable({count}: Pick<StepSpec, 'count'>, saved: string, createdAt: number): TaskTable {
	const table: TaskTable = {
		size: count, createdAt, started: new Map(), marks: undefined, firstUnstarted: 0,
	};
	if (saved.includes('d')) {
		table.marks = new Uint8Array(count).fill(openMark);
		table.marks.set(new TextEncoder().encode(saved.slice(0, count)));
	}

	return table;
}

/** Whether a task is done. @public */
export function isTaskDone({marks}: TaskTable, index: number): boolean {
	return marks?.[index] === doneMark;
}

/** Counts the tasks that are done. @internal */
export function countDoneTasks({marks}: TaskTable): number {
	let count = 0;
	for (const mark of marks ?? []) {
		count += mark === doneMark ? 1 : 0;
	}

	return count;
}

/** Formats the marks of the tasks, without those after the last task that is done. @internal */
export function formatMarks({marks}: TaskTable): string {
	return marks === undefined ? '' : new TextDecoder().decode(marks.subarray(0, marks.lastIndexOf(doneMark) + 1));
}

/**
Returns a task of a step; undefined if the index is out of range.

A task that has not been started is kept from then on, so that later calls return the same object. For one that is done and no longer runs, changes of the object are lost.

@internal
*/
export function getTask(step: Step, index: number): Task | undefined {
	const {tasks} = step;
	if (!Number.isInteger(index) || index < 0 || index >= tasks.size) {
		return undefined;
	}

	const task = tasks.started.get(index) ?? createTask(step, index);
	if (!task.isDone) {
		keepTask(task);
	}

	return task;
}

/** Keeps a task that is being started. @internal */
export function keepTask(task: Task): void {
	const {tasks} = task.step;
	tasks.started.set(task.index, task);
	while (tasks.started.has(tasks.firstUnstarted) || isTaskDone(tasks, tasks.firstUnstarted)) {
		tasks.firstUnstarted += 1;
	}
}

/** Marks a task as done. @internal */
export function completeTask(task: Task): void {
	const {tasks} = task.step;
	task.isDone = true;
	tasks.marks ??= new Uint8Array(tasks.size).fill(openMark);
	tasks.marks[task.index] = doneMark;
	task.step.doneCount += 1;
}

/** Stops keeping the tasks of a step that are done and no longer run. @internal */
export function releaseDoneTasks({tasks}: Step): void {
	for (const [index, task] of tasks.started) {
		if (task.isDone && task.runs.size === 0) {
			tasks.started.delete(index);
		}
	}
}

/** Whether a task waits for a start. @public */
export function isPending(task: Task): boolean {
	return !task.isDone && task.runs.size === 0;
}

/** Lists the tasks of a step that wait for a start, in their order. Those that have never been started are not kept until `keepTask` is called. @public */
export function * listPendingTasks(step: Step): Generator<Task> {
	const {tasks} = step;
	const {firstUnstarted} = tasks;
	const stopped = [...tasks.started.values()].filter(task => task.index < firstUnstarted && isPending(task));
	yield * stopped.sort((left, right) => left.index - right.index);
	for (let index = firstUnstarted; index < tasks.size; index++) {
		const task = isTaskDone(tasks, index) ? undefined : tasks.started.get(index) ?? createTask(step, index);
		if (task !== undefined && isPending(task)) {
			yield task;
		}
	}
}

/** Counts the tasks of a step that wait for a start. @public */
export function countPendingTasks(step: Step): number {
	return step.tasks.size - step.doneCount - countRunningTasks(step);
}

/** Counts the tasks of a step that are not done and may be running. @internal */
export function countRunningTasks({tasks}: Step): number {
	let count = 0;
	for (const task of tasks.started.values()) {
		count += !task.isDone && task.runs.size > 0 ? 1 : 0;
	}

	return count;
}

/** Whether a task of the step waits for a start. @internal */
export function hasPendingTask(step: Step): boolean {
	return step.tasks.size - step.doneCount > step.tasks.started.size || countPendingTasks(step) > 0;
}

/** Lists the times from which the unfinished tasks of a step have been idle, each time at least once, in monotonic ms. @internal */
export function * listIdleTimes({tasks, doneCount}: Step): Generator<number> {
	let startedCount = 0;
	for (const {isDone, idleSince} of tasks.started.values()) {
		if (!isDone) {
			startedCount += 1;
			yield idleSince;
		}
	}

	if (startedCount < tasks.size - doneCount) {
		yield tasks.createdAt;
	}
}

/** Whether all tasks of a step are done. @public */
export function isStepDone({tasks, doneCount}: Step): boolean {
	return doneCount === tasks.size;
}

function createTask(step: Step, index: number): Task {
	const {job, occurrence, tasks} = step;
	return {
		id: formatTaskId({
			jobId: job.record.id, occurrence, step: step.index, index,
		}),
		index,
		step,
		isDone: isTaskDone(tasks, index),
		failedRuns: new Set(),
		runs: new Map(),
		checkpoint: '',
		idleSince: tasks.createdAt,
	};
}
