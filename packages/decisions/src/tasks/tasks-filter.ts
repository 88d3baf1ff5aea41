import {
	type EventOf, type OutcomeReason, type RequestResult, type TaskRecord,
} from '@pistachiogauge/model';
import {restartEvent, type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getKeyTime} from '../idempotency/index.js';
import {createCompletedResult, createNotRunResult, createUnknownResult} from '../results.js';
import {createTaskAnswer} from './task-answer.js';
import {
	finishPageOperation, getOpenPage, readTaskPages, readPages, writePages,
} from './task-pages.js';
import {startTasks} from './task-schedule.js';
import {
	createPoolTasks, findTask, updateTask, type PoolTasks,
} from './tasks-state.js';

const bodyLimitBytes = 16 * 1024;
const tasksPerPoolLimit = 2000;
const maxFailedAttempts = 5;
const retryPauseMs = 5000;
const defaultFinishWithinMs = 8 * 3_600_000;
const notFoundStatus = 404;
const serverErrorStatus = 500;

/**
Records deferrable tasks in the store before it accepts them, and runs them when there is room.

An accepted task survives the loss of its owner: the next owner reads it from the store.

@public
*/
export const tasksFilter: Filter = {
	name: 'tasks',
	handlers: {
		'pool-acquired'(state, event, context) {
			const pooled = createPoolTasks();
			state.tasks.pools.set(event.pool, pooled);
			return readPages(state, event.pool, pooled, context);
		},
		'pool-lost'(state, event) {
			state.tasks.pools.delete(event.pool);
			return [];
		},
		'task-submitted': acceptTask,
		'task-status-requested'(state, event) {
			const pooled = state.tasks.pools.get(event.pool);
			if (!pooled?.isLoaded) {
				return [answer(event, createNotRunResult('pool-unavailable', 1000))];
			}

			const task = findTask(pooled, event.request.path);
			return [answer(event, task === undefined ? createCompletedResult(notFoundStatus, [], new Uint8Array()) : createTaskAnswer(task, 200))];
		},
		'store-answered'(state, event, context) {
			if (!event.operationId.startsWith('tasks:')) {
				return [];
			}

			if (event.operationId.startsWith('tasks:load:')) {
				const pooled = state.tasks.pools.get(event.operationId.split(':').slice(3).join(':'));
				if (pooled !== undefined && !pooled.isLoaded && event.result === 'applied') {
					readTaskPages(state, pooled, event.entries);
				}

				return [];
			}

			return [...state.tasks.pools.values()].flatMap(pooled => finishPageOperation(state, pooled, event, context));
		},
		'request-ended'(state, event, context) {
			for (const pooled of state.tasks.pools.values()) {
				const taskId = pooled.running.get(event.requestId);
				if (taskId !== undefined) {
					pooled.running.delete(event.requestId);
					finishAttempt(pooled, taskId, event.result, context);
				}
			}

			return [];
		},
		tick(state, _event, context) {
			const outputs: Output[] = [];
			for (const [pool, pooled] of state.tasks.pools) {
				if (!pooled.isLoaded && context.now >= pooled.nextLoadAt) {
					outputs.push(...readPages(state, pool, pooled, context));
				}

				outputs.push(...startTasks(state, pool, pooled, context), ...writePages(state, pool, pooled, context));
			}

			return outputs;
		},
	},
};

function acceptTask(state: EntryState, event: EventOf<'task-submitted'>, context: DecisionContext): Output[] {
	const {request, receiver, pool} = event;
	const pooled = state.tasks.pools.get(pool);
	if (!pooled?.isLoaded) {
		return [answer(event, createNotRunResult('pool-unavailable', 1000))];
	}

	const taskId = request.key ?? '';
	const known = findTask(pooled, taskId);
	const refusal = known === undefined ? findRefusal(state, event, pooled, context) : undefined;
	if (refusal !== undefined) {
		return [answer(event, refusal === 'key-expired' ? createUnknownResult(refusal) : createNotRunResult(refusal, 1000))];
	}

	if (known === undefined) {
		const page = getOpenPage(state, pool, pooled);
		page.tasks.set(taskId, createTask(event, taskId, context));
		page.version += 1;
		pooled.pageByTask.set(taskId, page);
	}

	const page = pooled.pageByTask.get(taskId)!;
	if (known !== undefined && page.writtenVersion === page.version) {
		return [answer(event, createTaskAnswer(known, 202))];
	}

	page.waiters.push({
		receiver, requestId: request.requestId, taskId, version: page.version,
	});
	return [];
}

function findRefusal(state: EntryState, {request}: EventOf<'task-submitted'>, pooled: PoolTasks, context: DecisionContext): OutcomeReason | undefined {
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

	if (request.body.length > bodyLimitBytes) {
		return 'body-too-large';
	}

	return pooled.pageByTask.size >= tasksPerPoolLimit ? 'overloaded' : undefined;
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

function finishAttempt(pooled: PoolTasks, taskId: string, result: RequestResult, context: DecisionContext): void {
	const task = findTask(pooled, taskId);
	if (task === undefined) {
		return;
	}

	const failedAttempts = task.failedAttempts + 1;
	if (mayTryAgain(task, result) && failedAttempts < maxFailedAttempts) {
		updateTask(pooled, taskId, {stage: 'accepted', failedAttempts});
		pooled.notBefore.set(taskId, context.now + (retryPauseMs * failedAttempts));
		return;
	}

	pooled.notBefore.delete(taskId);
	const status = result.outcome === 'completed' ? result.status : undefined;
	updateTask(pooled, taskId, {
		stage: 'ended', outcome: result.outcome, status, endedAt: context.wallTime,
	});
}

function mayTryAgain(task: TaskRecord, result: RequestResult): boolean {
	if (result.outcome === 'not-run') {
		return true;
	}

	const hasFailed = result.outcome === 'unknown' || result.status >= serverErrorStatus;
	return hasFailed && task.isIdempotent;
}

function answer(event: EventOf<'task-submitted' | 'task-status-requested'>, result: RequestResult): Output {
	return restartEvent({
		kind: 'result-ready', requestId: event.request.requestId, receiver: event.receiver, result,
	});
}
