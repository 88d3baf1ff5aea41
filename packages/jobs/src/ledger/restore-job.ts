import {type StoredJob} from '../model/index.js';
import {
	findTask, isActive, type Job, type PoolLedger, type Step, type Task,
} from './ledger-state.js';
import {countDoneTasks, createTaskTable, isStepDone} from './task-table.js';

/**
Number of run numbers that a new owner skips. A previous owner may have used some that are not saved: one per task for each start since the last save, and a task seldom has more starts than its attempts.
*/
const skippedRunNumbers = 16;

/** Creates a job from its stored records. @public */
export function restoreJob({job: record, progress, revision, isCancelled}: StoredJob, times: {readonly now: number; readonly wallTime: number}): Job {
	// The last occurrence is always created, as the job ends with it.
	const doneOccurrences = Math.min(progress.doneOccurrences ?? 0, Math.max(1, record.spec.repeatCount) - 1);
	const job: Job = {
		record,
		status: progress.status,
		version: 0,
		savedVersion: 0,
		revision,
		steps: new Map(),
		createdOccurrences: doneOccurrences,
		doneOccurrences,
		lastRun: progress.lastRun,
		restoredProgress: progress,
		unsavedEnds: [],
		isAwaitingSurvey: false,
		endedAt: progress.endedAt,
		firstSeenAt: times.now,
		// A step of the wall clock must not make a new job look old.
		acceptedAt: times.now - Math.min(Math.max(times.wallTime - record.acceptedAt, 0), maxPlausibleAgeMs),
	};
	if (isCancelled && isActive(job)) {
		job.status = 'cancelled';
		job.endedAt = times.wallTime;
		job.version += 1;
	}

	createOccurrences(job, times);
	for (const key of [...Object.keys(progress.steps), ...Object.keys(progress.failedRuns ?? {})]) {
		// A previous owner whose clock was ahead has saved it. The next save would drop it with its occurrence.
		createReportedOccurrence(job, Number(key.split('.', 1)[0]), times);
	}

	return job;
}

/** Age up to which the time of acceptance is trusted: longer than a takeover, far shorter than a harmful step of the wall clock. */
const maxPlausibleAgeMs = 20_000;

/**
Marks a job that a previous owner may have started.

@param token - Fencing token of the current claim. It is higher than the run numbers that a previous owner started from.
@internal
*/
export function markTakenOver(job: Job, token: number): void {
	job.isAwaitingSurvey = isActive(job);
	job.lastRun = Math.max(job.lastRun + skippedRunNumbers, token);
}

/** Maximum number of open tasks of a job up to which further occurrences are created; others that are due wait. A recurring job whose start lies far in the past has them all due at once. */
const maxOpenTasks = 20_000;
/** The same for open steps, as each takes memory whether its tasks run or not. */
const maxOpenSteps = 2000;

/** Creates the steps of occurrences that have become due. @returns Whether there were any. @internal */
export function createOccurrences(job: Job, {now, wallTime}: {readonly now: number; readonly wallTime: number}): boolean {
	const countBefore = job.createdOccurrences;
	const isDue = () => isActive(job) && job.createdOccurrences < getOccurrenceCount(job) && wallTime >= getDueAt(job, job.createdOccurrences);
	const open = isDue() ? countOpen(job) : {tasks: 0, steps: 0};
	while (isDue() && open.tasks < maxOpenTasks && open.steps < maxOpenSteps) {
		if (!job.steps.has(`${job.createdOccurrences}.0`)) {
			createOccurrence(job, job.createdOccurrences, now);
		}

		job.createdOccurrences += 1;
		open.tasks += job.record.spec.steps.reduce((sum, step) => sum + step.count, 0);
		open.steps += job.record.spec.steps.length;
	}

	return job.createdOccurrences > countBefore;
}

/** Removes the steps of occurrences that are done, and of which nothing runs, up to the first other one. The latest occurrence is kept, as durations are estimated by it. @internal */
export function removeDoneOccurrences(job: Job): void {
	while (job.doneOccurrences < job.createdOccurrences - 1 && isOccurrenceDone(job, job.doneOccurrences)) {
		for (const index of job.record.spec.steps.keys()) {
			job.steps.delete(`${job.doneOccurrences}.${index}`);
		}

		job.doneOccurrences += 1;
	}
}

function isOccurrenceDone({record, steps}: Job, occurrence: number): boolean {
	for (const index of record.spec.steps.keys()) {
		const step = steps.get(`${occurrence}.${index}`);
		if (step === undefined || !isStepDone(step) || step.tasks.started.size > 0) {
			return false;
		}
	}

	return true;
}

/**
Creates the steps of an occurrence that a previous owner has started and that is not due yet by this entry's clock. Its tasks are not started before it is due.

@internal
*/
export function createReportedOccurrence(job: Job, occurrence: number, {now}: {readonly now: number}): void {
	const isValid = Number.isSafeInteger(occurrence) && occurrence >= job.doneOccurrences && occurrence < getOccurrenceCount(job);
	if (isValid && isActive(job) && !job.steps.has(`${occurrence}.0`)) {
		createOccurrence(job, occurrence, now);
	}
}

/** Finds a task that an endpoint reports a run or an end of; its occurrence is created if it is not due yet by this entry's clock. @internal */
export function findReportedTask(pool: PoolLedger | undefined, taskId: string, times: {readonly now: number}): Task | undefined {
	const [jobId = '', occurrence] = taskId.split('.');
	const job = pool?.jobs.get(jobId);
	if (job !== undefined) {
		createReportedOccurrence(job, Number(occurrence), times);
	}

	return findTask(pool, taskId);
}

function countOpen(job: Job): {tasks: number; steps: number} {
	const open = {tasks: 0, steps: 0};
	for (const step of job.steps.values()) {
		open.tasks += step.tasks.size - step.doneCount;
		open.steps += isStepDone(step) ? 0 : 1;
	}

	return open;
}

/** Returns how many times the steps of a job run in total. @internal */
export function getOccurrenceCount(job: Job): number {
	return Math.max(1, job.record.spec.repeatCount);
}

function getDueAt({record: {spec}}: Job, occurrence: number): number {
	return spec.repeatCount === 0 ? 0 : spec.startAtMs + (occurrence * spec.intervalMs);
}

function createOccurrence(job: Job, occurrence: number, now: number): void {
	const {steps: saved, failedRuns = {}} = job.restoredProgress;
	for (const [index, spec] of job.record.spec.steps.entries()) {
		const key = `${occurrence}.${index}`;
		const tasks = createTaskTable(spec, saved[key] ?? '', now);
		job.steps.set(key, {
			key, job, occurrence, index, spec, tasks, doneCount: countDoneTasks(tasks),
		});
	}

	for (const [taskKey, runs] of Object.entries(failedRuns)) {
		const task = taskKey.startsWith(`${occurrence}.`) ? findTask({jobs: new Map([[job.record.id, job]])}, `${job.record.id}.${taskKey}`) : undefined;
		for (const run of task === undefined ? [] : runs) {
			task?.failedRuns.add(run);
		}
	}
}
