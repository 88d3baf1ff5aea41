import {type ObservationOf} from '@pistachiogauge/platform/standins';
import {listTaskIds} from '../planned-tasks.js';
import {
	groupBy, listOf, type JobRecord, type RunRecord,
} from './run-record.js';
import {type Violation} from './violation.js';

const visibleMs = 3000;
const waitingLagMs = 2000;
const finishMs = 14_000;
const idleMs = 3000;
const longRunningIdleMs = 6000;
const knownStates = new Set<string | undefined>(['queued', 'running', 'done', 'failed', 'cancelled']);

function isDone({job, runs}: JobRecord, at: number): boolean {
	return job.steps.every((_, step) => listTaskIds(job, step).every(taskId => (runs.get(taskId) ?? []).some(({outcome, endedAt}) => outcome === 'done' && endedAt <= at)));
}

/** Whether a task has failed as often as the queue allows. */
export function hasFailed({job, runs}: JobRecord, attempts: number, at: number): boolean {
	return [...runs.values()].some(taskRuns => taskRuns.filter(({outcome, endedAt}) => outcome === 'failed' && endedAt <= at).length >= attempts) && !job.steps.some(step => step.isLongRunning);
}

/** A job that is shown as done before it is, an unknown job that is shown, a state that cannot be read, or a wrong count of waiting jobs. */
export function checkMixed(record: RunRecord): Violation[] {
	return [...checkStates(record), ...checkWaiting(record)];
}

function checkStates({observations, jobs}: RunRecord): Violation[] {
	return listOf(observations, 'state-answered').flatMap(({at, jobId, entry, status, state}): Violation[] => {
		if (status !== 200) {
			return [];
		}

		const job = jobs.get(jobId);
		if (job === undefined) {
			return [{rule: 'mixed', at, message: `${entry} shows job ${jobId}, which nobody submitted`}];
		}

		if (!knownStates.has(state)) {
			return [{rule: 'mixed', at, message: `${entry} shows job ${jobId} as ${state}`}];
		}

		return state === 'done' && !isDone(job, at) ? [{rule: 'mixed', at, message: `${entry} shows job ${jobId} as done before all of its tasks are`}] : [];
	});
}

/** Whether the client may be told that a job has begun because a start of it went unanswered; this holds until the start has been carried out, or rejected, and some time after. */
function isStartDelayed(delays: ReadonlyArray<ObservationOf<'start-delayed'>>, sentAt: number, at: number): boolean {
	return delays.some(delay => delay.at <= at && delay.at + delay.lateMs + visibleMs + waitingLagMs > sentAt);
}

function checkWaiting({observations, jobs, isInTouch}: RunRecord): Violation[] {
	const delays = groupBy(listOf(observations, 'start-delayed'), ({taskId}) => taskId.split('.')[0] ?? '');
	return listOf(observations, 'waiting-answered').flatMap(({at, sentAt, queue, entry, status, waiting}): Violation[] => {
		if (status !== 200 || !isInTouch(entry, sentAt) || !isInTouch(entry, at)) {
			return [];
		}

		const waitingJobs = [...jobs.values()].filter(job => job.job.queue === queue && job.acceptedAt + visibleMs + waitingLagMs < sentAt && job.cancelSentAt > at
			&& [...job.runs.values()].flat().every(({start}) => start.at > at) && !isStartDelayed(delays.get(job.job.jobId) ?? [], sentAt, at));
		return waiting !== undefined && waiting * 2 >= waitingJobs.length
			? []
			: [{rule: 'mixed', at, message: `${entry} gives ${waiting} waiting jobs of ${queue}, but ${waitingJobs.length} have waited for over ${visibleMs + waitingLagMs} ms`}];
	});
}

/** An accepted job that is not known, shown as ended without cause, or left unfinished after the faults. */
export function checkLost(record: RunRecord): Violation[] {
	const violations: Violation[] = [];
	for (const [jobId, job] of record.jobs) {
		if (job.acceptedAt === Number.POSITIVE_INFINITY) {
			continue;
		}

		for (const {
			at, sentAt, entry, status, state, key,
		} of job.states) {
			const isCancelled = job.cancelSentAt <= at;
			const attempts = record.attemptsByQueue.get(job.job.queue) ?? 0;
			if (status === 410 && !isCancelled && record.accounts.mayRead(job, {key, sentAt, answeredAt: at}) && sentAt > job.acceptedAt + visibleMs && record.isInTouch(entry, sentAt) && record.isInTouch(entry, at)) {
				violations.push({rule: 'lost', at, message: `${entry} does not know job ${jobId}, accepted at ${job.acceptedAt} ms`});
			}

			if ((state === 'cancelled' && !isCancelled) || (state === 'failed' && !hasFailed(job, attempts, at))) {
				violations.push({rule: 'lost', at, message: `${entry} shows job ${jobId} as ${state} without cause`});
			}
		}

		if (job.cancelSentAt === Number.POSITIVE_INFINITY) {
			violations.push(...checkFinished(record, jobId, job));
		}
	}

	return violations;
}

/** Checks what is left of a job `finishMs` after the faults. */
function checkFinished({faultsOverAt, observations, accounts}: RunRecord, jobId: string, job: JobRecord): Violation[] {
	const at = observations.at(-1)?.at ?? 0;
	// The client of a job whose key was moved does not know which account to ask for.
	if (faultsOverAt + finishMs > at || accounts.listNames(job).length > 1) {
		return [];
	}

	const finalAnswer = job.states.findLast(({status}) => status === 200);
	if (finalAnswer === undefined || finalAnswer.at < faultsOverAt + finishMs) {
		return [{rule: 'lost', at, message: `job ${jobId}, accepted at ${job.acceptedAt} ms, gets no state in the end`}];
	}

	if (finalAnswer.state === 'done' || finalAnswer.state === 'failed' || job.job.expectation === 'nothing') {
		return [];
	}

	const longRunningTaskIds = job.job.steps.flatMap((step, number) => step.isLongRunning ? listTaskIds(job.job, number) : []);
	if (longRunningTaskIds.length > 0 && job.job.expectation === undefined) {
		return longRunningTaskIds
			.filter(taskId => isIdle(job, [taskId], at - longRunningIdleMs) && job.job.steps.some(step => step.isLongRunning && accounts.hasCapFor(job, step, at)))
			.map(taskId => ({rule: 'lost', at, message: `long-running task ${taskId} has not run for ${longRunningIdleMs} ms`}));
	}

	return isIdle(job, [...job.runs.keys()], at - idleMs) && job.job.steps.some(step => accounts.hasCapFor(job, step, at))
		? [{rule: 'lost', at, message: `job ${jobId} is ${finalAnswer.state} and nothing of it has run for ${idleMs} ms`}]
		: [];
}

/** Whether none of the tasks has run since a time. */
function isIdle({runs}: JobRecord, taskIds: readonly string[], since: number): boolean {
	return taskIds.every(taskId => (runs.get(taskId) ?? []).every(({endedAt}) => endedAt < since));
}
