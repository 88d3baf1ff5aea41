import {describe, expect, it} from 'vitest';
import {estimateArrivingMillis, type Arrival} from './estimate-arrivals.js';

/** Lists arrivals of equal work at intervals of `gapMs` over the last `spanMs`. */
function listArrivals({
	work, gapMs, spanMs, initialSlackMs = 1200,
}: {readonly work: number; readonly gapMs: number; readonly spanMs: number; readonly initialSlackMs?: number}): Arrival[] {
	return Array.from({length: Math.floor(spanMs / gapMs)}, (_, index) => ({work, ageMs: index * gapMs, initialSlackMs}));
}

// Bursts of demand: many small jobs in one pool, and a few large ones in another.
const cases = [
	// Twenty jobs a second of 10 core-seconds keep 200 cores busy.
	{
		name: 'many small jobs for a second', arrivals: listArrivals({work: 10_000_000, gapMs: 50, spanMs: 2000}), least: 160_000, most: 200_000,
	},
	{
		name: 'the first 300 ms of a burst', arrivals: listArrivals({work: 10_000_000, gapMs: 50, spanMs: 300}), least: 100_000, most: 200_000,
	},
	{
		// Load pattern: a rate that rises from nothing to 80 jobs a second within a second. Machines that are ordered for the mean of the last second come when twice as many are needed.
		name: 'a rate that is still rising', arrivals: Array.from({length: 40}, (_, index) => ({work: 10_000_000, ageMs: 1000 * (1 - Math.sqrt((index + 1) / 40)), initialSlackMs: 1200})), least: 800_000, most: 1_200_000,
	},
	{
		name: 'many jobs that can wait for a machine', arrivals: listArrivals({
			work: 10_000_000, gapMs: 50, spanMs: 2000, initialSlackMs: 3000,
		}), least: 0, most: 0,
	},
	{
		// Guards against moving the whole fleet to one pool because of five large jobs within half a second.
		name: 'large jobs, which can wait', arrivals: listArrivals({
			work: 300_000_000, gapMs: 100, spanMs: 500, initialSlackMs: 3100,
		}), least: 0, most: 0,
	},
	{
		name: 'a single job that cannot wait counts half', arrivals: [{work: 10_000_000, ageMs: 100, initialSlackMs: 1200}], least: 12_500, most: 12_500,
	},
	{
		name: 'work that arrived more than a second ago', arrivals: [{work: 10_000_000, ageMs: 1300, initialSlackMs: 1200}, {work: 10_000_000, ageMs: 1500, initialSlackMs: 1200}], least: 0, most: 0,
	},
	{
		name: 'no arrivals', arrivals: [], least: 0, most: 0,
	},
] as const;

describe('estimateArrivingMillis', () => {
	it.each(cases)('$name', ({arrivals, least, most}) => {
		const estimate = estimateArrivingMillis(arrivals);
		expect(estimate).toBeGreaterThanOrEqual(least);
		expect(estimate).toBeLessThanOrEqual(most);
	});
});
