import {isStepReady, type Job, type Step} from '../ledger/index.js';

/**
How a job stands against its latency objective.

- `serving`: its tasks run until it is cancelled, and are worth something for as long as they run.
- `timely`: it can meet its objective.
- `displaced`: it could, but not together with others that ask for less.
- `late`: it can still be done within three times its objective, when it is worth a little.
- `hopeless`: it is done when nothing else wants the room.

@public
*/
export type ObjectiveStatus = 'serving' | 'timely' | 'displaced' | 'late' | 'hopeless';

const standingOrder: Readonly<Record<ObjectiveStatus, number>> = {
	serving: 0, timely: 1, displaced: 2, late: 3, hopeless: 4,
};

/** Factor of the objective up to which a job that is done late counts. */
const lateFactor = 3;
/** Share of a task's work that is left, on average, while it runs. */
const runningShare = 0.5;

/** @internal */
export type RankedJob = {
	readonly job: Job;
	objectiveStatus: ObjectiveStatus;
	/** Time in ms by which the rest may be put off. */
	readonly slackMs: number;
	/** Time in ms until the rest must be done. */
	readonly dueInMs: number;
	/** Longest chain of estimated durations that is left, in ms. */
	readonly remainingCriticalPathMs: number;
	/** Work that is left, in thousandths of a core times ms. */
	readonly remainingWork: number;
	/** Time in ms that the job could wait when it was accepted. */
	readonly initialSlackMs: number;
};

/** Measured against estimated durations of a queue's tasks. @internal */
export type FactorSource = (queue: string) => number;

/**
Orders jobs for the room that there is: by standing, then priority, then least slack.

Under more load than the pool can carry, least slack first makes every job late by a little. So the jobs that are due together are counted against the pool's capacity, and those that ask for most are displaced until the rest fits.

@param capacityMillis - Thousandths of a core that the pool has.
@internal
*/
export function orderJobs(jobs: Iterable<Job>, getFactor: FactorSource, capacityMillis: number, now: number): RankedJob[] {
	const ranked = [...jobs].map(job => rankJob(job, getFactor(job.record.queue), now));
	displaceJobs(ranked.filter(({objectiveStatus: standing}) => standing === 'timely'), capacityMillis);
	return ranked.sort((left, right) => standingOrder[left.objectiveStatus] - standingOrder[right.objectiveStatus]
		|| left.job.record.priority - right.job.record.priority
		|| left.slackMs - right.slackMs);
}

/** Takes the largest jobs out of the order of due times until the rest can be done in time (Moore and Hodgson's rule, with the pool as one machine). */
function displaceJobs(timely: RankedJob[], capacityMillis: number): void {
	if (capacityMillis <= 0) {
		return;
	}

	const kept: RankedJob[] = [];
	let work = 0;
	for (const ranked of timely.sort((left, right) => left.dueInMs - right.dueInMs)) {
		kept.push(ranked);
		work += ranked.remainingWork;
		while (work / capacityMillis > ranked.dueInMs && kept.length > 0) {
			const largest = findLargest(kept)!;
			kept.splice(kept.indexOf(largest), 1);
			work -= largest.remainingWork;
			largest.objectiveStatus = 'displaced';
		}
	}
}

function findLargest(jobs: readonly RankedJob[]): RankedJob | undefined {
	let largest: RankedJob | undefined;
	for (const job of jobs) {
		if (largest === undefined || job.remainingWork > largest.remainingWork) {
			largest = job;
		}
	}

	return largest;
}

/** How a single job stands, leaving the others aside. @internal */
export function rankJob(job: Job, factor: number, now: number): RankedJob {
	const {record} = job;
	if (record.spec.steps.some(step => step.isLongRunning)) {
		return {
			job, objectiveStatus: 'serving', slackMs: 0, dueInMs: 0, remainingCriticalPathMs: 0, remainingWork: 0, initialSlackMs: 0,
		};
	}

	// Occurrences have their own due times; their steps rank by their latest start.
	const ageMs = now - (record.spec.repeatCount === 0 ? job.acceptedAt : getLatestDue(job));
	const wholeMs = getChainMs(job, () => false) * factor;
	const remainingCriticalPathMs = getChainMs(job, step => step.doneCount === step.tasks.length) * factor;
	const objectiveMs = (record.stretch * wholeMs) + record.latencyTargetMs;
	const rest = {
		job, dueInMs: objectiveMs - ageMs, remainingCriticalPathMs, remainingWork: getRestWork(job) * factor, initialSlackMs: objectiveMs - wholeMs,
	};
	const slackMs = rest.dueInMs - remainingCriticalPathMs;
	if (slackMs >= 0) {
		return {...rest, objectiveStatus: 'timely', slackMs};
	}

	const lateSlackMs = (lateFactor * objectiveMs) - ageMs - remainingCriticalPathMs;
	return {...rest, objectiveStatus: lateSlackMs >= 0 ? 'late' : 'hopeless', slackMs: lateSlackMs};
}

function getRestWork(job: Job): number {
	let work = 0;
	for (const step of job.steps.values()) {
		const taskWork = step.spec.room.cpuMillis * step.spec.estimateMs;
		for (const task of step.tasks) {
			if (!task.isDone) {
				work += taskWork * (task.runs.size > 0 ? runningShare : 1);
			}
		}
	}

	return work;
}

function getLatestDue(job: Job): number {
	let latest = job.firstSeenAt;
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
	const occurrence = Math.max(0, job.createdOccurrences - 1);
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
	return [...job.steps.values()].filter(step => step.doneCount < step.tasks.length && isStepReady(step));
}
