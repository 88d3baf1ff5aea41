/** Multiple of its latency objective up to which a job is worth something to its caller. @public */
export const lateFactor = 3;

/** Share of its value that a job has between its objective and `lateFactor` times that. @public */
export const lateShare = 0.07;

/** Part of a job's value that does not depend on its work. */
const fixedShare = 0.3;
/** Maximum value of a job on time; a job of average size has 1. */
const maxSizeValue = 4;
/** Ratio of the values of two jobs whose priorities differ by one. Priority 0 is served before all others, so the factor applies from priority 1 on. */
const priorityRatio = 0.5;

/**
Computes what a job is worth that is done on time, relative to a job of average size.

@param workRatio - Work of the job divided by the mean work of the jobs of its queue.
@public
*/
export function computeSizeValue(workRatio: number): number {
	return Math.min(maxSizeValue, fixedShare + ((1 - fixedShare) * workRatio));
}

/**
Computes the share of its value that a job keeps: 1 on time, `lateShare` up to `lateFactor` times the objective, 0 later.

@param latencyMs - Time from acceptance to the end of the job, in ms.
@param objectiveMs - Latency objective, in ms.
@public
*/
export function computeTimeliness(latencyMs: number, objectiveMs: number): number {
	if (latencyMs <= objectiveMs) {
		return 1;
	}

	return latencyMs <= lateFactor * objectiveMs ? lateShare : 0;
}

/** Computes the factor by which a job's priority scales its value; priorities 0 and 1 have 1. @public */
export function computePriorityFactor(priority: number): number {
	return priorityRatio ** Math.max(0, priority - 1);
}

/**
Computes the value of a job to its caller; 1 is a job of average size and priority 0 or 1 that is done on time.

Long-running jobs have no objective. They are worth something for as long as their tasks run, and are ranked apart.

@param job.latencyMs - Time from acceptance to the end of the job, in ms, measured or expected.
@param job.objectiveMs - Latency objective, in ms.
@public
*/
export function computeJobValue({priority, workRatio, latencyMs, objectiveMs}: {
	readonly priority: number;
	readonly workRatio: number;
	readonly latencyMs: number;
	readonly objectiveMs: number;
}): number {
	return computePriorityFactor(priority) * computeSizeValue(workRatio) * computeTimeliness(latencyMs, objectiveMs);
}
