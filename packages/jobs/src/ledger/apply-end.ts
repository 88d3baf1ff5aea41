import {restartEvent, type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {type RunOutcome, type ReportedEnd} from '../model/index.js';
import {
	isActive, type Job, type PoolLedger, type Task,
} from './ledger-state.js';
import {getOccurrenceCount} from './open-job.js';

type EndHandler = (pool: PoolLedger, task: Task, end: ReportedEnd, context: DecisionContext) => JobOutput[];

/** The task is to run again; no failure of its own. */
const repeatTask: EndHandler = () => [];

const endHandlers: Readonly<Record<RunOutcome, EndHandler>> = {
	done: finishTask,
	failed: countFailure,
	stopped: repeatTask,
	lapsed: repeatTask,
	broken: repeatTask,
	alone: repeatTask,
};

/** Applies the end of a run to its task and job. @internal */
export function applyEnd(pool: PoolLedger, task: Task, endpointId: string, end: ReportedEnd, context: DecisionContext): JobOutput[] {
	const {job} = task.step;
	if (task.runs.get(end.run) === endpointId) {
		// A former owner may have used the same number elsewhere.
		task.runs.delete(end.run);
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

/** Ends a job; its tasks that are still at work are stopped. @internal */
export function endJob(pool: PoolLedger, job: Job, status: 'done' | 'failed' | 'cancelled', context: DecisionContext): JobOutput[] {
	job.status = status;
	job.endedAt = context.wallTime;
	markChanged(pool, job, context.now);
	pool.isUrgent = true;
	pool.activeJobs.delete(job);
	const stops = [...job.steps.values()].flatMap(step => step.tasks.filter(task => task.runs.size > 0).map(task => restartEvent({
		kind: 'run-stop-requested', pool: pool.pool, taskId: task.id, reason: `job is ${status}`,
	} as const)));
	return [
		...stops,
		emitCount(`jobs_ended_total{status="${status}"}`),
		emitLog('info', 'job ended', {
			job: job.record.id, queue: job.record.queue, status, pool: pool.pool, token: pool.token, ageMs: Math.round(context.now - job.acceptedAt),
		}),
	];
}

/** Notes that a job's record in the store is behind. @internal */
export function markChanged(pool: PoolLedger, job: Job, now: number): void {
	job.version += 1;
	pool.unsavedJobs.add(job);
	pool.unsavedSince ??= now;
}

function finishTask(pool: PoolLedger, task: Task, end: ReportedEnd, context: DecisionContext): JobOutput[] {
	const {step} = task;
	if (step.spec.isLongRunning) {
		return [];
	}

	// One member's end stands for the whole gang.
	const finished = step.spec.isGang ? step.tasks.filter(member => !member.isDone) : [task];
	const outputs: JobOutput[] = [];
	for (const member of finished) {
		member.isDone = true;
		step.doneCount += 1;
		for (const run of member.runs.keys()) {
			if (!step.spec.isGang || run !== end.run) {
				outputs.push(restartEvent({
					kind: 'run-stop-requested', pool: pool.pool, taskId: member.id, reason: 'another run is done',
				}));
				break;
			}
		}
	}

	markChanged(pool, step.job, context.now);
	return isComplete(step.job) ? [...outputs, ...endJob(pool, step.job, 'done', context)] : outputs;
}

function countFailure(pool: PoolLedger, task: Task, end: ReportedEnd, context: DecisionContext): JobOutput[] {
	const {step} = task;
	const {job} = step;
	if (step.spec.isLongRunning) {
		return [];
	}

	const counted = step.spec.isGang ? step.tasks[0]! : task;
	if (counted.failedRuns.has(end.run)) {
		return [];
	}

	counted.failedRuns.add(end.run);
	markChanged(pool, job, context.now);
	const failures = counted.failedRuns.size;
	const outputs = [emitLog('info', 'task failed', {
		job: job.record.id, task: task.id, run: end.run, failures, attempts: job.record.attempts,
	})];
	return failures >= job.record.attempts ? [...outputs, ...endJob(pool, job, 'failed', context)] : outputs;
}

function isComplete(job: Job): boolean {
	if (job.createdOccurrences < getOccurrenceCount(job)) {
		return false;
	}

	for (const step of job.steps.values()) {
		if (step.doneCount < step.tasks.length) {
			return false;
		}
	}

	return true;
}
