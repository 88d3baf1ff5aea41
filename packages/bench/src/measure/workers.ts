import {type AttemptFailure} from '@pistachiogauge/model';
import {type EventQueue} from '../virtual/event-queue.js';
import {type LoadRequest} from './load-request.js';

/** Behaviour of a worker: runs requests, fails them quickly, or refuses connections. */
export type WorkerMode = 'normal' | 'fail' | 'down';

/** Result of one attempt at a worker. */
export type WorkerResult =
	| {readonly kind: 'answered'; readonly status: number}
	| {readonly kind: 'failed'; readonly failure: AttemptFailure};

/** A simulated instance of the measured pool, with its endpoint. */
export type Worker = {
	readonly id: string;
	readonly address: string;
	readonly rack: string;
	mode: WorkerMode;
	busySlots: number;
	/** Time in use, summed over all slots. */
	busyMs: number;
	/** Virtual times at which requests were sent to it. */
	readonly receivedAt: number[];
	refusedCount: number;
	readonly runningAttempts: Set<(result: WorkerResult) => void>;
};

export const slotsPerWorker = 8;
const workersPerRack = 4;
const refusedConnectionMs = 1;
const failMs = 2;

export function createWorkers(count: number): Worker[] {
	return Array.from({length: count}, (_, index) => ({
		id: `w${index + 1}`,
		address: `10.0.0.${index + 1}:80`,
		rack: `r${Math.floor(index / workersPerRack) + 1}`,
		mode: 'normal' as const,
		busySlots: 0,
		busyMs: 0,
		receivedAt: [],
		refusedCount: 0,
		runningAttempts: new Set<(result: WorkerResult) => void>(),
	}));
}

type ModeHandler = (eventQueue: EventQueue, worker: Worker, request: LoadRequest, onEnd: (result: WorkerResult) => void) => void;

const modeHandlers: Readonly<Record<WorkerMode, ModeHandler>> = {
	normal(eventQueue, worker, request, onEnd) {
		if (worker.busySlots >= slotsPerWorker) {
			worker.refusedCount += 1;
			eventQueue.add(1, () => {
				onEnd({kind: 'answered', status: 503});
			});
			return;
		}

		occupySlot(eventQueue, worker, request.runMs, onEnd, {kind: 'answered', status: 200});
	},
	fail(eventQueue, worker, _request, onEnd) {
		occupySlot(eventQueue, worker, failMs, onEnd, {kind: 'answered', status: 500});
	},
	down(eventQueue, _worker, _request, onEnd) {
		eventQueue.add(refusedConnectionMs, () => {
			onEnd({kind: 'failed', failure: 'not-sent'});
		});
	},
};

/** Runs one attempt of a request at a worker and calls `onEnd` once. */
export function runAttempt(eventQueue: EventQueue, worker: Worker, request: LoadRequest, onEnd: (result: WorkerResult) => void): void {
	request.attemptCount += 1;
	request.startedAt ??= eventQueue.now;
	worker.receivedAt.push(eventQueue.now);
	modeHandlers[worker.mode](eventQueue, worker, request, onEnd);
}

/** Stops a worker and breaks its connections. */
export function stopWorker(worker: Worker): void {
	worker.mode = 'down';
	worker.busySlots = 0;
	for (const endAttempt of worker.runningAttempts) {
		endAttempt({kind: 'failed', failure: 'connection-lost'});
	}
}

function occupySlot(eventQueue: EventQueue, worker: Worker, runMs: number, onEnd: (result: WorkerResult) => void, result: WorkerResult): void {
	const startedAt = eventQueue.now;
	const endAttempt = (actualResult: WorkerResult) => {
		if (worker.runningAttempts.delete(endAttempt)) {
			worker.busyMs += eventQueue.now - startedAt;
			onEnd(actualResult);
		}
	};

	worker.busySlots += 1;
	worker.runningAttempts.add(endAttempt);
	eventQueue.add(runMs, () => {
		if (worker.runningAttempts.has(endAttempt)) {
			worker.busySlots -= 1;
			endAttempt(result);
		}
	});
}
