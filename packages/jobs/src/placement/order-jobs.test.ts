import {describe, expect, it} from 'vitest';
import {createTestJob} from '../testing.test-support.js';
import {orderJobs, rankJob} from './order-jobs.js';

const getFactor = () => 1;

/** Plays jobs one after the other on a pool that works on one at a time, and counts those done within their objective. */
function countTimely(order: ReadonlyArray<{readonly dueInMs: number; readonly remainingWork: number}>, capacityMillis: number): number {
	let at = 0;
	let count = 0;
	for (const {dueInMs, remainingWork: restWork} of order) {
		at += restWork / capacityMillis;
		count += at <= dueInMs ? 1 : 0;
	}

	return count;
}

describe('orderJobs', () => {
	// Pattern: a burst of one class asks for more than its pool has. Least slack first makes nearly all of them late.
	it.each([
		{name: 'a burst of equal jobs', counts: Array.from({length: 30}, () => 4)},
		{name: 'a burst with a few large jobs', counts: [...Array.from({length: 20}, () => 2), 24, 24, 24, 24]},
		{name: 'large jobs first', counts: [24, 24, 24, 24, ...Array.from({length: 20}, () => 2)]},
	])('serves more in time than least slack first: $name', ({counts}) => {
		const capacityMillis = 16_000;
		const jobs = counts.map((count, index) => createTestJob(`job-${index}`, [{count}]));
		const leastSlack = jobs.map(job => rankJob(job, 1, 0)).sort((left, right) => left.slackMs - right.slackMs || right.remainingWork - left.remainingWork);
		const ordered = orderJobs(jobs, getFactor, capacityMillis, 0);
		expect(countTimely(ordered, capacityMillis)).toBeGreaterThanOrEqual(countTimely(leastSlack, capacityMillis));
		const timely = ordered.filter(({objectiveStatus: standing}) => standing === 'timely');
		expect(countTimely(timely, capacityMillis)).toBe(timely.length);
	});

	it('displaces nobody while there is room for all', () => {
		const jobs = [1, 2, 3].map(count => createTestJob(`job-${count}`, [{count}]));
		expect(orderJobs(jobs, getFactor, 16_000, 0).map(({objectiveStatus: standing}) => standing)).toEqual(['timely', 'timely', 'timely']);
	});

	// Pattern: long work lasts while short work comes and goes; hopeless jobs must not take the room of those that can be in time.
	it.each([
		{
			name: 'tasks that last', steps: [{isLongRunning: true}], now: 0, standing: 'serving',
		},
		{
			name: 'a new job', steps: [{estimateMs: 1000}], now: 0, standing: 'timely',
		},
		{
			name: 'a job past its objective', steps: [{estimateMs: 1000}], now: 2000, standing: 'late',
		},
		{
			name: 'a job past three times its objective', steps: [{estimateMs: 1000}], now: 7000, standing: 'hopeless',
		},
		{
			name: 'a chain of steps counts as a whole', steps: [{estimateMs: 1000}, {estimateMs: 1000, after: [0]}], now: 2000, standing: 'late',
		},
		{
			name: 'a chain with slack', steps: [{estimateMs: 1000}, {estimateMs: 1000, after: [0]}], now: 1500, standing: 'timely',
		},
	] as const)('$name is $standing', ({steps, now, standing}) => {
		expect(rankJob(createTestJob('job', steps), 1, now).objectiveStatus).toBe(standing);
	});
});
