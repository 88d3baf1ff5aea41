import {type JobRecord, type RunRecord, type TaskRun} from './run-record.js';
import {type Violation} from './violation.js';

const noticeMs = 1000;

function describeRun({start}: TaskRun): string {
	return `run ${start.run} on ${start.endpoint} at ${start.at} ms (token ${start.token}${start.entry === undefined ? '' : ` of ${start.entry}`}${start.isLate ? ', order carried out late' : ''})`;
}

/** Two runs at the same time, or a start after an end `done` that is taken note of then or later. */
function checkPair(taskId: string, first: TaskRun, second: TaskRun): Violation | undefined {
	const {at} = second.start;
	if (first.endedAt > at) {
		return {
			rule: 'twice', at, message: `two runs at once of ${taskId}: ${describeRun(first)}, ${describeRun(second)}`,
		};
	}

	return first.outcome === 'done' && first.acknowledgedAt < Number.POSITIVE_INFINITY
		? {
			rule: 'twice', at, message: `start of ${taskId} after its end: ${describeRun(first)} done at ${first.endedAt} ms and acknowledged at ${first.acknowledgedAt} ms, ${describeRun(second)}`,
		}
		: undefined;
}

/** A start by an entry in touch over a second after the end was taken note of, or after the job was shown as done; holds for duplicates as well. */
function checkKnownEnd(record: RunRecord, {shownDoneAt}: JobRecord, taskId: string, earlier: readonly TaskRun[], run: TaskRun): Violation | undefined {
	const {at, entry, isLate} = run.start;
	const acknowledgedAt = Math.min(Number.POSITIVE_INFINITY, ...earlier.filter(({outcome}) => outcome === 'done').map(end => end.acknowledgedAt));
	const isKnown = at > Math.min(acknowledgedAt, shownDoneAt) + noticeMs;
	return isKnown && !isLate && record.isInTouch(entry, at)
		? {rule: 'twice', at, message: `start of ${taskId} over ${noticeMs} ms after its end was known: ${describeRun(run)}`}
		: undefined;
}

/** @returns The violations of the rule that a task runs once. */
export function checkTwice(record: RunRecord): Violation[] {
	const violations: Violation[] = [];
	for (const job of record.jobs.values()) {
		for (const [taskId, runs] of job.runs) {
			const mayDuplicate = record.findTask(taskId)?.step.mayDuplicate ?? false;
			for (const [index, run] of runs.entries()) {
				const earlier = runs.slice(0, index);
				const pairs = mayDuplicate ? [] : earlier.map(first => checkPair(taskId, first, run));
				const found = pairs.find(violation => violation !== undefined) ?? checkKnownEnd(record, job, taskId, earlier, run);
				if (found !== undefined) {
					violations.push(found);
				}
			}
		}
	}

	return violations;
}
