import {
	isStepDone, isStepReady, listIdleTimes, type Job, type Step,
} from '../ledger/index.js';
import {type JobEstimate} from '../observation/index.js';
import {lateFactor} from '../value/index.js';

/**
Status of a job with respect to its latency objective, in scheduling order.

- `serving`: the job is long-running and has no objective; it is worth something for as long as its tasks run.
- `timely`: the job can meet its objective.
- `displaced`: the job could meet its objective, but not together with jobs that need less work.
- `late`: the job can still finish within three times its objective, up to which it is worth a little.
- `hopeless`: the job is worth nothing any more and runs only on resources that no other job needs.

@public
*/
export type ObjectiveStatus = 'serving' | 'timely' | 'displaced' | 'late' | 'hopeless';

/** Position of each status in the scheduling order. @internal */
export const objectiveStatusOrder: Readonly<Record<ObjectiveStatus, number>> = {
	serving: 0, timely: 1, displaced: 2, late: 3, hopeless: 4,
};

/** @internal */
export type RankedJob = {
	readonly job: Job;
	objectiveStatus: ObjectiveStatus;
	/** Time for which the remaining work can be delayed until the job misses its objective, or three times the objective if it is late. */
	readonly slackMs: number;
	/** Time until the job is due by its objective. */
	readonly dueInMs: number;
	/** Estimated duration of the critical path through the remaining steps. */
	readonly remainingCriticalPathMs: number;
	/** Remaining work, in thousandths of a core times ms. */
	readonly remainingWork: number;
	/** Work of all steps, done or not, in thousandths of a core times ms. */
	readonly totalWork: number;
	/** Slack of the job when it was accepted. */
	readonly initialSlackMs: number;
};

/**
Orders jobs for placement: by status, then priority, then least slack.

When a pool is overloaded, running the job with the least slack first makes every job a little late. So the work of the timely jobs is compared with the pool's capacity, and the largest jobs are displaced until the others fit.

@param capacityMillis - Thousandths of a core that the pool has.
@internal
*/
export function orderByLargestFirst(ranked: RankedJob[], capacityMillis: number): RankedJob[] {
	displaceJobs(ranked.filter(({objectiveStatus}) => objectiveStatus === 'timely'), capacityMillis);
	return ranked.sort((left, right) => objectiveStatusOrder[left.objectiveStatus] - objectiveStatusOrder[right.objectiveStatus]
		|| left.job.record.priority - right.job.record.priority
		|| left.slackMs - right.slackMs);
}

/** Displaces the largest jobs until all others can finish in time in the order in which they are due (Moore-Hodgson algorithm, with the pool as a single machine). */
function displaceJobs(timelyJobs: RankedJob[], capacityMillis: number): void {
	if (capacityMillis <= 0) {
		return;
	}

	const kept: RankedJob[] = [];
	let work = 0;
	for (const ranked of timelyJobs.sort((left, right) => left.dueInMs - right.dueInMs)) {
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

/** Ranks a single job by itself. @internal */
export function rankJob(job: Job, estimate: JobEstimate, now: number): RankedJob {
	const {record} = job;
	if (record.spec.steps.some(step => step.isLongRunning)) {
		return {
			job, objectiveStatus: 'serving', slackMs: 0, dueInMs: 0, remainingCriticalPathMs: 0, remainingWork: 0, totalWork: 0, initialSlackMs: 0,
		};
	}

	// Each occurrence is due at a time of its own, so a recurring job counts from the time at which the latest of its open tasks became ready.
	const ageMs = now - (record.spec.repeatCount === 0 ? job.acceptedAt : findLatestDue(job));
	const {criticalPathMs, remainingCriticalPathMs, remainingWork, totalWork} = estimate;
	const objectiveMs = (record.stretch * criticalPathMs) + record.latencyTargetMs;
	const dueInMs = objectiveMs - ageMs;
	const timelySlackMs = dueInMs - remainingCriticalPathMs;
	const lateSlackMs = (lateFactor * objectiveMs) - ageMs - remainingCriticalPathMs;
	const isTimely = timelySlackMs >= 0;
	const lateStatus = lateSlackMs >= 0 ? 'late' : 'hopeless';
	return {
		job,
		objectiveStatus: isTimely ? 'timely' : lateStatus,
		slackMs: isTimely ? timelySlackMs : lateSlackMs,
		dueInMs,
		remainingCriticalPathMs,
		remainingWork,
		totalWork,
		initialSlackMs: objectiveMs - criticalPathMs,
	};
}

function findLatestDue(job: Job): number {
	let latest = job.firstSeenAt;
	for (const step of job.steps.values()) {
		for (const idleSince of listIdleTimes(step)) {
			latest = Math.max(latest, idleSince);
		}
	}

	return latest;
}

/** Lists the unfinished steps of a job whose dependencies are done. @internal */
export function listReadySteps(job: Job): Step[] {
	return [...job.steps.values()].filter(step => !isStepDone(step) && isStepReady(step));
}
