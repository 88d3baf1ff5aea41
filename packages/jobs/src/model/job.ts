import {type Resources} from './room.js';

/** One step of a job: tasks of the same kind. @public */
export type StepSpec = {
	/** Number of tasks. */
	readonly count: number;
	readonly room: Resources;
	/** The client's rough estimate of one task's duration in ms; may be far off. */
	readonly estimateMs: number;
	/** Numbers of the steps whose tasks must all have ended well before. */
	readonly after: readonly number[];
	readonly isCheckpointing: boolean;
	/** The tasks work only together. */
	readonly isGang: boolean;
	/** A gang on more than one rack is slow. */
	readonly isSameRack: boolean;
	/** Label that the endpoint must have. */
	readonly requiredLabel: string | undefined;
	/** Rack where the data is; elsewhere the task is slow. */
	readonly dataRack: string | undefined;
	/** Most tasks of the step on one endpoint; undefined for no limit. */
	readonly endpointLimit: number | undefined;
	/** Copies may run in parallel. */
	readonly mayDuplicate: boolean;
	/** The tasks run until the job is cancelled. */
	readonly isLongRunning: boolean;
	/** Names what the tasks run; tasks of one image behave alike. */
	readonly image: string;
	/** Objective for the tail of a serving task's response times in ms; undefined for a task that does not serve. */
	readonly tailTargetMs: number | undefined;
	/** The tasks use processor time that others leave, and are not counted against the endpoint's processors. */
	readonly isFiller: boolean;
	/** How many long-running tasks of the step orders may make unavailable at once; undefined when not declared. */
	readonly missLimit: number | undefined;
};

/** What a client hands in. @public */
export type JobSpec = {
	/** Passed on to endpoints as it is. */
	readonly payload: string;
	readonly steps: readonly StepSpec[];
	/** How often the steps run; 0 for once, at once. */
	readonly repeatCount: number;
	/** Unix ms at which occurrence 0 is due. */
	readonly startAtMs: number;
	readonly intervalMs: number;
};

/** A queue's policy on which endpoints may run a step. @public */
export type AdvicePolicy = {
	readonly decideMs: number;
	readonly eachMs: number;
	readonly validMs: number;
};

/** A job as accepted, with the queue's terms at that time. Never changes. @public */
export type JobRecord = {
	readonly id: string;
	readonly queue: string;
	readonly pool: string;
	readonly spec: JobSpec;
	/** 0 comes first. */
	readonly priority: number;
	/** A task that has failed this often fails its job. */
	readonly attempts: number;
	/** The latency objective is `stretch` times the longest chain of work, and `latencyTargetMs` more. */
	readonly stretch: number;
	readonly latencyTargetMs: number;
	readonly advice: AdvicePolicy | undefined;
	/** Unix ms. */
	readonly acceptedAt: number;
};

/** @public */
export type JobStatus = 'queued' | 'running' | 'done' | 'failed' | 'cancelled';

/** The part of a job that is kept up to date in the store. @public */
export type ProgressRecord = {
	readonly queue: string;
	readonly status: JobStatus;
	/** Tasks by `occurrence.step`, a character a task: `d` for done. Steps with no entry are untouched. */
	readonly steps: Readonly<Record<string, string>>;
	/**
	Numbers of the runs that have failed, by `occurrence.step.index`. An end is told again to the next owner when the former one could not let the endpoint forget it, so failures are not just counted.
	*/
	readonly failedRuns?: Readonly<Record<string, readonly number[]>>;
	/** Highest run number used so far. */
	readonly lastRun: number;
	/** Unix ms at which the job ended. */
	readonly endedAt?: number;
};

/** Names of a task's parts. @public */
export type TaskIdParts = {
	readonly jobId: string;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
};

/** @public */
export function formatTaskId({jobId, occurrence, step, index}: TaskIdParts): string {
	return `${jobId}.${occurrence}.${step}.${index}`;
}

/** Splits a task's id; undefined when it is none. @public */
export function parseTaskId(id: string): TaskIdParts | undefined {
	const [jobId, occurrence, step, index, rest] = id.split('.');
	const numbers = [occurrence, step, index].map(Number);
	if (jobId === undefined || rest !== undefined || numbers.some(value => !Number.isInteger(value) || value < 0)) {
		return undefined;
	}

	return {
		jobId, occurrence: numbers[0]!, step: numbers[1]!, index: numbers[2]!,
	};
}
