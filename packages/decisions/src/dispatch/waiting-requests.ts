import {type PoolName, type PoolWork, type RequestResult} from '@pistachiogauge/model';
import {getServiceTimes} from '../admission/index.js';
import {restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {type Flow, type PoolQueue} from './dispatch-state.js';
import {getOrCreateFlow, getOrCreateQueue} from './flows.js';
import {addToHeap, removeUnwanted, removeDue} from './time-heap.js';
import {
	addFirst, addLast, getFirst, removeItem, type WaitingRequest,
} from './request-queue.js';

/** The heap of deadlines is cleaned up when it holds more removed requests than waiting ones plus this number. */
const minStaleDeadlines = 256;

/** Adds a request to its flow's queue, or to the delayed requests while its backoff lasts. @internal */
export function addWaitingRequest(state: EntryState, work: PoolWork, context: DecisionContext): void {
	const queue = getOrCreateQueue(state, work.pool);
	const flow = getOrCreateFlow(state, queue, work.request, context);
	const item: WaitingRequest = {
		work, flow, isDelayed: work.notBefore > context.now, isRemoved: false,
	};
	flow.lastRequestAt = context.now;
	state.dispatch.queuedOrRunning.add(work.request.requestId);
	state.dispatch.waitingRequests.set(work.request.requestId, item);
	queue.waitingCount += 1;
	addToHeap(queue.deadlines, work.deadlineAt, item);
	if (item.isDelayed) {
		flow.delayedCount += 1;
		addToHeap(queue.delayed, work.notBefore, item);
	} else {
		addLast(flow.waiting, item);
	}
}

/** Moves requests whose backoff has ended to the head of their flow's queue. @internal */
export function moveDelayedToFlows(queue: PoolQueue, context: DecisionContext): void {
	for (let item = removeDue(queue.delayed, context.now); item !== undefined; item = removeDue(queue.delayed, context.now)) {
		if (!item.isRemoved) {
			item.flow.delayedCount -= 1;
			item.isDelayed = false;
			addFirst(item.flow.waiting, item);
		}
	}
}

/** Removes a request from its pool's queue. @internal */
export function removeWaitingRequest(state: EntryState, item: WaitingRequest): void {
	const {work, flow} = item;
	const queue = state.dispatch.queues.get(work.pool)!;
	state.dispatch.waitingRequests.delete(work.request.requestId);
	state.dispatch.queuedOrRunning.delete(work.request.requestId);
	queue.waitingCount -= 1;
	if (item.isDelayed) {
		item.isRemoved = true;
		flow.delayedCount -= 1;
	} else {
		removeItem(flow.waiting, item);
	}

	if (queue.deadlines.length > (2 * queue.waitingCount) + minStaleDeadlines) {
		removeUnwanted(queue.deadlines, kept => !kept.isRemoved);
	}
}

/**
Removes and returns the next request of a flow that can be expected to end before its deadline.

Requests before it that cannot are ended: started too late, they would hold a slot for an answer that no caller waits for.

@internal
*/
export function removeNextRunnable(state: EntryState, flow: Flow, context: DecisionContext): {work: PoolWork | undefined; outputs: Output[]} {
	const outputs: Output[] = [];
	for (let item = getFirst(flow.waiting); item !== undefined; item = getFirst(flow.waiting)) {
		const {work} = item;
		const times = getServiceTimes(state, work.request, context);
		removeWaitingRequest(state, item);
		if (work.deadlineAt - context.now > (times?.p50Ms ?? 0)) {
			return {work, outputs};
		}

		outputs.push(endRequest(work, createExpiredResult(work)));
	}

	return {work: undefined, outputs};
}

/** Ends the requests whose deadline has passed. @internal */
export function expireWaitingRequests(state: EntryState, queue: PoolQueue, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (let item = removeDue(queue.deadlines, context.now); item !== undefined; item = removeDue(queue.deadlines, context.now)) {
		if (!item.isRemoved) {
			removeWaitingRequest(state, item);
			outputs.push(endRequest(item.work, createExpiredResult(item.work)));
		}
	}

	return outputs;
}

/** Ends a waiting request whose caller has disconnected. @internal */
export function cancelWaitingRequest(state: EntryState, requestId: string): Output[] {
	const item = state.dispatch.waitingRequests.get(requestId);
	if (item === undefined) {
		return [];
	}

	removeWaitingRequest(state, item);
	return [endRequest(item.work, item.work.mayHaveRun ? createUnknownResult('cancelled') : createNotRunResult('cancelled'))];
}

/**
Returns waiting requests to their receivers, which find the new owner.

A request that may have run ends here with an unknown outcome instead: the new owner would not know that it may have run.

@internal
*/
export function returnWaitingRequests(state: EntryState, pool: PoolName): Output[] {
	const outputs: Output[] = [];
	for (const item of state.dispatch.waitingRequests.values()) {
		const {work} = item;
		if (work.pool !== pool) {
			continue;
		}

		removeWaitingRequest(state, item);
		outputs.push(work.mayHaveRun
			? endRequest(work, createUnknownResult('connection-lost'))
			: restartEvent({kind: 'request-returned', requestId: work.request.requestId, receiver: work.receiver}));
	}

	return outputs;
}

/** An idempotent request that expires in the queue may have run if an earlier attempt failed. */
function createExpiredResult(work: PoolWork): RequestResult {
	return work.mayHaveRun ? createUnknownResult('answer-timeout') : createNotRunResult('deadline-passed', 1000);
}

function endRequest(work: PoolWork, result: RequestResult): Output {
	return restartEvent({
		kind: 'request-ended', requestId: work.request.requestId, receiver: work.receiver, result,
	});
}
