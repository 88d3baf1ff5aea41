import {
	type AttemptEnding, type ListedInstance, type PoolName, type PoolWork, type RequestResult,
} from '@pistachiogauge/model';
import {
	emitEffect, passEvent, restartEvent, type Filter, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getServingInstances} from '../fleet/index.js';
import {isInstanceTrusted} from '../health/index.js';
import {getPoolPermission} from '../membership/index.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {getFlowKey, type Flow, type PoolQueue} from './dispatch-state.js';

const defaultWeight = 1;

/**
Keeps a pool's queue and slots: starts requests at endpoints in weighted fair order while slots are free.

@public
*/
export const dispatchFilter: Filter = {
	name: 'dispatch',
	handlers: {
		'request-queued'(state, event, context) {
			const {work} = event;
			const {requestId} = work.request;
			if (state.dispatch.present.has(requestId)) {
				return [];
			}

			state.dispatch.present.add(requestId);
			addToFlow(state, work);
			return startWork(state, work.pool, context);
		},
		'endpoint-answered': (state, event, context) => endAttempt(state, event.attemptId, {
			kind: 'answered', status: event.status, headers: event.headers, body: event.body,
		}, context),
		'endpoint-failed': (state, event, context) => endAttempt(state, event.attemptId, {kind: 'failed', failure: event.failure}, context),
		'peer-cancel': (state, event) => cancelWaiting(state, event.message.requestId),
		'caller-gone': (state, event) => cancelWaiting(state, event.requestId),
		'pool-lost': (state, event) => returnWaiting(state, event.pool),
		tick(state, _event, context) {
			const outputs: Output[] = [];
			for (const pool of state.dispatch.queues.keys()) {
				outputs.push(...expireWaiting(state, pool, context), ...startWork(state, pool, context));
			}

			return outputs;
		},
	},
};

function addToFlow(state: EntryState, work: PoolWork): void {
	const queue = getQueue(state, work.pool);
	const key = getFlowKey(work.request);
	let flow = queue.flows.get(key);
	if (flow === undefined) {
		flow = {waiting: [], weight: getWeight(state, work), virtualTime: queue.virtualTime};
		queue.flows.set(key, flow);
	}

	if (flow.waiting.length === 0) {
		flow.virtualTime = Math.max(flow.virtualTime, queue.virtualTime);
	}

	flow.waiting.push(work);
}

function getWeight(state: EntryState, {request}: PoolWork): number {
	const {current} = state.bundle;
	const share = current?.services[request.service]?.shares[request.requestClass] ?? defaultWeight;
	const teamWeight = current?.teams[request.team]?.weight ?? defaultWeight;
	return Math.max(share * teamWeight, Number.EPSILON);
}

function getQueue(state: EntryState, pool: PoolName): PoolQueue {
	const known = state.dispatch.queues.get(pool);
	if (known !== undefined) {
		return known;
	}

	const created: PoolQueue = {flows: new Map(), virtualTime: 0};
	state.dispatch.queues.set(pool, created);
	return created;
}

function startWork(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const queue = state.dispatch.queues.get(pool);
	const outputs: Output[] = [];
	if (queue === undefined) {
		return outputs;
	}

	const notAfter = getPoolPermission(state, pool, context.now);
	if (notAfter === undefined) {
		return outputs;
	}

	for (let flow = findNextFlow(queue, context); flow !== undefined; flow = findNextFlow(queue, context)) {
		const instance = chooseInstance(state, pool, flow.waiting[0]!, context);
		if (instance === undefined) {
			break;
		}

		const work = flow.waiting.shift()!;
		queue.virtualTime = Math.max(queue.virtualTime, flow.virtualTime);
		flow.virtualTime += 1 / flow.weight;
		if (flow.waiting.length === 0) {
			queue.flows.delete(getFlowKey(work.request));
		}

		outputs.push(startAttempt(state, work, instance, notAfter, context));
	}

	return outputs;
}

function findNextFlow(queue: PoolQueue, context: DecisionContext): Flow | undefined {
	let best: Flow | undefined;
	for (const flow of queue.flows.values()) {
		const [head] = flow.waiting;
		if (head !== undefined && head.notBefore <= context.now && (best === undefined || flow.virtualTime < best.virtualTime)) {
			best = flow;
		}
	}

	return best;
}

