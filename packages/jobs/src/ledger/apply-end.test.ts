import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {type ReportedEnd, type RunOutcome} from '../model/index.js';
import {createTestJob} from '../testing.test-support.js';
import {applyEnd} from './apply-end.js';
import {createPoolLedger, type Job} from './ledger-state.js';
import {restoreJob} from './restore-job.js';
import {formatProgress} from './save-progress.js';
import {getTask} from './task-table.js';

const context = {now: 0, wallTime: 0, random: createRandomSource(1)};

/** Applies ends of the job's first task, each written as `run outcome`, and returns the job's status. */
function applyEnds(job: Job, ends: readonly string[]): string {
	const pool = createPoolLedger({pool: 'desk', token: 1, now: 0});
	pool.jobs.set(job.record.id, job);
	pool.activeJobs.add(job);
	const task = getTask(job.steps.get('0.0')!, 0)!;
	for (const [index, text] of ends.entries()) {
		const [run, outcome] = text.split(' ');
		const end: ReportedEnd = {
			number: index + 1, taskId: task.id, run: Number(run), outcome: outcome as RunOutcome, checkpoint: '',
		};
		applyEnd(pool, task, 'endpoint-1', end, context);
	}

	return job.status;
}

const cases = [
	{name: 'a successful end completes the job', ends: ['1 done'], status: 'done'},
	{name: 'one failure of two attempts', ends: ['1 failed'], status: 'queued'},
	{name: 'as many failures as attempts', ends: ['1 failed', '2 failed'], status: 'failed'},
	// Guards against counting a failure twice: the next owner receives it again when the previous owner died before it could acknowledge it to the endpoint.
	{name: 'the same failure reported again', ends: ['1 failed', '1 failed'], status: 'queued'},
	// The platform's names for ends that say nothing about the task itself; see `RunOutcome`.
	{name: 'ends that do not count as failures', ends: ['1 stopped', '2 lapsed', '3 broken', '4 alone'], status: 'queued'},
] as const;

describe('applyEnd', () => {
	it.each(cases)('$name: the job is $status', ({ends, status}) => {
		expect(applyEnds(createTestJob('job', [{}]), ends)).toBe(status);
	});

	it.each(cases)('$name: the same when the ends are reported again to the next owner', ({ends, status}) => {
		const job = createTestJob('job', [{}]);
		applyEnds(job, ends);
		const restored = restoreJob({
			job: job.record, progress: formatProgress(job), revision: 2, isCancelled: false,
		}, {now: 0, wallTime: 0});
		expect(status === 'done' || status === 'failed' ? restored.status : applyEnds(restored, ends)).toBe(status);
	});
});
