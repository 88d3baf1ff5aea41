import {type StoreClient} from '@pistachiogauge/platform';
import {decodeRecord, recordKeys} from './job-records.js';

/** A count is reused for this time, as many callers may ask for one. */
const maxAgeMs = 1000;

/** Counts by queue the jobs of a pool of which no task has started by their stored records. @throws If the store cannot be read. @internal */
export type QueuedJobCounter = (pool: string) => Promise<ReadonlyMap<string, number>>;

/** @internal */
export function createQueuedJobCounter(store: Pick<StoreClient, 'listItems'>, getNow: () => number): QueuedJobCounter {
	const counts = new Map<string, {readonly startedAt: number; readonly result: Promise<ReadonlyMap<string, number>>}>();

	async function countQueuedJobs(pool: string): Promise<ReadonlyMap<string, number>> {
		const {items} = await store.listItems(recordKeys.getProgressKey(pool, ''));
		const countsByQueue = new Map<string, number>();
		for (const item of items) {
			const progress = decodeRecord('progress', item);
			if (progress?.status === 'queued') {
				countsByQueue.set(progress.queue, (countsByQueue.get(progress.queue) ?? 0) + 1);
			}
		}

		return countsByQueue;
	}

	return async pool => {
		const known = counts.get(pool);
		if (known !== undefined && getNow() < known.startedAt + maxAgeMs) {
			return known.result;
		}

		const result = countQueuedJobs(pool);
		counts.set(pool, {startedAt: getNow(), result});
		result.catch(() => {
			counts.delete(pool);
		});
		return result;
	};
}
