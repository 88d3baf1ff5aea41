import {type RandomSource} from '@pistachiogauge/decisions';
import {type EventQueue} from '../virtual/event-queue.js';
import {type LoadRequest} from './load-request.js';
import {type Policy, type PolicyRun} from './run-load.js';
import {
	runAttempt, slotsPerWorker, type WorkerResult, type Worker,
} from './workers.js';

const retryDelayMs = 20;

/** Baseline: retries each failed idempotent request after a delay until its deadline, at the least busy worker, even if that worker has failed before. */
export const unlimitedRetries: Policy = {
	name: 'unlimited-retries',
	start: (eventQueue, workers, random, report) => new UnlimitedRetriesRun(eventQueue, workers, random, report),
};

class UnlimitedRetriesRun implements PolicyRun {
	readonly #waitingRequests: LoadRequest[] = [];
	readonly #inFlightCounts = new Map<Worker, number>();

	constructor(
		readonly eventQueue: EventQueue,
		readonly workers: readonly Worker[],
		readonly random: RandomSource,
		readonly report: (request: LoadRequest) => void,
	) {}

	submitRequest(request: LoadRequest): void {
		this.#waitingRequests.push(request);
		this.#sendWaitingRequests();
	}

	#sendWaitingRequests(): void {
		for (let worker = this.#findWorker(); worker !== undefined && this.#waitingRequests.length > 0; worker = this.#findWorker()) {
			const request = this.#waitingRequests.shift()!;
			if (this.eventQueue.now >= request.sentAt + request.deadlineMs) {
				this.#endRequest(request, {kind: 'answered', status: 504});
				continue;
			}

			this.#startAttempt(worker, request);
		}
	}

	#startAttempt(worker: Worker, request: LoadRequest): void {
		this.#inFlightCounts.set(worker, (this.#inFlightCounts.get(worker) ?? 0) + 1);
		runAttempt(this.eventQueue, worker, request, result => {
			this.#inFlightCounts.set(worker, this.#inFlightCounts.get(worker)! - 1);
			const hasFailed = result.kind === 'failed' || result.status >= 500;
			if (hasFailed && request.isIdempotent && this.eventQueue.now + retryDelayMs < request.sentAt + request.deadlineMs) {
				this.eventQueue.add(retryDelayMs, () => {
					this.submitRequest(request);
				});
			} else {
				this.#endRequest(request, result);
			}

			this.#sendWaitingRequests();
		});
	}

	#findWorker(): Worker | undefined {
		let leastBusy: Worker | undefined;
		let lowestScore = Number.POSITIVE_INFINITY;
		for (const worker of this.workers) {
			const inFlightCount = this.#inFlightCounts.get(worker) ?? 0;
			const score = inFlightCount + this.random.getFraction();
			if (inFlightCount < slotsPerWorker && score < lowestScore) {
				leastBusy = worker;
				lowestScore = score;
			}
		}

		return leastBusy;
	}

	#endRequest(request: LoadRequest, result: WorkerResult): void {
		request.outcome = result.kind === 'answered' ? 'completed' : 'unknown';
		request.status = result.kind === 'answered' ? result.status : 502;
		request.endedAt = this.eventQueue.now;
		this.report(request);
	}
}
