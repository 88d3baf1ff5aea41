import {
	type EntryId, type PoolName, type RequestId, type TaskRecord,
} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/** Caller that waits until its task is recorded. */
export type TaskWaiter = {
	readonly receiver: EntryId;
	readonly requestId: RequestId;
	readonly taskId: string;
	/** Version of the page that holds the task. */
	readonly version: number;
};

/** A page of tasks and how far the store has it. */
export type TaskPageState = {
	readonly key: string;
	/** Revision in the store; 0 when the page is not there yet. */
	revision: number;
	/** Counts changes made here. */
	version: number;
	/** Version that the store is known to hold. */
	writtenVersion: number;
	pendingOperation: string | undefined;
	/** Version covered by the pending write. */
	pendingVersion: number;
	/** Monotonic milliseconds before which the page is not written again. */
	nextWriteAt: number;
	readonly tasks: Map<string, TaskRecord>;
	readonly waiters: TaskWaiter[];
};

/** A task that may start once the mark that it has started is in the store. */
export type PendingStart = {
	readonly taskId: string;
	readonly version: number;
};

/** Tasks of one pool that this entry owns. @public */
export type PoolTasks = {
	isLoaded: boolean;
	nextLoadAt: number;
	readonly pages: Map<string, TaskPageState>;
	/** Page of each task. */
	readonly pageByTask: Map<string, TaskPageState>;
	readonly pendingStarts: PendingStart[];
	/** Tasks whose attempt is queued or running, by request id. */
	readonly running: Map<RequestId, string>;
	/** Monotonic milliseconds before which a task is not tried again. */
	readonly notBefore: Map<string, number>;
};

/** State of the tasks filter. @public */
export type TasksState = {
	readonly pools: Map<PoolName, PoolTasks>;
	operationCount: number;
};

/** @internal */
export function createTasksState(): TasksState {
	return {pools: new Map(), operationCount: 0};
}

/** @internal */
export function createPoolTasks(): PoolTasks {
	return {
		isLoaded: false, nextLoadAt: 0, pages: new Map(), pageByTask: new Map(), pendingStarts: [], running: new Map(), notBefore: new Map(),
	};
}

/** @internal */
export function createPage(key: string): TaskPageState {
	return {
		key, revision: 0, version: 0, writtenVersion: 0, pendingOperation: undefined, pendingVersion: 0, nextWriteAt: 0, tasks: new Map(), waiters: [],
	};
}

/** Finds a task of a pool. @internal */
export function findTask(pooled: PoolTasks, taskId: string): TaskRecord | undefined {
	return pooled.pageByTask.get(taskId)?.tasks.get(taskId);
}

/** Replaces a task's record; the change is written with the next write of its page. @internal */
export function updateTask(pooled: PoolTasks, taskId: string, change: Partial<TaskRecord>): TaskPageState | undefined {
	const page = pooled.pageByTask.get(taskId);
	const task = page?.tasks.get(taskId);
	if (page === undefined || task === undefined) {
		return undefined;
	}

	page.tasks.set(taskId, {...task, ...change});
	page.version += 1;
	return page;
}

/** Names a store operation of this filter. @internal */
export function createOperationId(state: EntryState, job: 'load' | 'write' | 'settle', subject: string): string {
	state.tasks.operationCount += 1;
	return `tasks:${job}:${state.tasks.operationCount}:${subject}`;
}
