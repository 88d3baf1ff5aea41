import {type RandomSource} from '@pistachiogauge/decisions';
import {type EventQueue} from '../virtual/event-queue.js';
import {type Job} from './job.js';
import {type Policy, type PolicyRun} from './run-load.js';
import {
	runJob, slotsPerWorker, type RunEnd, type Worker,
} from './workers.js';

const retryPauseMs = 20;

/** Sends each failed idempotent request again after a pause until its deadline, to the least busy worker, whatever its record. */
export const unlimitedRetries: Policy = {
	name: 'unlimited-retries',
	start: (queue, workers, random, report) => new RetryingRun(queue, workers, random, report),
};

class RetryingRun implements PolicyRun {
	readonly #waiting: Job[] = [];
	readonly #sent = new Map<Worker, number>();

	constructor(
		readonly queue: EventQueue,
		readonly workers: readonly Worker[],
		readonly random: RandomSource,
		readonly report: (job: Job) => void,
	) {}

	ask(job: Job): void {
		this.#waiting.push(job);
		this.#startWaiting();
	}

	#startWaiting(): void {
		for (let worker = this.#findWorker(); worker !== undefined && this.#waiting.length > 0; worker = this.#findWorker()) {
			const job = this.#waiting.shift()!;
			if (this.queue.now >= job.at + job.deadlineMs) {
				this.#endJob(job, {kind: 'answered', status: 504});
				continue;
			}

			this.#send(worker, job);
		}
	}

	#send(worker: Worker, job: Job): void {
		this.#sent.set(worker, (this.#sent.get(worker) ?? 0) + 1);
		runJob(this.queue, worker, job, end => {
			this.#sent.set(worker, this.#sent.get(worker)! - 1);
			const hasFailed = end.kind === 'failed' || end.status >= 500;
			if (hasFailed && job.isIdempotent && this.queue.now + retryPauseMs < job.at + job.deadlineMs) {
				this.queue.add(retryPauseMs, () => {
					this.ask(job);
				});
			} else {
				this.#endJob(job, end);
			}

			this.#startWaiting();
		});
	}

	#findWorker(): Worker | undefined {
		let best: Worker | undefined;
		let bestScore = Number.POSITIVE_INFINITY;
		for (const worker of this.workers) {
			const sent = this.#sent.get(worker) ?? 0;
			const score = sent + this.random.getFraction();
			if (sent < slotsPerWorker && score < bestScore) {
				best = worker;
				bestScore = score;
			}
		}

		return best;
	}

	#endJob(job: Job, end: RunEnd): void {
		job.outcome = end.kind === 'answered' ? 'completed' : 'unknown';
		job.status = end.kind === 'answered' ? end.status : 502;
		job.endedAt = this.queue.now;
		this.report(job);
	}
}
