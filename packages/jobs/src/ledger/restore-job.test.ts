import {describe, expect, it} from 'vitest';
import {createTestJob} from '../testing.test-support.js';
import {createOccurrences, createReportedOccurrence, restoreJob} from './restore-job.js';
import {completeTask, listPendingTasks} from './task-table.js';

const wallTime = 1_000_000_000_000;

// Guards against a job of a few bytes that exhausts the memory of its pool's owner, and then that of each next owner.
const cases = [
	{
		name: 'all occurrences are due at once', repeatCount: 1_000_000_000, intervalMs: 0, tasks: 10, expected: 2000,
	},
	{
		name: 'the start lies far in the past', repeatCount: 1_000_000_000, intervalMs: 1, tasks: 1000, expected: 20,
	},
	{
		name: 'a few occurrences are due', repeatCount: 50, intervalMs: 100, tasks: 3, expected: 50,
	},
] as const;

describe('createOccurrences', () => {
	it.each(cases)('creates $expected occurrences when $name', ({repeatCount, intervalMs, tasks, expected}) => {
		const {record} = createTestJob('job', [{count: tasks}]);
		const job = restoreJob({
			job: {
				...record, spec: {
					...record.spec, repeatCount, startAtMs: 0, intervalMs,
				},
			}, progress: {
				queue: record.queue, status: 'queued', steps: {}, lastRun: 0,
			}, revision: 1, isCancelled: false,
		}, {now: 0, wallTime});
		expect(job.createdOccurrences).toBe(expected);
		for (const task of listPendingTasks(job.steps.get('0.0')!)) {
			completeTask(task);
		}

		expect(createOccurrences(job, {now: 0, wallTime})).toBe(expected < repeatCount);
	});
});

// Guards against a job that never ends, as an endpoint reports a run of an occurrence that it does not have.
describe('createReportedOccurrence', () => {
	it.each([
		{occurrence: 0, steps: ['0.0']},
		{occurrence: 2, steps: ['0.0', '2.0']},
		{occurrence: 3, steps: ['0.0']},
		{occurrence: -1, steps: ['0.0']},
		{occurrence: 0.5, steps: ['0.0']},
		{occurrence: Number.NaN, steps: ['0.0']},
	])('leaves $steps after occurrence $occurrence of 3 was reported', ({occurrence, steps}) => {
		const {record} = createTestJob('job', [{}]);
		const job = restoreJob({
			job: {
				...record, spec: {
					...record.spec, repeatCount: 3, startAtMs: 0, intervalMs: 60_000,
				},
			}, progress: {
				queue: record.queue, status: 'queued', steps: {}, lastRun: 0,
			}, revision: 1, isCancelled: false,
		}, {now: 0, wallTime: 0});
		createReportedOccurrence(job, occurrence, {now: 0});
		expect([...job.steps.keys()]).toEqual(steps);
	});
});
