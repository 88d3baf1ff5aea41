import {describe, expect, it} from 'vitest';
import {computeJobValue} from './job-value.js';
import {
	classifySize, createQueueWork, estimateWorkRatio, recordQueueWork,
} from './queue-work.js';
import {createQueueService, isSizeShort, recordOutcome} from './size-guard.js';

const objectiveMs = 1000;

describe('computeJobValue', () => {
	// Guards against values that differ from those that the operators state.
	it.each([
		{name: 'an average job on time', input: {}, expected: 1},
		{name: 'a job without work', input: {workRatio: 0}, expected: 0.3},
		{name: 'a job of twice the mean work', input: {workRatio: 2}, expected: 1.7},
		{name: 'a job of any size above that', input: {workRatio: 50}, expected: 4},
		{name: 'a job at its objective', input: {latencyMs: objectiveMs}, expected: 1},
		{name: 'a late job', input: {latencyMs: objectiveMs + 1}, expected: 0.07},
		{name: 'a job at three times its objective', input: {latencyMs: 3 * objectiveMs}, expected: 0.07},
		{name: 'a job beyond that', input: {latencyMs: (3 * objectiveMs) + 1}, expected: 0},
		{name: 'a job of priority 0', input: {priority: 0}, expected: 1},
		{name: 'a job of priority 2', input: {priority: 2}, expected: 0.5},
	])('of $name is $expected', ({input, expected}) => {
		expect(computeJobValue({
			priority: 1, workRatio: 1, latencyMs: 500, objectiveMs, ...input,
		})).toBeCloseTo(expected);
	});
});

describe('queue work', () => {
	// Guards against a first job that decides the value of all others, and against guards on queues of equal jobs.
	it.each([
		{
			name: 'nothing is known', works: [], work: 900, ratio: 1, size: 'small',
		},
		{
			name: 'one job is known', works: [900], work: 90, ratio: 0.82, size: 'small',
		},
		{
			name: 'many jobs are known', works: Array.from({length: 200}, (_, index) => 1 + (index % 100)), work: 101, ratio: 1.96, size: 'large',
		},
		{
			name: 'the job is at the limit of the largest tenth', works: Array.from({length: 100}, (_, index) => 1 + index), work: 90, ratio: 1.75, size: 'medium',
		},
		{
			name: 'the job is at the limit of the fifth below', works: Array.from({length: 100}, (_, index) => 1 + index), work: 70, ratio: 1.37, size: 'small',
		},
		{
			name: 'all jobs are equal', works: Array.from({length: 100}, () => 500), work: 500, ratio: 1, size: 'small',
		},
	])('is estimated when $name', ({works, work, ratio, size}) => {
		const queue = createQueueWork();
		for (const known of works) {
			recordQueueWork(queue, known);
		}

		expect(estimateWorkRatio(queue, work)).toBeCloseTo(ratio, 1);
		expect(classifySize(queue, work)).toBe(size);
		expect(queue.samples.length).toBeLessThanOrEqual(100);
	});
});

describe('isSizeShort', () => {
	// Guards against large jobs that are kept though they are served often enough, and the reverse.
	it.each([
		{
			name: 'none of the last large jobs was served', large: [false, false, false, false], open: {total: 4, kept: 0}, isShort: true,
		},
		{
			name: 'all of them were', large: [true, true, true, true], open: {total: 1, kept: 0}, isShort: false,
		},
		{
			name: 'enough are kept', large: [false, false, false, false], open: {total: 6, kept: 6}, isShort: false,
		},
	])('says whether $name', ({large, open, isShort}) => {
		const service = createQueueService();
		for (const isServed of large) {
			recordOutcome(service, 'large', isServed);
			recordOutcome(service, 'small', true);
			recordOutcome(service, 'small', true);
		}

		expect(isSizeShort(service, 'large', open)).toBe(isShort);
	});
});
