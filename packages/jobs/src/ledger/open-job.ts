import {formatTaskId, type StoredJob} from '../model/index.js';
import {
	isActive, type Job, type Step, type Task,
} from './ledger-state.js';

/**
Run numbers that a new owner leaves out. A former owner may have used some that are on no record: one a task for each start since the last save, of which a task seldom has more than its attempts.
*/
const runGap = 16;

/** Sets up a job from its records. @internal */
export function restoreJob({job: record, progress, revision, isCancelled}: StoredJob, times: {readonly now: number; readonly wallTime: number}): Job {
	const job: Job = {
		record,
		status: progress.status,
		version: 0,
		savedVersion: 0,
		revision,
		steps: new Map(),
		createdOccurrences: 0,
		lastRun: progress.lastRun,
		restored: progress,
		unrecordedEnds: [],
		isAwaitingSurvey: false,
		endedAt: progress.endedAt,
		firstSeenAt: times.now,
		// A clock that was stepped must not make a new job look old.
		acceptedAt: times.now - Math.min(Math.max(times.wallTime - record.acceptedAt, 0), maxPlausibleAgeMs),
	};
	if (isCancelled && isActive(job)) {
		job.status = 'cancelled';
		job.endedAt = times.wallTime;
		job.version += 1;
	}

	openOccurrences(job, times);
	return job;
}

/** Age in ms up to which the time of acceptance is believed; longer than a takeover, far shorter than a step of the time of day that would do harm. */
const maxPlausibleAgeMs = 20_000;

/**
Marks a job as one that a former owner may have started.

@param token - The present claim's token. It is higher than the numbers that a former owner began from.
@internal
*/
export function markUncertain(job: Job, token: number): void {
	job.isAwaitingSurvey = isActive(job);
	job.lastRun = Math.max(job.lastRun + runGap, token);
}

/** Sets up the steps of occurrences that have become due. @returns Whether there were any. @internal */
export function openOccurrences(job: Job, {now, wallTime}: {readonly now: number; readonly wallTime: number}): boolean {
	const before = job.createdOccurrences;
	while (isActive(job) && job.createdOccurrences < getOccurrenceCount(job) && wallTime >= getDueAt(job, job.createdOccurrences)) {
		openOccurrence(job, job.createdOccurrences, now);
		job.createdOccurrences += 1;
	}

	return job.createdOccurrences > before;
}

/** How often the steps run in all. @internal */
export function getOccurrenceCount(job: Job): number {
	return Math.max(1, job.record.spec.repeatCount);
}

function getDueAt({record: {spec}}: Job, occurrence: number): number {
	return spec.repeatCount === 0 ? 0 : spec.startAtMs + (occurrence * spec.intervalMs);
}

function openOccurrence(job: Job, occurrence: number, now: number): void {
	for (const [index, spec] of job.record.spec.steps.entries()) {
		const key = `${occurrence}.${index}`;
		const saved = job.restored.steps[key] ?? '';
		const tasks: Task[] = [];
		const step: Step = {
			key, job, occurrence, index, spec, tasks, doneCount: 0,
		};
		for (let number = 0; number < spec.count; number++) {
			const mark = saved[number] ?? '.';
			tasks.push({
				id: formatTaskId({
					jobId: job.record.id, occurrence, step: index, index: number,
				}),
				step,
				isDone: mark === 'd',
				failedRuns: new Set(job.restored.failedRuns?.[`${key}.${number}`]),
				runs: new Map(),
				checkpoint: '',
				idleSince: now,
			});
		}

		step.doneCount = tasks.filter(task => task.isDone).length;
		job.steps.set(key, step);
	}
}
