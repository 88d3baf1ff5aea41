import {
	type PoolName, type RequestClass, type ServiceRequest, type TaskRecord,
} from '@pistachiogauge/model';
import {restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getServingInstances} from '../fleet/index.js';
import {getPoolPermissionExpiry} from '../membership/index.js';
import {findTask, updateTask, type PoolTasks} from './tasks-state.js';

/** With more slack than this a task waits for slots that nobody else wants. */
const relaxedSlackMs = 1_800_000;
/** With less slack than this a task is as urgent as a waiting caller. */
const tightSlackMs = 300_000;
/** Time limit of one attempt. */
const attemptLimitMs = 600_000;

/**
Class in which a task is queued: it rises as the deadline nears.

@param slackMs Time left to the deadline after the work that is still ahead of the task.
@public
*/
export function computeTaskClass(slackMs: number): RequestClass {
	if (slackMs > relaxedSlackMs) {
		return 'deferrable';
	}

	return slackMs > tightSlackMs ? 'normal' : 'urgent';
}

/**
Starts accepted tasks, the earliest deadline first.

Few tasks are handed to the queue at a time, so a burst of other work never waits behind a long row of tasks.

@internal
*/
export function startTasks(state: EntryState, pool: PoolName, pooled: PoolTasks, context: DecisionContext): Output[] {
	if (!pooled.isLoaded || getPoolPermissionExpiry(state, pool, context.now) === undefined) {
		return [];
	}

	const outputs: Output[] = startWrittenTasks(state, pool, pooled, context);
	const waiting = listWaiting(pooled, context);
	let free = getTaskLimit(state, pool, waiting[0], context) - pooled.running.size - pooled.pendingStarts.length;
	for (const task of waiting) {
		if (free <= 0) {
			break;
		}

		free -= 1;
		outputs.push(...startTask(state, pool, pooled, task, context));
	}

	return outputs;
}

function startTask(state: EntryState, pool: PoolName, pooled: PoolTasks, task: TaskRecord, context: DecisionContext): Output[] {
	if (task.isIdempotent) {
		return [restartTask(state, pool, pooled, task, context)];
	}

	// The mark must be in the store before anything is sent, so that a successor never runs the task a second time.
	const page = updateTask(pooled, task.id, {stage: 'started'})!;
	pooled.pendingStarts.push({taskId: task.id, version: page.version});
	return [];
}

function startWrittenTasks(state: EntryState, pool: PoolName, pooled: PoolTasks, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const start of pooled.pendingStarts.splice(0)) {
		const page = pooled.pageByTask.get(start.taskId);
		const task = findTask(pooled, start.taskId);
		if (page === undefined || task?.stage !== 'started') {
			continue;
		}

		if (page.writtenVersion < start.version) {
			pooled.pendingStarts.push(start);
			continue;
		}

		outputs.push(restartTask(state, pool, pooled, task, context));
	}

	return outputs;
}

function listWaiting(pooled: PoolTasks, context: DecisionContext): TaskRecord[] {
	const running = new Set(pooled.running.values());
	const waiting: TaskRecord[] = [];
	for (const page of pooled.pages.values()) {
		// A task that the store does not hold yet has not been accepted.
		const unrecorded = new Set(page.waiters.map(waiter => waiter.taskId));
		for (const task of page.tasks.values()) {
			const isDue = (pooled.notBefore.get(task.id) ?? 0) <= context.now;
			if (task.stage === 'accepted' && isDue && !running.has(task.id) && !unrecorded.has(task.id)) {
				waiting.push(task);
			}
		}
	}

	return waiting.sort((left, right) => left.deadlineAt - right.deadlineAt);
}

/** Slots that tasks may hold: the deferrable share while there is time, every slot when the first deadline is near. */
function getTaskLimit(state: EntryState, pool: PoolName, first: TaskRecord | undefined, context: DecisionContext): number {
	if (first === undefined) {
		return 0;
	}

	const {current} = state.bundle;
	const slots = getServingInstances(state, pool).length * (current?.pools[pool]?.slotsPerInstance ?? 0);
	const share = current?.services[first.service]?.shares.deferrable ?? 0;
	const isTight = computeTaskClass(first.deadlineAt - context.wallTime) !== 'deferrable';
	return isTight ? slots : Math.max(1, Math.floor(slots * share));
}

function restartTask(state: EntryState, pool: PoolName, pooled: PoolTasks, task: TaskRecord, context: DecisionContext): Output {
	state.tasks.operationCount += 1;
	const requestId = `task:${state.config.id}:${state.tasks.operationCount}`;
	pooled.running.set(requestId, task.id);
	const timeLeftMs = attemptLimitMs;
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
