import {type RequestClass} from '@pistachiogauge/model';
import {type EventQueue} from '../virtual/event-queue.js';
import {type LoadRequest} from './load-request.js';
import {type Policy, type PolicyRun} from './run-load.js';
import {runAttempt, slotsPerWorker, type Worker} from './workers.js';

/** Queues of a policy in order of priority: the first non-empty queue is served. */
type QueueOrder = {
	readonly count: number;
	readonly getIndex: (request: LoadRequest) => number;
};

const classIndexes: Readonly<Record<RequestClass, number>> = {urgent: 0, normal: 1, deferrable: 2};

/** One first-in-first-out queue for all requests. */
export const sharedFifo: Policy = createQueuePolicy('shared-fifo', {count: 1, getIndex: () => 0});

/** Always serves the most urgent class first, however long other requests wait. */
export const strictPriority: Policy = createQueuePolicy('strict-priority', {count: 3, getIndex: request => classIndexes[request.requestClass]});

type WaitingQueue = {
	readonly items: LoadRequest[];
	head: number;
};

/** Creates a policy that sends waiting requests to the least busy worker. */
function createQueuePolicy(name: string, order: QueueOrder): Policy {
	return {
		name,
		start(eventQueue, workers, _random, report) {
			return createQueueRun(eventQueue, workers, order, report);
		},
	};
}

function createQueueRun(eventQueue: EventQueue, workers: readonly Worker[], order: QueueOrder, report: (request: LoadRequest) => void): PolicyRun {
	const waitingQueues: WaitingQueue[] = Array.from({length: order.count}, () => ({items: [], head: 0}));

	function sendWaitingRequests(): void {
		for (let worker = findFreeWorker(workers); worker !== undefined; worker = findFreeWorker(workers)) {
			const request = takeNextRequest(waitingQueues, eventQueue, report);
			if (request === undefined) {
				return;
			}

			runAttempt(eventQueue, worker, request, result => {
				const isInTime = result.kind === 'answered' && eventQueue.now <= request.sentAt + request.deadlineMs;
				endRequest(request, eventQueue, isInTime ? 'completed' : 'unknown', report);
				request.status = result.kind === 'answered' ? result.status : 502;
				sendWaitingRequests();
			});
		}
	}

	return {
		submitRequest(request) {
			waitingQueues[order.getIndex(request)]!.items.push(request);
			sendWaitingRequests();
		},
	};
}

function findFreeWorker(workers: readonly Worker[]): Worker | undefined {
	let leastBusy: Worker | undefined;
	for (const worker of workers) {
		if (worker.busySlots < slotsPerWorker && (leastBusy === undefined || worker.busySlots < leastBusy.busySlots)) {
			leastBusy = worker;
		}
	}

	return leastBusy;
}

/** Removes and returns the next request whose deadline has not passed. Ends the expired ones before it. */
function takeNextRequest(waitingQueues: readonly WaitingQueue[], eventQueue: EventQueue, report: (request: LoadRequest) => void): LoadRequest | undefined {
	for (const queue of waitingQueues) {
		while (queue.head < queue.items.length) {
			const request = queue.items[queue.head]!;
			queue.head += 1;
			if (eventQueue.now < request.sentAt + request.deadlineMs) {
				return request;
			}

			endRequest(request, eventQueue, 'not-run', report);
		}
	}

	return undefined;
}

function endRequest(request: LoadRequest, eventQueue: EventQueue, outcome: 'completed' | 'not-run' | 'unknown', report: (request: LoadRequest) => void): void {
	request.outcome = outcome;
	request.endedAt = eventQueue.now;
	report(request);
}
