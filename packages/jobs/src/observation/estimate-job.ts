import {
	countRunningTasks, isStepDone, type Job, type Step,
} from '../ledger/index.js';
import {type StepSpec} from '../model/index.js';
import {createDurationPredictor, type ObservationView} from './observation-state.js';

/** Predicts the duration in ms of a step's tasks; the step itself is missing before its occurrence is due. @internal */
export type DurationPredictor = (spec: StepSpec, step: Step | undefined) => number;

/** Predicted durations and work of a job. @public */
export type JobEstimate = {
	/** Duration of the critical path through all steps of the latest occurrence, in ms. */
	readonly criticalPathMs: number;
	/** The same without the steps that are done. */
	readonly remainingCriticalPathMs: number;
	/** Remaining work, in thousandths of a core times ms. */
	readonly remainingWork: number;
	/** Work of all steps, done or not, in thousandths of a core times ms. */
	readonly totalWork: number;
};

/** An estimate that was computed before. @public */
export type CachedEstimate = {readonly estimate: JobEstimate; readonly version: number; readonly computedAt: number};

/** Average share of a task's work that remains while it runs. */
const runningWorkShare = 0.5;
/** Time for which an estimate is used again. Ranking hundreds of jobs takes most of the time of a search, and a search is made every few ms. */
const estimateLifetimeMs = 100;

/** Returns the predicted durations and work of a job, at most a tenth of a second old. @public */
export function getJobEstimate(state: ObservationView, job: Job, now: number): JobEstimate {
	const {jobEstimates} = state.observation;
	const cached = jobEstimates.get(job);
	if (cached?.version === job.version && now < cached.computedAt + estimateLifetimeMs) {
		return cached.estimate;
	}

	const estimate = estimateJob(job, createDurationPredictor(state, job.record.queue));
	jobEstimates.set(job, {estimate, version: job.version, computedAt: now});
	return estimate;
}

/** Predicts the durations and the work of a job. @internal */
export function estimateJob(job: Job, predict: DurationPredictor): JobEstimate {
	return {
		criticalPathMs: computeCriticalPathMs(job, predict, () => false),
		remainingCriticalPathMs: computeCriticalPathMs(job, predict, step => isStepDone(step)),
		remainingWork: computeRemainingWork(job, predict),
		totalWork: computeTotalWork(job, predict),
	};
}

function computeTotalWork(job: Job, predict: DurationPredictor): number {
	return job.record.spec.steps.reduce((sum, spec, index) => sum + (spec.count * spec.room.cpuMillis * predict(spec, findLatestStep(job, index))), 0);
}

function computeRemainingWork(job: Job, predict: DurationPredictor): number {
	let work = 0;
	for (const step of job.steps.values()) {
		const runningCount = countRunningTasks(step);
		const waitingCount = step.tasks.size - step.doneCount - runningCount;
		work += step.spec.room.cpuMillis * predict(step.spec, step) * (waitingCount + (runningCount * runningWorkShare));
	}

	return work;
}

/** Finds a step of the job's latest occurrence. */
function findLatestStep(job: Job, index: number): Step | undefined {
	return job.steps.get(`${Math.max(0, job.createdOccurrences - 1)}.${index}`);
}

/** Predicted duration of the critical path through the steps of the job's latest occurrence, without those that are done. */
function computeCriticalPathMs(job: Job, predict: DurationPredictor, isDone: (step: Step) => boolean): number {
	const {steps} = job.record.spec;
	const ends: number[] = [];
	for (const [index, spec] of steps.entries()) {
		const before = Math.max(0, ...spec.after.map(number => ends[number] ?? 0));
		const step = findLatestStep(job, index);
		ends.push(before + (step !== undefined && isDone(step) ? 0 : predict(spec, step)));
	}

	return Math.max(0, ...ends);
}
