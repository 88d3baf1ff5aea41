import {restartEvent, type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {type ReportedEnd, type RunOutcome} from '../model/index.js';
import {
	isActive, type Job, type PoolLedger, type Step, type Task,
} from './ledger-state.js';
import {getOccurrenceCount} from './restore-job.js';
import {
	completeTask, getTask, isStepDone, isTaskDone,
} from './task-table.js';

type EndHandler = (pool: PoolLedger, task: Task, end: ReportedEnd, context: DecisionContext) => JobOutput[];

/** The run ended through no failure of its task, which may run again. */
const allowRerun: EndHandler = () => [];

const endHandlers: Readonly<Record<RunOutcome, EndHandler>> = {
	done: handleCompletion,
	failed: recordFailure,
	stopped: allowRerun,
	lapsed: allowRerun,
	broken: allowRerun,
	alone: allowRerun,
};

/** Applies the end of a run to its task and job. @internal */
export function applyEnd(pool: PoolLedger, task: Task, endpointId: string, end: ReportedEnd, context: DecisionContext): JobOutput[] {
	const {job} = task.step;
	if (task.runs.get(end.run) === endpointId) {
		// Checked by endpoint, as a previous owner may have used the same run number on another one.
		task.runs.delete(end.run);
		pool.releasableSteps.add(task.step);
	}

	task.idleSince = context.now;
	job.lastRun = Math.max(job.lastRun, end.run);
	if (end.checkpoint !== '') {
		task.checkpoint = end.checkpoint;
	}

	if (!isActive(job) || task.isDone) {
		return [];
	}

	return endHandlers[end.outcome](pool, task, end, context);
}

/** Ends a job and requests stops of its tasks that are still running. @internal */
export function endJob(pool: PoolLedger, job: Job, status: 'done' | 'failed' | 'cancelled', context: DecisionContext): JobOutput[] {
	job.status = status;
	job.endedAt = context.wallTime;
	markUnsaved(pool, job, context.now);
	pool.isSaveUrgent = true;
	pool.activeJobs.delete(job);
	const stops = [...job.steps.values()].flatMap(step => [...step.tasks.started.values()].filter(task => task.runs.size > 0).map(task => restartEvent({
		kind: 'run-stop-requested', pool: pool.pool, taskId: task.id, reason: `job is ${status}`,
	} as const)));
	return [
		...stops,
		emitCount(`jobs_ended_total{status="${status}"}`),
		emitLog('info', 'job ended', {
			job: job.record.id, queue: job.record.queue, account: job.record.account, status, pool: pool.pool, token: pool.token, ageMs: Math.round(context.now - job.acceptedAt),
		}),
	];
}

/** Marks a job as changed since its record was saved in the store. @internal */
export function markUnsaved(pool: PoolLedger, job: Job, now: number): void {
	job.version += 1;
	pool.unsavedJobs.add(job);
	pool.unsavedSince ??= now;
}

function handleCompletion(pool: PoolLedger, task: Task, end: ReportedEnd, context: DecisionContext): JobOutput[] {
	const {step} = task;
	if (step.spec.isLongRunning) {
		return [];
	}

	// The end of one member completes the whole gang.
	const finishedTasks = step.spec.isGang ? listOpenTasks(step) : [task];
	const outputs: JobOutput[] = [];
	for (const member of finishedTasks) {
		completeTask(member);
		for (const run of member.runs.keys()) {
			if (!step.spec.isGang || run !== end.run) {
				outputs.push(restartEvent({
					kind: 'run-stop-requested', pool: pool.pool, taskId: member.id, reason: 'another run completed the task',
				}));
				break;
			}
		}
	}

	pool.releasableSteps.add(step);
	markUnsaved(pool, step.job, context.now);
	return [...outputs, ...endCompleteJob(pool, step.job, context)];
}

function listOpenTasks(step: Step): Task[] {
	const tasks: Task[] = [];
	for (let index = 0; index < step.tasks.size; index++) {
		if (!isTaskDone(step.tasks, index)) {
			tasks.push(getTask(step, index)!);
		}
	}

	return tasks;
}

/** Ends a job if all its tasks are done. @internal */
export function endCompleteJob(pool: PoolLedger, job: Job, context: DecisionContext): JobOutput[] {
	return isComplete(job) ? endJob(pool, job, 'done', context) : [];
}

function recordFailure(pool: PoolLedger, task: Task, end: ReportedEnd, context: DecisionContext): JobOutput[] {
	const {step} = task;
	const {job} = step;
	if (step.spec.isLongRunning) {
		return [];
	}

	const countedTask = step.spec.isGang ? getTask(step, 0)! : task;
	if (countedTask.failedRuns.has(end.run)) {
		return [];
	}

	countedTask.failedRuns.add(end.run);
	markUnsaved(pool, job, context.now);
	const failures = countedTask.failedRuns.size;
	const outputs = [emitLog('info', 'run of task failed', {
		job: job.record.id, task: task.id, run: end.run, failures, attempts: job.record.attempts,
	})];
	return failures >= job.record.attempts ? [...outputs, ...endJob(pool, job, 'failed', context)] : outputs;
}

function isComplete(job: Job): boolean {
	if (job.createdOccurrences < getOccurrenceCount(job)) {
		return false;
	}

	for (const step of job.steps.values()) {
		if (!isStepDone(step)) {
			return false;
		}
	}

	return true;
}
