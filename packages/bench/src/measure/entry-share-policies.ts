import {type RandomSource} from '@pistachiogauge/decisions';
import {type EventQueue} from '../virtual/event-queue.js';
import {type Job} from './job.js';
import {type Policy, type PolicyRun} from './run-load.js';
import {runJob, slotsPerWorker, type Worker} from './workers.js';

const entryCount = 8;
const reportIntervalMs = 250;
const refusalPauseMs = 20;

/** One entry of a policy without owners: it has a queue of its own and knows its own requests at each worker. */
type SharingEntry = {
	readonly waiting: Job[];
	readonly own: number[];
	/** Requests of the other entries at each worker, as last reported. */
	readonly others: number[];
};

/** Whether an entry may send one more request to a worker. */
type SlotRule = (entry: SharingEntry, worker: number) => boolean;

/** Every entry may use an equal part of each worker's slots. */
export const staticShares: Policy = createSharingPolicy('static-shares-per-entry', (entry, worker) => entry.own[worker]! < slotsPerWorker / entryCount);

/** Every entry counts its own requests and the others' last report. */
export const localGuessing: Policy = createSharingPolicy('local-guessing', (entry, worker) => entry.own[worker]! + entry.others[worker]! < slotsPerWorker);

function createSharingPolicy(name: string, isFree: SlotRule): Policy {
	return {
		name,
		start: (queue, workers, random, report) => new SharingRun(queue, workers, random, report, isFree),
	};
}

class SharingRun implements PolicyRun {
	readonly #entries: readonly SharingEntry[];

	constructor(
		readonly queue: EventQueue,
		readonly workers: readonly Worker[],
		readonly random: RandomSource,
		readonly report: (job: Job) => void,
		readonly isFree: SlotRule,
	) {
		this.#entries = Array.from({length: entryCount}, () => ({waiting: [], own: workers.map(() => 0), others: workers.map(() => 0)}));
		this.#exchangeReports();
	}

	ask(job: Job): void {
		const entry = this.#entries[this.random.getInteger(entryCount)]!;
		entry.waiting.push(job);
		this.#startWaiting(entry);
	}

	#exchangeReports(): void {
		for (const [index] of this.workers.entries()) {
			const total = this.#entries.reduce((sum, entry) => sum + entry.own[index]!, 0);
			for (const entry of this.#entries) {
				entry.others[index] = total - entry.own[index]!;
			}
		}

		for (const entry of this.#entries) {
			this.#startWaiting(entry);
		}

		this.queue.add(reportIntervalMs, () => {
			this.#exchangeReports();
		});
	}

	#startWaiting(entry: SharingEntry): void {
		for (let worker = this.#findWorker(entry); worker !== undefined && entry.waiting.length > 0; worker = this.#findWorker(entry)) {
			const job = entry.waiting.shift()!;
			if (this.queue.now >= job.at + job.deadlineMs) {
				this.#endJob(job, 'not-run', 504);
				continue;
			}

			this.#send(entry, worker, job);
		}
	}

	#send(entry: SharingEntry, worker: number, job: Job): void {
		entry.own[worker]! += 1;
		runJob(this.queue, this.workers[worker]!, job, end => {
			entry.own[worker]! -= 1;
			if (end.kind === 'answered' && end.status === 503) {
				// A refusal shows that the worker is full; that is believed until the next report.
				entry.others[worker] = slotsPerWorker - entry.own[worker]!;
				this.queue.add(refusalPauseMs, () => {
					entry.waiting.unshift(job);
					this.#startWaiting(entry);
				});
			} else {
				const isInTime = end.kind === 'answered' && this.queue.now <= job.at + job.deadlineMs;
				this.#endJob(job, isInTime ? 'completed' : 'unknown', end.kind === 'answered' ? end.status : 502);
			}

			this.#startWaiting(entry);
		});
	}

	#findWorker(entry: SharingEntry): number | undefined {
		let best: number | undefined;
		for (const [index] of this.workers.entries()) {
			const load = entry.own[index]! + entry.others[index]!;
			if (this.isFree(entry, index) && (best === undefined || load < entry.own[best]! + entry.others[best]!)) {
				best = index;
			}
		}

		return best;
	}

	#endJob(job: Job, outcome: 'completed' | 'not-run' | 'unknown', status: number): void {
		job.outcome = outcome;
		job.status = status;
		job.endedAt = this.queue.now;
		this.report(job);
	}
}
