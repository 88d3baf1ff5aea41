import {describe, expect, it} from 'vitest';
import {estimateArrivals, type Arrival} from './estimate-arrivals.js';

/** Arrivals of equal work, one each `gapMs`, over the last `spanMs`. */
function listArrivals({
	work, gapMs, spanMs, patienceMs = 1200,
}: {readonly work: number; readonly gapMs: number; readonly spanMs: number; readonly patienceMs?: number}): Arrival[] {
	return Array.from({length: Math.floor(spanMs / gapMs)}, (_, index) => ({work, ageMs: index * gapMs, patienceMs}));
}

// Pattern: turns of demand, of many small jobs in one pool and of few large ones in another.
const cases = [
	// Twenty jobs a second of 10 core-seconds keep 200 cores busy.
	{
		name: 'many small jobs for a second', arrivals: listArrivals({work: 10_000_000, gapMs: 50, spanMs: 2000}), least: 160_000, most: 200_000,
	},
	{
		name: 'the first 300 ms of a turn', arrivals: listArrivals({work: 10_000_000, gapMs: 50, spanMs: 300}), least: 100_000, most: 200_000,
	},
	{
		name: 'many jobs that can wait for a machine', arrivals: listArrivals({
			work: 10_000_000, gapMs: 50, spanMs: 2000, patienceMs: 3000,
		}), least: 0, most: 0,
	},
	{
		// Guards against five large jobs in half a second that brought the whole fleet to one pool.
		name: 'large jobs, which can wait', arrivals: listArrivals({
			work: 300_000_000, gapMs: 100, spanMs: 500, patienceMs: 3100,
		}), least: 0, most: 0,
	},
	{
		name: 'one job that cannot wait counts half', arrivals: [{work: 10_000_000, ageMs: 100, patienceMs: 1200}], least: 12_500, most: 12_500,
	},
	{
		name: 'work that came seconds ago', arrivals: [{work: 10_000_000, ageMs: 1300, patienceMs: 1200}, {work: 10_000_000, ageMs: 1500, patienceMs: 1200}], least: 0, most: 0,
	},
	{
		name: 'nothing', arrivals: [], least: 0, most: 0,
	},
] as const;

describe('estimateArrivals', () => {
	it.each(cases)('$name', ({arrivals, least, most}) => {
		const estimate = estimateArrivals(arrivals);
		expect(estimate).toBeGreaterThanOrEqual(least);
		expect(estimate).toBeLessThanOrEqual(most);
	});
});
