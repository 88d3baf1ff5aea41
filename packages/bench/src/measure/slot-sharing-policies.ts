import {type RandomSource} from '@pistachiogauge/decisions';
import {type EventQueue} from '../virtual/event-queue.js';
import {type LoadRequest} from './load-request.js';
import {type Policy, type PolicyRun} from './run-load.js';
import {runAttempt, slotsPerWorker, type Worker} from './workers.js';

const entryCount = 8;
const reportIntervalMs = 250;
const refusalRetryDelayMs = 20;

/** An entry of a policy without pool owners: it has its own queue and counts its own requests at each worker. */
type SharingEntry = {
	readonly waitingRequests: LoadRequest[];
	readonly ownCounts: number[];
	/** Requests of the other entries at each worker, according to the last report. */
	readonly reportedCounts: number[];
};

/** Whether an entry may send one more request to a worker. */
type SlotRule = (entry: SharingEntry, worker: number) => boolean;

/** Each entry may use an equal share of each worker's slots. */
export const staticShares: Policy = createSlotSharingPolicy('static-shares-per-entry', (entry, worker) => entry.ownCounts[worker]! < slotsPerWorker / entryCount);

/** Each entry adds its own requests to the counts of the last report. */
export const localGuessing: Policy = createSlotSharingPolicy('local-guessing', (entry, worker) => entry.ownCounts[worker]! + entry.reportedCounts[worker]! < slotsPerWorker);

function createSlotSharingPolicy(name: string, canSend: SlotRule): Policy {
	return {
		name,
		start: (eventQueue, workers, random, report) => new SlotSharingRun(eventQueue, workers, random, report, canSend),
	};
}

class SlotSharingRun implements PolicyRun {
	readonly #entries: readonly SharingEntry[];

	constructor(
		readonly eventQueue: EventQueue,
		readonly workers: readonly Worker[],
		readonly random: RandomSource,
		readonly report: (request: LoadRequest) => void,
		readonly canSend: SlotRule,
	) {
		this.#entries = Array.from({length: entryCount}, () => ({waitingRequests: [], ownCounts: workers.map(() => 0), reportedCounts: workers.map(() => 0)}));
		this.#exchangeReports();
	}

	submitRequest(request: LoadRequest): void {
		const entry = this.#entries[this.random.getInteger(entryCount)]!;
		entry.waitingRequests.push(request);
		this.#sendWaitingRequests(entry);
	}

	#exchangeReports(): void {
		for (const [index] of this.workers.entries()) {
			const total = this.#entries.reduce((sum, entry) => sum + entry.ownCounts[index]!, 0);
			for (const entry of this.#entries) {
				entry.reportedCounts[index] = total - entry.ownCounts[index]!;
			}
		}

		for (const entry of this.#entries) {
			this.#sendWaitingRequests(entry);
		}

		this.eventQueue.add(reportIntervalMs, () => {
			this.#exchangeReports();
		});
	}

	#sendWaitingRequests(entry: SharingEntry): void {
		for (let worker = this.#findWorker(entry); worker !== undefined && entry.waitingRequests.length > 0; worker = this.#findWorker(entry)) {
			const request = entry.waitingRequests.shift()!;
			if (this.eventQueue.now >= request.sentAt + request.deadlineMs) {
				this.#endRequest(request, 'not-run', 504);
				continue;
			}

			this.#startAttempt(entry, worker, request);
		}
	}

	#startAttempt(entry: SharingEntry, worker: number, request: LoadRequest): void {
		entry.ownCounts[worker]! += 1;
		runAttempt(this.eventQueue, this.workers[worker]!, request, result => {
			entry.ownCounts[worker]! -= 1;
			if (result.kind === 'answered' && result.status === 503) {
				// A refusal means that the worker is full; the entry assumes so until the next report.
				entry.reportedCounts[worker] = slotsPerWorker - entry.ownCounts[worker]!;
				this.eventQueue.add(refusalRetryDelayMs, () => {
					entry.waitingRequests.unshift(request);
					this.#sendWaitingRequests(entry);
				});
			} else {
				const isInTime = result.kind === 'answered' && this.eventQueue.now <= request.sentAt + request.deadlineMs;
				this.#endRequest(request, isInTime ? 'completed' : 'unknown', result.kind === 'answered' ? result.status : 502);
			}

			this.#sendWaitingRequests(entry);
		});
	}

	#findWorker(entry: SharingEntry): number | undefined {
		let leastBusy: number | undefined;
		for (const [index] of this.workers.entries()) {
			const load = entry.ownCounts[index]! + entry.reportedCounts[index]!;
			if (this.canSend(entry, index) && (leastBusy === undefined || load < entry.ownCounts[leastBusy]! + entry.reportedCounts[leastBusy]!)) {
				leastBusy = index;
			}
		}

		return leastBusy;
	}

	#endRequest(request: LoadRequest, outcome: 'completed' | 'not-run' | 'unknown', status: number): void {
		request.outcome = outcome;
		request.status = status;
		request.endedAt = this.eventQueue.now;
		this.report(request);
	}
}
