import {type AttemptFailure} from '@pistachiogauge/model';
import {type EventQueue} from '../virtual/event-queue.js';
import {type Job} from './job.js';

/** How a worker treats requests. */
export type WorkerMode = 'normal' | 'fail' | 'down';

/** End of a run at a worker. */
export type RunEnd =
	| {readonly kind: 'answered'; readonly status: number}
	| {readonly kind: 'failed'; readonly failure: AttemptFailure};

/** A worker of a measured pool. */
export type Worker = {
	readonly id: string;
	readonly address: string;
	readonly rack: string;
	mode: WorkerMode;
	busy: number;
	/** Time that the slots were in use, summed over the slots. */
	busyMs: number;
	/** Virtual times at which requests were sent to it. */
	readonly receivedAt: number[];
	refused: number;
	readonly running: Set<(end: RunEnd) => void>;
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
		busy: 0,
		busyMs: 0,
		receivedAt: [],
		refused: 0,
		running: new Set<(end: RunEnd) => void>(),
	}));
}

type RunMode = (queue: EventQueue, worker: Worker, job: Job, end: (result: RunEnd) => void) => void;

const runModes: Readonly<Record<WorkerMode, RunMode>> = {
	normal(queue, worker, job, end) {
		if (worker.busy >= slotsPerWorker) {
			worker.refused += 1;
			queue.add(1, () => {
				end({kind: 'answered', status: 503});
			});
			return;
		}

		takeSlot(queue, worker, job.runMs, end, {kind: 'answered', status: 200});
	},
	fail(queue, worker, _job, end) {
		takeSlot(queue, worker, failMs, end, {kind: 'answered', status: 500});
	},
	down(queue, _worker, _job, end) {
		queue.add(refusedConnectionMs, () => {
			end({kind: 'failed', failure: 'not-sent'});
		});
	},
};

/** Runs one attempt of a job at a worker; `end` is called once. */
export function runJob(queue: EventQueue, worker: Worker, job: Job, end: (result: RunEnd) => void): void {
	job.attempts += 1;
	job.startedAt ??= queue.now;
	worker.receivedAt.push(queue.now);
	runModes[worker.mode](queue, worker, job, end);
}

/** Ends a worker; its connections break. */
export function stopWorker(worker: Worker): void {
	worker.mode = 'down';
	worker.busy = 0;
	for (const end of worker.running) {
		end({kind: 'failed', failure: 'connection-lost'});
	}
}

function takeSlot(queue: EventQueue, worker: Worker, runMs: number, end: (result: RunEnd) => void, result: RunEnd): void {
	const startedAt = queue.now;
	const finish = (ending: RunEnd) => {
		if (worker.running.delete(finish)) {
			worker.busyMs += queue.now - startedAt;
			end(ending);
		}
	};

	worker.busy += 1;
	worker.running.add(finish);
	queue.add(runMs, () => {
		if (worker.running.has(finish)) {
			worker.busy -= 1;
			finish(result);
		}
	});
}
