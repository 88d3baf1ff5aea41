import {listTaskIds} from '../planned-tasks.js';
import {listOf, type RunRecord} from './run-record.js';
import {type Violation} from './violation.js';

const cancelMs = 3000;
const stopMs = 900;
const noticeMs = 1000;

/** A start before all tasks of the steps that it waits for have ended `done`. */
export function checkOrder(record: RunRecord): Violation[] {
	return record.runs.flatMap(({start}): Violation[] => {
		const task = record.findTask(start.taskId);
		const earlierTasks = task?.step.after.flatMap(step => listTaskIds(task.job, step)) ?? [];
		const missing = earlierTasks.filter(taskId => !isDoneBefore(record, taskId, start.at));
		return missing.length === 0
			? []
			: [{rule: 'order', at: start.at, message: `start of ${start.taskId} on ${start.endpoint} (${start.entry}) before ${missing.join(', ')} ended done`}];
	});
}

function isDoneBefore({jobs}: RunRecord, taskId: string, at: number): boolean {
	const runs = jobs.get(taskId.split('.')[0] ?? '')?.runs.get(taskId) ?? [];
	return runs.some(({outcome, endedAt}) => outcome === 'done' && endedAt <= at);
}

/** A start after as many runs as the queue allows have ended `failed`. */
export function checkBudget(record: RunRecord): Violation[] {
	const violations: Violation[] = [];
	for (const {job, runs: runsByTask} of record.jobs.values()) {
		const attempts = record.attemptsByQueue.get(job.queue) ?? Number.POSITIVE_INFINITY;
		for (const [taskId, runs] of runsByTask) {
			const step = record.findTask(taskId)?.step;
			if (step === undefined || step.isLongRunning) {
				continue;
			}

			const failures = runs.filter(({outcome, acknowledgedAt}) => outcome === 'failed' && acknowledgedAt < Number.POSITIVE_INFINITY);
			for (const {start} of runs) {
				const isOver = step.mayDuplicate
					? failures.filter(({acknowledgedAt}) => acknowledgedAt + noticeMs < start.at).length >= attempts && !start.isLate && record.isInTouch(start.entry, start.at)
					: failures.filter(({endedAt}) => endedAt <= start.at).length >= attempts;
				if (isOver) {
					violations.push({rule: 'budget', at: start.at, message: `start of ${taskId} on ${start.endpoint} (${start.entry}) after ${attempts} failed runs`});
				}
			}
		}
	}

	return violations;
}

/** A start of what no client sent, or a start or a run of a cancelled job. */
export function checkUnasked(record: RunRecord): Violation[] {
	return record.runs.flatMap(({start, endedAt}): Violation[] => {
		const task = record.findTask(start.taskId);
		const job = record.jobs.get(start.taskId.split('.')[0] ?? '');
		if (task === undefined || job === undefined || start.at < job.sentAt || start.payload !== task.job.payload) {
			return [{rule: 'unasked', at: start.at, message: `start of ${start.taskId} on ${start.endpoint} (${start.entry}), which no client sent so`}];
		}

		const goneAt = job.cancelledAt + cancelMs;
		if (start.at > goneAt) {
			return !start.isLate && record.isInTouch(start.entry, start.at)
				? [{rule: 'unasked', at: start.at, message: `start of ${start.taskId} on ${start.endpoint} (${start.entry}), cancelled at ${job.cancelledAt} ms`}]
				: [];
		}

		return endedAt > goneAt + stopMs && record.isCalm(job.cancelledAt, goneAt + stopMs)
			? [{rule: 'unasked', at: goneAt + stopMs, message: `${start.taskId} runs on at ${start.endpoint}, cancelled at ${job.cancelledAt} ms`}]
			: [];
	});
}

/** A start of a job whose submissions were all rejected. */
export function checkRefused({jobs}: RunRecord): Violation[] {
	return [...jobs].flatMap(([jobId, {submits, runs}]): Violation[] => {
		const [first] = [...runs.values()].flat();
		return first !== undefined && submits.every(({status}) => [401, 404, 429, 503].includes(status))
			? [{rule: 'refused', at: first.start.at, message: `start of ${first.start.taskId}, but job ${jobId} was rejected ${submits.length} times`}]
			: [];
	});
}

/** A start that brings an endpoint without a guard over its capacity; one with a guard rejects it. */
export function checkLimit({runs}: RunRecord): Violation[] {
	return runs
		.filter(({start}) => start.isOverCapacity)
		.map(({start}) => ({rule: 'limit', at: start.at, message: `start of ${start.taskId} (${start.entry}) exceeds the capacity of ${start.endpoint}`}));
}

/** A process that ends without a signal. */
export function checkExit({observations}: RunRecord): Violation[] {
	return listOf(observations, 'entry-exited')
		.filter(({isOwnEnd}) => isOwnEnd)
		.map(({at, entry, pid}) => ({rule: 'exit', at, message: `the process ${pid} of ${entry} ended by itself`}));
}