function chooseInstance(state: EntryState, pool: PoolName, work: PoolWork, context: DecisionContext): ListedInstance | undefined {
	const slots = state.bundle.current?.pools[pool]?.slotsPerInstance ?? 0;
	let best: ListedInstance | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const instance of getServingInstances(state, pool)) {
		const busy = state.dispatch.busySlots.get(instance.id) ?? 0;
		if (busy >= slots || !isInstanceTrusted(state, instance.id, context)) {
			continue;
		}

		// Another instance than those that failed is preferred; the fraction breaks ties at random.
		const score = busy + (work.tried.includes(instance.id) ? slots : 0) + context.random.getFraction();
		if (score < bestScore) {
			best = instance;
			bestScore = score;
		}
	}

	return best;
}

function startAttempt(state: EntryState, work: PoolWork, instance: ListedInstance, notAfter: number, context: DecisionContext): Output {
	const {dispatch, config} = state;
	dispatch.attemptCount += 1;
	const attemptId = `${config.id}:${dispatch.attemptCount}`;
	dispatch.attempts.set(attemptId, {work, instanceId: instance.id, startedAt: context.now});
	dispatch.busySlots.set(instance.id, (dispatch.busySlots.get(instance.id) ?? 0) + 1);
	return emitEffect({
		kind: 'send-endpoint',
		attemptId,
		address: instance.address,
		request: work.request,
		notAfter,
		timeoutMs: work.deadlineAt - context.now,
	});
}

function endAttempt(state: EntryState, attemptId: string, ending: AttemptEnding, context: DecisionContext): Output[] {
	const {dispatch} = state;
	const attempt = dispatch.attempts.get(attemptId);
	if (attempt === undefined) {
		return [];
	}

	dispatch.attempts.delete(attemptId);
	dispatch.present.delete(attempt.work.request.requestId);
	dispatch.busySlots.set(attempt.instanceId, Math.max(0, (dispatch.busySlots.get(attempt.instanceId) ?? 0) - 1));
	return [
		passEvent({
			kind: 'attempt-ended', work: attempt.work, instanceId: attempt.instanceId, durationMs: context.now - attempt.startedAt, ending,
		}),
		...startWork(state, attempt.work.pool, context),
	];
}

function expireWaiting(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	return removeWaiting(state, pool, work => work.deadlineAt <= context.now)
		.map(work => restartEvent({
			kind: 'request-ended', requestId: work.request.requestId, receiver: work.receiver, result: createExpiredResult(work),
		}));
}

/** An idempotent request whose earlier attempt failed may have run, although its last wait ended in the queue. */
function createExpiredResult(work: PoolWork): RequestResult {
	return work.mayHaveRun ? createUnknownResult('answer-timeout') : createNotRunResult('deadline-passed', 1000);
}

function cancelWaiting(state: EntryState, requestId: string): Output[] {
	const outputs: Output[] = [];
	for (const pool of state.dispatch.queues.keys()) {
		for (const work of removeWaiting(state, pool, item => item.request.requestId === requestId)) {
			outputs.push(restartEvent({
				kind: 'request-ended', requestId, receiver: work.receiver, result: createNotRunResult('cancelled'),
			}));
		}
	}

	return outputs;
}

/** Tells receivers to send waiting requests to the new owner; nothing of them was run here. */
function returnWaiting(state: EntryState, pool: PoolName): Output[] {
	return removeWaiting(state, pool, () => true).map(work => restartEvent({kind: 'request-returned', requestId: work.request.requestId, receiver: work.receiver}));
}

function removeWaiting(state: EntryState, pool: PoolName, isRemoved: (work: PoolWork) => boolean): PoolWork[] {
	const removed: PoolWork[] = [];
	const queue = state.dispatch.queues.get(pool);
	for (const [key, flow] of queue?.flows ?? []) {
		const kept = flow.waiting.filter(work => !isRemoved(work));
		if (kept.length === flow.waiting.length) {
			continue;
		}

		removed.push(...flow.waiting.filter(work => isRemoved(work)));
		flow.waiting.splice(0, flow.waiting.length, ...kept);
		if (kept.length === 0) {
			queue!.flows.delete(key);
		}
	}

	for (const work of removed) {
		state.dispatch.present.delete(work.request.requestId);
	}

	return removed;
}
