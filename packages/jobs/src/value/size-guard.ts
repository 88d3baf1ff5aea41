import {type JobSize} from './queue-work.js';

/** Decayed number of jobs whose outcome is known, and of those that were done on time. @public */
export type ServiceCount = {served: number; total: number};

/** How a queue's jobs have been served, in all and by size. @public */
export type QueueService = Readonly<Record<JobSize | 'all', ServiceCount>>;

/** Sizes that are guarded against being displaced altogether. @public */
export type GuardedSize = Exclude<JobSize, 'small'>;

/** Number of the newest outcomes that a count remembers. */
const memoryCounts: Readonly<Record<JobSize | 'all', number>> = {
	all: 200, large: 50, medium: 50, small: 200,
};
/** Share of the whole queue's rate at which each guarded size is kept: half by the operators' rule, and a margin, as some of the jobs that are kept still miss their objective, large ones more often. */
const guardedShares: Readonly<Record<GuardedSize, number>> = {large: 0.8, medium: 0.6};
/** Outcomes that a queue starts with, all on time, so that the first job does not decide. */
const initialCount = 2;

/** @public */
export function createQueueService(): QueueService {
	const createCount = () => ({served: initialCount, total: initialCount});
	return {
		all: createCount(), large: createCount(), medium: createCount(), small: createCount(),
	};
}

/** Records the outcome of a job. @public */
export function recordOutcome(service: QueueService, size: JobSize, isServed: boolean): void {
	for (const key of ['all', size] as const) {
		const count = service[key];
		const decay = 1 - (1 / memoryCounts[key]);
		count.served = (count.served * decay) + (isServed ? 1 : 0);
		count.total = (count.total * decay) + 1;
	}
}

/**
Whether more jobs of a guarded size have to be kept for its rate of service to reach the guarded share of its queue's.

@param open - Jobs of that size without an outcome, in all and those that are to be served.
@public
*/
export function isSizeShort(service: QueueService, size: GuardedSize, open: {readonly total: number; readonly kept: number}): boolean {
	const {served, total} = service[size];
	const rate = service.all.served / service.all.total;
	return served + open.kept < guardedShares[size] * rate * (total + open.total);
}
