import {describe, expect, it} from 'vitest';
import {estimateArrivals, type Arrival} from './estimate-arrivals.js';

/** Arrivals of equal work, one each `gapMs`, over the last `spanMs`. */
function listArrivals({work, gapMs, spanMs}: {readonly work: number; readonly gapMs: number; readonly spanMs: number}): Arrival[] {
	return Array.from({length: Math.floor(spanMs / gapMs)}, (_, index) => ({work, ageMs: index * gapMs}));
}

// Pattern: turns of demand, of many small jobs in one pool and of few large ones in another.
const cases = [
	// Twenty jobs a second of 10 core-seconds keep 200 cores busy.
	{
		name: 'many small jobs for a second', arrivals: listArrivals({work: 10_000_000, gapMs: 50, spanMs: 2000}), least: 140_000, most: 200_000,
	},
	{
		name: 'the first 300 ms of a turn', arrivals: listArrivals({work: 10_000_000, gapMs: 50, spanMs: 300}), least: 80_000, most: 200_000,
	},
	// Guards against five large jobs in half a second that brought the whole fleet to one pool.
	{
		name: 'one large job', arrivals: [{work: 300_000_000, ageMs: 100}], least: 0, most: 0,
	},
	{
		name: 'a large job among small ones', arrivals: [{work: 300_000_000, ageMs: 100}, ...listArrivals({work: 10_000_000, gapMs: 200, spanMs: 2000})], least: 0, most: 150_000,
	},
	{
		name: 'work that came seconds ago', arrivals: [{work: 10_000_000, ageMs: 1300}, {work: 10_000_000, ageMs: 1500}], least: 0, most: 0,
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
