import {type RequestClass} from '@pistachiogauge/model';
import {type EventQueue} from '../virtual/event-queue.js';
import {type Job} from './job.js';
import {type Policy, type PolicyRun} from './run-load.js';
import {runJob, slotsPerWorker, type Worker} from './workers.js';

/** Order of the queues of a policy: the first queue that is not empty is served. */
type QueueOrder = {
	readonly count: number;
	readonly getIndex: (job: Job) => number;
};

const classIndexes: Readonly<Record<RequestClass, number>> = {urgent: 0, normal: 1, deferrable: 2};

/** One first-in-first-out queue for all requests. */
export const sharedFifo: Policy = createQueuePolicy('shared-fifo', {count: 1, getIndex: () => 0});

/** The most urgent class first, whatever the others wait. */
export const strictPriority: Policy = createQueuePolicy('strict-priority', {count: 3, getIndex: job => classIndexes[job.requestClass]});

type WaitingQueue = {
	readonly items: Job[];
	head: number;
};

/** Places waiting requests on the least busy workers. */
function createQueuePolicy(name: string, order: QueueOrder): Policy {
	return {
		name,
		start(queue, workers, _random, report) {
			return createQueueRun(queue, workers, order, report);
		},
	};
}

function createQueueRun(queue: EventQueue, workers: readonly Worker[], order: QueueOrder, report: (job: Job) => void): PolicyRun {
	const waiting: WaitingQueue[] = Array.from({length: order.count}, () => ({items: [], head: 0}));

	function startWaiting(): void {
		for (let worker = findFreeWorker(workers); worker !== undefined; worker = findFreeWorker(workers)) {
			const job = takeFirst(waiting, queue, report);
			if (job === undefined) {
				return;
			}

			runJob(queue, worker, job, end => {
				const isInTime = end.kind === 'answered' && queue.now <= job.at + job.deadlineMs;
				endJob(job, queue, isInTime ? 'completed' : 'unknown', report);
				job.status = end.kind === 'answered' ? end.status : 502;
				startWaiting();
			});
		}
	}

	return {
		ask(job) {
			waiting[order.getIndex(job)]!.items.push(job);
			startWaiting();
		},
	};
}

function findFreeWorker(workers: readonly Worker[]): Worker | undefined {
	let best: Worker | undefined;
	for (const worker of workers) {
		if (worker.busy < slotsPerWorker && (best === undefined || worker.busy < best.busy)) {
			best = worker;
		}
	}

	return best;
}

/** Next request whose deadline has not passed. */
function takeFirst(waiting: readonly WaitingQueue[], queue: EventQueue, report: (job: Job) => void): Job | undefined {
	for (const line of waiting) {
		while (line.head < line.items.length) {
			const job = line.items[line.head]!;
			line.head += 1;
			if (queue.now < job.at + job.deadlineMs) {
				return job;
			}

			endJob(job, queue, 'not-run', report);
		}
	}

	return undefined;
}

function endJob(job: Job, queue: EventQueue, outcome: 'completed' | 'not-run' | 'unknown', report: (job: Job) => void): void {
	job.outcome = outcome;
	job.endedAt = queue.now;
	report(job);
}
