import {appendItems} from '@pistachiogauge/chain';
import {
	type PoolName, type RequestClass, type ServiceRequest, type TaskRecord,
} from '@pistachiogauge/model';
import {restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getServingInstances} from '../fleet/index.js';
import {getPoolPermissionExpiry} from '../membership/index.js';
import {findTask, updateTask, type PoolTasks} from './tasks-state.js';

/** With more slack than this, a task is queued as deferrable and gets the slots that other requests leave. */
const minDeferrableSlackMs = 1_800_000;
/** With no more slack than this, a task is queued as urgent, like a request whose caller waits. */
const minNormalSlackMs = 300_000;
const attemptTimeoutMs = 600_000;

/**
Returns the class in which a task is queued; it becomes more urgent as the deadline approaches.

@param slackMs Time left until the deadline, in milliseconds; negative after it.
@public
*/
export function computeTaskClass(slackMs: number): RequestClass {
	if (slackMs > minDeferrableSlackMs) {
		return 'deferrable';
	}

	return slackMs > minNormalSlackMs ? 'normal' : 'urgent';
}

/**
Starts accepted tasks, earliest deadline first.

Only a few tasks are queued at a time, so that a burst of other requests never waits behind a long list of tasks.

@internal
*/
export function startTasks(state: EntryState, pool: PoolName, poolTasks: PoolTasks, context: DecisionContext): Output[] {
	if (!poolTasks.isLoaded || getPoolPermissionExpiry(state, pool, context.now) === undefined) {
		return [];
	}

	const outputs: Output[] = submitRecordedTasks(state, pool, poolTasks, context);
	const waiting = listStartableTasks(poolTasks, context);
	let freeSlots = computeTaskSlotLimit(state, pool, waiting[0], context) - poolTasks.taskIdByRequest.size - poolTasks.pendingStarts.length;
	for (const task of waiting) {
		if (freeSlots <= 0) {
			break;
		}

		freeSlots -= 1;
		appendItems(outputs, startTask(state, pool, poolTasks, task, context));
	}

	return outputs;
}

function startTask(state: EntryState, pool: PoolName, poolTasks: PoolTasks, task: TaskRecord, context: DecisionContext): Output[] {
	if (task.isIdempotent) {
		return [submitTask(state, pool, poolTasks, task, context)];
	}

	// The `started` stage must be in the store before the request is sent, so that the next owner never runs the task a second time.
	const page = updateTask(poolTasks, task.id, {stage: 'started'})!;
	poolTasks.pendingStarts.push({taskId: task.id, version: page.version});
	return [];
}

function submitRecordedTasks(state: EntryState, pool: PoolName, poolTasks: PoolTasks, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const start of poolTasks.pendingStarts.splice(0)) {
		const page = poolTasks.pageByTask.get(start.taskId);
		const task = findTask(poolTasks, start.taskId);
		if (page === undefined || task?.stage !== 'started') {
			continue;
		}

		if (page.writtenVersion < start.version) {
			poolTasks.pendingStarts.push(start);
			continue;
		}

		outputs.push(submitTask(state, pool, poolTasks, task, context));
	}

	return outputs;
}

function listStartableTasks(poolTasks: PoolTasks, context: DecisionContext): TaskRecord[] {
	const runningTaskIds = new Set(poolTasks.taskIdByRequest.values());
	const waiting: TaskRecord[] = [];
	for (const page of poolTasks.pages.values()) {
		// A task is accepted only once it is in the store.
		const unrecordedTaskIds = new Set(page.waiters.map(waiter => waiter.taskId));
		for (const task of page.tasks.values()) {
			const isDue = (poolTasks.retryNotBefore.get(task.id) ?? 0) <= context.now;
			if (task.stage === 'accepted' && isDue && !runningTaskIds.has(task.id) && !unrecordedTaskIds.has(task.id)) {
				waiting.push(task);
			}
		}
	}

	return waiting.sort((left, right) => left.deadlineAt - right.deadlineAt);
}

/** Computes the number of slots that tasks may use: the deferrable share, or all slots when the earliest deadline is near. */
function computeTaskSlotLimit(state: EntryState, pool: PoolName, earliestTask: TaskRecord | undefined, context: DecisionContext): number {
	if (earliestTask === undefined) {
		return 0;
	}

	const {current} = state.bundle;
	const slots = getServingInstances(state, pool).length * (current?.pools[pool]?.slotsPerInstance ?? 0);
	const share = current?.services[earliestTask.service]?.shares.deferrable ?? 0;
	const isDeadlineNear = computeTaskClass(earliestTask.deadlineAt - context.wallTime) !== 'deferrable';
	return isDeadlineNear ? slots : Math.max(1, Math.floor(slots * share));
}

function submitTask(state: EntryState, pool: PoolName, poolTasks: PoolTasks, task: TaskRecord, context: DecisionContext): Output {
	state.tasks.operationCount += 1;
	const requestId = `task:${state.config.id}:${state.tasks.operationCount}`;
	poolTasks.taskIdByRequest.set(requestId, task.id);
	const timeLeftMs = attemptTimeoutMs;
	const request: ServiceRequest = {
		requestId,
		service: task.service,
		method: task.method,
		path: task.path,
		headers: task.headers,
		body: Buffer.from(task.body, 'base64'),
		mode: 'direct',
		requestClass: computeTaskClass(task.deadlineAt - context.wallTime),
		team: task.team,
		isIdempotent: task.isIdempotent,
		key: task.id,
		timeLeftMs,
	};
	return restartEvent({
		kind: 'request-queued',
		work: {
			request, receiver: state.config.id, pool, deadlineAt: context.now + timeLeftMs, triedInstances: [], mayHaveRun: false, notBefore: 0,
		},
	});
}
