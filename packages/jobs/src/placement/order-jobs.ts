import {isOpen, type Job, type Step} from '../ledger/index.js';

/**
How a job stands against its latency objective.

- `serving`: its tasks run until it is cancelled, and are worth something for as long as they run.
- `timely`: it can still meet its objective.
- `late`: it can still be done within three times its objective, when it is worth a little.
- `hopeless`: it is done when nothing else wants the room.

@internal
*/
export type JobStanding = 'serving' | 'timely' | 'late' | 'hopeless';

const standingOrder: Readonly<Record<JobStanding, number>> = {
	serving: 0, timely: 1, late: 2, hopeless: 3,
};

/** Factor of the objective up to which a job that is done late counts. */
const lateFactor = 3;

/** @internal */
export type RankedJob = {
	readonly job: Job;
	readonly standing: JobStanding;
	/** Time in ms by which the rest may be put off. */
	readonly slackMs: number;
};

/**
Orders jobs for the room that there is: by standing, then priority, then least slack.

@param getFactor - Measured against estimated durations of a queue's tasks.
@internal
*/
export function orderJobs(jobs: Iterable<Job>, getFactor: (queue: string) => number, now: number): RankedJob[] {
	return [...jobs]
		.map(job => rankJob(job, getFactor(job.record.queue), now))
		.sort((left, right) => standingOrder[left.standing] - standingOrder[right.standing]
			|| left.job.record.priority - right.job.record.priority
			|| left.slackMs - right.slackMs);
}

function rankJob(job: Job, factor: number, now: number): RankedJob {
	const {record} = job;
	if (record.spec.steps.some(step => step.isLongRunning)) {
		return {job, standing: 'serving', slackMs: 0};
	}

	// Occurrences have their own due times; their steps rank by their latest start.
	const ageMs = now - (record.spec.repeatCount === 0 ? job.acceptedAt : getLatestDue(job));
	const wholeMs = getChainMs(job, () => false) * factor;
	const restMs = getChainMs(job, step => step.doneCount === step.tasks.length) * factor;
	const objectiveMs = (record.stretch * wholeMs) + record.latencyTargetMs;
	const slackMs = objectiveMs - ageMs - restMs;
	if (slackMs >= 0) {
		return {job, standing: 'timely', slackMs};
	}

	const lateSlackMs = (lateFactor * objectiveMs) - ageMs - restMs;
	return {job, standing: lateSlackMs >= 0 ? 'late' : 'hopeless', slackMs: lateSlackMs};
}

function getLatestDue(job: Job): number {
	let latest = job.knownAt;
	for (const step of job.steps.values()) {
		for (const task of step.tasks) {
			if (!task.isDone) {
				latest = Math.max(latest, task.idleSince);
			}
		}
	}

	return latest;
}

/** Longest chain of estimated durations in ms over the steps of the job's latest occurrence. */
function getChainMs(job: Job, isDone: (step: Step) => boolean): number {
	const occurrence = Math.max(0, job.openedOccurrences - 1);
	const {steps} = job.record.spec;
	const ends: number[] = [];
	for (const [index, spec] of steps.entries()) {
		const before = Math.max(0, ...spec.after.map(number => ends[number] ?? 0));
		const step = job.steps.get(`${occurrence}.${index}`);
		ends.push(before + (step !== undefined && isDone(step) ? 0 : spec.estimateMs));
	}

	return Math.max(0, ...ends);
}

/** Steps of a job whose turn has come and that have tasks to start. @internal */
export function getOpenSteps(job: Job): Step[] {
	return [...job.steps.values()].filter(step => step.doneCount < step.tasks.length && isOpen(step));
}
