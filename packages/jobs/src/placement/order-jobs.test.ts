import {describe, expect, it} from 'vitest';
import {createTestJob} from '../testing.test-support.js';
import {type Job} from '../ledger/index.js';
import {estimateJob} from '../observation/estimate-job.js';
import {orderByLargestFirst, rankJob, type RankedJob} from './order-jobs.js';

const getEstimate = (job: Job) => estimateJob(job, spec => spec.estimateMs);

function orderJobs(jobs: readonly Job[], capacityMillis: number): RankedJob[] {
	return orderByLargestFirst(jobs.map(job => rankJob(job, getEstimate(job), 0)), capacityMillis);
}

/** Simulates a pool that runs one job at a time in the given order, and counts the jobs that finish within their objective. */
function countTimely(order: ReadonlyArray<{readonly dueInMs: number; readonly remainingWork: number}>, capacityMillis: number): number {
	let at = 0;
	let count = 0;
	for (const {dueInMs, remainingWork} of order) {
		at += remainingWork / capacityMillis;
		count += at <= dueInMs ? 1 : 0;
	}

	return count;
}

describe('orderByLargestFirst', () => {
	// Load pattern: a burst of jobs of one queue exceeds the pool's capacity. Running those with the least slack first makes nearly all of them late.
	it.each([
		{name: 'a burst of equal jobs', counts: Array.from({length: 30}, () => 4)},
		{name: 'a burst with a few large jobs', counts: [...Array.from({length: 20}, () => 2), 24, 24, 24, 24]},
		{name: 'large jobs first', counts: [24, 24, 24, 24, ...Array.from({length: 20}, () => 2)]},
	])('serves more in time than least slack first: $name', ({counts}) => {
		const capacityMillis = 16_000;
		const jobs = counts.map((count, index) => createTestJob(`job-${index}`, [{count}]));
		const leastSlack = jobs.map(job => rankJob(job, getEstimate(job), 0)).sort((left, right) => left.slackMs - right.slackMs || right.remainingWork - left.remainingWork);
		const ordered = orderJobs(jobs, capacityMillis);
		expect(countTimely(ordered, capacityMillis)).toBeGreaterThanOrEqual(countTimely(leastSlack, capacityMillis));
		const timely = ordered.filter(({objectiveStatus}) => objectiveStatus === 'timely');
		expect(countTimely(timely, capacityMillis)).toBe(timely.length);
	});

	it('displaces no job while there is capacity for all', () => {
		const jobs = [1, 2, 3].map(count => createTestJob(`job-${count}`, [{count}]));
		expect(orderJobs(jobs, 16_000).map(({objectiveStatus}) => objectiveStatus)).toEqual(['timely', 'timely', 'timely']);
	});

	// Load pattern: short jobs arrive beside long-running ones. Hopeless jobs must not take resources from jobs that can finish in time.
	it.each([
		{
			name: 'a long-running job', steps: [{isLongRunning: true}], now: 0, objectiveStatus: 'serving',
		},
		{
			name: 'a new job', steps: [{estimateMs: 1000}], now: 0, objectiveStatus: 'timely',
		},
		{
			name: 'a job past its objective', steps: [{estimateMs: 1000}], now: 2000, objectiveStatus: 'late',
		},
		{
			name: 'a job past three times its objective', steps: [{estimateMs: 1000}], now: 7000, objectiveStatus: 'hopeless',
		},
		{
			name: 'a chain of steps, counted as a whole,', steps: [{estimateMs: 1000}, {estimateMs: 1000, after: [0]}], now: 2000, objectiveStatus: 'late',
		},
		{
			name: 'a chain with slack', steps: [{estimateMs: 1000}, {estimateMs: 1000, after: [0]}], now: 1500, objectiveStatus: 'timely',
		},
	] as const)('$name is $objectiveStatus', ({steps, now, objectiveStatus}) => {
		const job = createTestJob('job', steps);
		expect(rankJob(job, getEstimate(job), now).objectiveStatus).toBe(objectiveStatus);
	});
});
