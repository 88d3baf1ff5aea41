import {
	type EntryId, type PoolName, type RequestId, type TaskRecord,
} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/** A request that is answered once its task is in the store. */
export type TaskWaiter = {
	readonly receiver: EntryId;
	readonly requestId: RequestId;
	readonly taskId: string;
	/** Version of the page that first contains the task. */
	readonly version: number;
};

/** A page of tasks, with the state of its copy in the store. */
export type TaskPageState = {
	readonly key: string;
	/** Revision in the store; 0 while the page is not stored. */
	revision: number;
	/** Incremented by each change at this entry. */
	version: number;
	/** Version that the store is known to hold. */
	writtenVersion: number;
	pendingOperationId: string | undefined;
	/** Version covered by the pending write. */
	pendingVersion: number;
	/** Monotonic milliseconds before which the page is not written again. */
	nextWriteAt: number;
	readonly tasks: Map<string, TaskRecord>;
	readonly waiters: TaskWaiter[];
};

/** A non-idempotent task that is submitted once its `started` stage is in the store. */
export type PendingStart = {
	readonly taskId: string;
	/** Version of the page that first contains the stage. */
	readonly version: number;
};

/** Tasks of a pool that this entry owns. @public */
export type PoolTasks = {
	/** Whether the stored pages have been read; until then no task is accepted or started. */
	isLoaded: boolean;
	nextLoadAt: number;
	readonly pages: Map<string, TaskPageState>;
	/** Page by task id. */
	readonly pageByTask: Map<string, TaskPageState>;
	readonly pendingStarts: PendingStart[];
	/** Ids of tasks that are queued or running, by request id. */
	readonly taskIdByRequest: Map<RequestId, string>;
	/** Monotonic milliseconds before which a task is not retried, by task id. */
	readonly retryNotBefore: Map<string, number>;
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
		isLoaded: false, nextLoadAt: 0, pages: new Map(), pageByTask: new Map(), pendingStarts: [], taskIdByRequest: new Map(), retryNotBefore: new Map(),
	};
}

/** @internal */
export function createPage(key: string): TaskPageState {
	return {
		key, revision: 0, version: 0, writtenVersion: 0, pendingOperationId: undefined, pendingVersion: 0, nextWriteAt: 0, tasks: new Map(), waiters: [],
	};
}

/** Finds a task of a pool; undefined when no page contains it. @internal */
export function findTask(poolTasks: PoolTasks, taskId: string): TaskRecord | undefined {
	return poolTasks.pageByTask.get(taskId)?.tasks.get(taskId);
}

/** Changes a task's record and returns its page; undefined when no page contains the task. The change is stored with the next write of the page. @internal */
export function updateTask(poolTasks: PoolTasks, taskId: string, change: Partial<TaskRecord>): TaskPageState | undefined {
	const page = poolTasks.pageByTask.get(taskId);
	const task = page?.tasks.get(taskId);
	if (page === undefined || task === undefined) {
		return undefined;
	}

	page.tasks.set(taskId, {...task, ...change});
	page.version += 1;
	return page;
}

/** Creates the id of a store operation of this filter. @internal */
export function createOperationId(state: EntryState, action: 'load' | 'write' | 'settle', subject: string): string {
	state.tasks.operationCount += 1;
	return `tasks:${action}:${state.tasks.operationCount}:${subject}`;
}
