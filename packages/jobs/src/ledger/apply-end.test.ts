import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {type RunOutcome, type ReportedEnd} from '../model/index.js';
import {createTestJob} from '../testing.test-support.js';
import {applyEnd} from './apply-end.js';
import {createPoolLedger, type Job} from './ledger-state.js';
import {restoreJob} from './open-job.js';
import {formatProgress} from './write-progress.js';

const context = {now: 0, wallTime: 0, random: createRandomSource(1)};

/** Applies ends of the job's first task, written as `run how`, and tells the job's status. */
function applyEnds(job: Job, ends: readonly string[]): string {
	const pool = createPoolLedger({pool: 'desk', token: 1, now: 0});
	pool.jobs.set(job.record.id, job);
	pool.activeJobs.add(job);
	const task = job.steps.get('0.0')!.tasks[0]!;
	for (const [index, text] of ends.entries()) {
		const [run, how] = text.split(' ');
		const end: ReportedEnd = {
			number: index + 1, taskId: task.id, run: Number(run), outcome: how as RunOutcome, checkpoint: '',
		};
		applyEnd(pool, task, 'endpoint-1', end, context);
	}

	return job.status;
}

const cases = [
	{name: 'a good end ends the job', ends: ['1 done'], status: 'done'},
	{name: 'one failure of two attempts', ends: ['1 failed'], status: 'queued'},
	{name: 'as many failures as attempts', ends: ['1 failed', '2 failed'], status: 'failed'},
	// Guards against a failure that counts twice, as the next owner is told of it again when the former one died before the endpoint could forget it.
	{name: 'the same failure told again', ends: ['1 failed', '1 failed'], status: 'queued'},
	{name: 'ends that are no failures', ends: ['1 stopped', '2 lapsed', '3 broken', '4 alone'], status: 'queued'},
] as const;

describe('applyEnd', () => {
	it.each(cases)('$name: the job is $status', ({ends, status}) => {
		expect(applyEnds(createTestJob('job', [{}]), ends)).toBe(status);
	});

	it.each(cases)('$name: the same with the ends told again to the next owner', ({ends, status}) => {
		const job = createTestJob('job', [{}]);
		applyEnds(job, ends);
		const restored = restoreJob({
			job: job.record, progress: formatProgress(job), revision: 2, isCancelled: false,
		}, {now: 0, wallTime: 0});
		expect(status === 'done' || status === 'failed' ? restored.status : applyEnds(restored, ends)).toBe(status);
	});
});
