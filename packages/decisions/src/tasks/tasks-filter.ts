import {appendItems} from '@pistachiogauge/chain';
import {
	type EventOf, type OutcomeReason, type RequestResult, type TaskRecord,
} from '@pistachiogauge/model';
import {restartEvent, type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getKeyTime} from '../idempotency/index.js';
import {createCompletedResult, createNotRunResult, createUnknownResult} from '../results.js';
import {createTaskStatusResult} from './task-status.js';
import {
	handlePageAnswer, getOrCreateOpenPage, restorePages, loadPages, writePages,
} from './task-pages.js';
import {startTasks} from './task-schedule.js';
import {
	createPoolTasks, findTask, updateTask, type PoolTasks,
} from './tasks-state.js';

const maxBodyBytes = 16 * 1024;
const maxTasksPerPool = 2000;
const maxFailedAttempts = 5;
const retryBackoffMs = 5000;
const defaultFinishWithinMs = 8 * 3_600_000;
const notFoundStatus = 404;
const serverErrorStatus = 500;

/**
Records deferrable tasks in the store before it accepts them, and runs them while slots are free.

An accepted task survives the failure of its owner: the next owner reads it from the store.

@public
*/
export const tasksFilter: Filter = {
	name: 'tasks',
	handlers: {
		'pool-acquired'(state, event, context) {
			const poolTasks = createPoolTasks();
			state.tasks.pools.set(event.pool, poolTasks);
			return loadPages(state, event.pool, poolTasks, context);
		},
		'pool-lost'(state, event) {
			state.tasks.pools.delete(event.pool);
			return [];
		},
		'task-submitted': acceptTask,
		'task-status-requested'(state, event) {
			const poolTasks = state.tasks.pools.get(event.pool);
			if (!poolTasks?.isLoaded) {
				return [sendResult(event, createNotRunResult('pool-unavailable', 1000))];
			}

			const task = findTask(poolTasks, event.request.path);
			return [sendResult(event, task === undefined ? createCompletedResult(notFoundStatus, [], new Uint8Array()) : createTaskStatusResult(task, 200))];
		},
		'store-answered'(state, event, context) {
			if (!event.operationId.startsWith('tasks:')) {
				return [];
			}

			if (event.operationId.startsWith('tasks:load:')) {
				const poolTasks = state.tasks.pools.get(event.operationId.split(':').slice(3).join(':'));
				if (poolTasks !== undefined && !poolTasks.isLoaded && event.result === 'applied') {
					restorePages(state, poolTasks, event.entries);
				}

				return [];
			}

			return [...state.tasks.pools.values()].flatMap(poolTasks => handlePageAnswer(state, poolTasks, event, context));
		},
		'request-ended'(state, event, context) {
			for (const poolTasks of state.tasks.pools.values()) {
				const taskId = poolTasks.taskIdByRequest.get(event.requestId);
				if (taskId !== undefined) {
					poolTasks.taskIdByRequest.delete(event.requestId);
					recordAttemptResult(poolTasks, taskId, event.result, context);
				}
			}

			return [];
		},
		tick(state, _event, context) {
			const outputs: Output[] = [];
			for (const [pool, poolTasks] of state.tasks.pools) {
				if (!poolTasks.isLoaded && context.now >= poolTasks.nextLoadAt) {
					appendItems(outputs, loadPages(state, pool, poolTasks, context));
				}

				appendItems(outputs, startTasks(state, pool, poolTasks, context));
				appendItems(outputs, writePages(state, pool, poolTasks, context));
			}

			return outputs;
		},
	},
};

function acceptTask(state: EntryState, event: EventOf<'task-submitted'>, context: DecisionContext): Output[] {
	const {request, receiver, pool} = event;
	const poolTasks = state.tasks.pools.get(pool);
	if (!poolTasks?.isLoaded) {
		return [sendResult(event, createNotRunResult('pool-unavailable', 1000))];
	}

	const taskId = request.key ?? '';
	const known = findTask(poolTasks, taskId);
	const rejectionReason = known === undefined ? findRejectionReason(state, event, poolTasks, context) : undefined;
	if (rejectionReason !== undefined) {
		return [sendResult(event, rejectionReason === 'key-expired' ? createUnknownResult(rejectionReason) : createNotRunResult(rejectionReason, 1000))];
	}

	if (known === undefined) {
		const page = getOrCreateOpenPage(state, pool, poolTasks);
		page.tasks.set(taskId, createTask(event, taskId, context));
		page.version += 1;
		poolTasks.pageByTask.set(taskId, page);
	}

	const page = poolTasks.pageByTask.get(taskId)!;
	if (known !== undefined && page.writtenVersion === page.version) {
		return [sendResult(event, createTaskStatusResult(known, 202))];
	}

	page.waiters.push({
		receiver, requestId: request.requestId, taskId, version: page.version,
	});
	return [];
}

function findRejectionReason(state: EntryState, {request}: EventOf<'task-submitted'>, poolTasks: PoolTasks, context: DecisionContext): OutcomeReason | undefined {
	const issuedAt = getKeyTime(request.key ?? '');
	const {clockSkewMs, keyRetentionMs} = state.config.timings;
	if (issuedAt === undefined) {
		return 'key-malformed';
	}

	if (issuedAt > context.wallTime + clockSkewMs) {
		return 'key-from-the-future';
	}

	if (issuedAt < context.wallTime - keyRetentionMs + clockSkewMs) {
		return 'key-expired';
	}

	if (request.body.length > maxBodyBytes) {
		return 'body-too-large';
	}

	return poolTasks.pageByTask.size >= maxTasksPerPool ? 'overloaded' : undefined;
}

function createTask({request}: EventOf<'task-submitted'>, id: string, context: DecisionContext): TaskRecord {
	const {service, method, path, headers, body, team, isIdempotent, finishWithinMs} = request;
	return {
		id,
		service,
		method,
		path,
		headers,
		body: Buffer.from(body).toString('base64'),
		team,
		isIdempotent,
		acceptedAt: context.wallTime,
		deadlineAt: context.wallTime + (finishWithinMs ?? defaultFinishWithinMs),
		stage: 'accepted',
		failedAttempts: 0,
	};
}

function recordAttemptResult(poolTasks: PoolTasks, taskId: string, result: RequestResult, context: DecisionContext): void {
	const task = findTask(poolTasks, taskId);
	if (task === undefined) {
		return;
	}

	const failedAttempts = task.failedAttempts + 1;
	if (mayRetry(task, result) && failedAttempts < maxFailedAttempts) {
		updateTask(poolTasks, taskId, {stage: 'accepted', failedAttempts});
		poolTasks.retryNotBefore.set(taskId, context.now + (retryBackoffMs * failedAttempts));
		return;
	}

	poolTasks.retryNotBefore.delete(taskId);
	const status = result.outcome === 'completed' ? result.status : undefined;
	updateTask(poolTasks, taskId, {
		stage: 'ended', outcome: result.outcome, status, endedAt: context.wallTime,
	});
}

function mayRetry(task: TaskRecord, result: RequestResult): boolean {
	if (result.outcome === 'not-run') {
		return true;
	}

	const hasFailed = result.outcome === 'unknown' || result.status >= serverErrorStatus;
	return hasFailed && task.isIdempotent;
}

function sendResult(event: EventOf<'task-submitted' | 'task-status-requested'>, result: RequestResult): Output {
	return restartEvent({
		kind: 'result-ready', requestId: event.request.requestId, receiver: event.receiver, result,
	});
}
