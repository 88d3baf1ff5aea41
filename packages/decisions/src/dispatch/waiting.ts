import {type PoolName, type PoolWork, type RequestResult} from '@pistachiogauge/model';
import {getServiceTimes} from '../admission/index.js';
import {restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {type Flow, type PoolQueue} from './dispatch-state.js';
import {getFlow, getQueue} from './flows.js';
import {addTimed, dropTimed, removeDue} from './time-heap.js';
import {
	addFirst, addLast, getFirst, removeItem, type WaitingWork,
} from './work-queue.js';

/** Entries of requests that no longer wait are dropped from the heap of deadlines beyond this number. */
const minStaleDeadlines = 256;

/** Adds a request to its flow, or to the delayed ones while its backoff lasts. @internal */
export function addWaiting(state: EntryState, work: PoolWork, context: DecisionContext): void {
	const queue = getQueue(state, work.pool);
	const flow = getFlow(state, queue, work.request, context);
	const item: WaitingWork = {
		work, flow, isDelayed: work.notBefore > context.now, isGone: false,
	};
	flow.askedAt = context.now;
	state.dispatch.present.add(work.request.requestId);
	state.dispatch.waitingRequests.set(work.request.requestId, item);
	queue.waitingCount += 1;
	addTimed(queue.deadlines, work.deadlineAt, item);
	if (item.isDelayed) {
		flow.delayedCount += 1;
		addTimed(queue.delayed, work.notBefore, item);
	} else {
		addLast(flow.waiting, item);
	}
}

/** Moves requests whose backoff has ended to the head of their flow. @internal */
export function releaseDelayed(queue: PoolQueue, context: DecisionContext): void {
	for (let item = removeDue(queue.delayed, context.now); item !== undefined; item = removeDue(queue.delayed, context.now)) {
		if (!item.isGone) {
			item.flow.delayedCount -= 1;
			item.isDelayed = false;
			addFirst(item.flow.waiting, item);
		}
	}
}

/** Takes a request out of the queue. @internal */
export function removeWaiting(state: EntryState, item: WaitingWork): void {
	const {work, flow} = item;
	const queue = state.dispatch.queues.get(work.pool)!;
	state.dispatch.waitingRequests.delete(work.request.requestId);
	state.dispatch.present.delete(work.request.requestId);
	queue.waitingCount -= 1;
	if (item.isDelayed) {
		item.isGone = true;
		flow.delayedCount -= 1;
	} else {
		removeItem(flow.waiting, item);
	}

	if (queue.deadlines.length > (2 * queue.waitingCount) + minStaleDeadlines) {
		dropTimed(queue.deadlines, kept => !kept.isGone);
	}
}

/**
Next request of a flow that can be expected to end before its deadline.

Others are ended on the way: started late they would hold a slot for an answer that nobody gets.

@internal
*/
export function takeFirst(state: EntryState, flow: Flow, context: DecisionContext): {work: PoolWork | undefined; outputs: Output[]} {
	const outputs: Output[] = [];
	for (let item = getFirst(flow.waiting); item !== undefined; item = getFirst(flow.waiting)) {
		const {work} = item;
		const times = getServiceTimes(state, work.request, context);
		removeWaiting(state, item);
		if (work.deadlineAt - context.now > (times?.p50Ms ?? 0)) {
			return {work, outputs};
		}

		outputs.push(endWork(work, createExpiredResult(work)));
	}

	return {work: undefined, outputs};
}

/** Ends the requests whose deadline has passed. @internal */
export function expireWaiting(state: EntryState, queue: PoolQueue, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (let item = removeDue(queue.deadlines, context.now); item !== undefined; item = removeDue(queue.deadlines, context.now)) {
		if (!item.isGone) {
			removeWaiting(state, item);
			outputs.push(endWork(item.work, createExpiredResult(item.work)));
		}
	}

	return outputs;
}

/** Ends a request whose caller has left before it was started. @internal */
export function cancelWaiting(state: EntryState, requestId: string): Output[] {
	const item = state.dispatch.waitingRequests.get(requestId);
	if (item === undefined) {
		return [];
	}

	removeWaiting(state, item);
	return [endWork(item.work, item.work.mayHaveRun ? createUnknownResult('cancelled') : createNotRunResult('cancelled'))];
}

/**
Gives waiting requests back to their receivers, which look for the new owner.

A request that may have run here is settled instead: the new owner could not know that it may have run.

@internal
*/
export function returnWaiting(state: EntryState, pool: PoolName): Output[] {
	const outputs: Output[] = [];
	for (const item of state.dispatch.waitingRequests.values()) {
		const {work} = item;
		if (work.pool !== pool) {
			continue;
		}

		removeWaiting(state, item);
		outputs.push(work.mayHaveRun
			? endWork(work, createUnknownResult('connection-lost'))
			: restartEvent({kind: 'request-returned', requestId: work.request.requestId, receiver: work.receiver}));
	}

	return outputs;
}

/** An idempotent request whose earlier attempt failed may have run, although its last wait ended in the queue. */
function createExpiredResult(work: PoolWork): RequestResult {
	return work.mayHaveRun ? createUnknownResult('answer-timeout') : createNotRunResult('deadline-passed', 1000);
}

function endWork(work: PoolWork, result: RequestResult): Output {
	return restartEvent({
		kind: 'request-ended', requestId: work.request.requestId, receiver: work.receiver, result,
	});
}
