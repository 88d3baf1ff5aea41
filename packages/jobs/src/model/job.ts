import {type Resources} from './resources.js';

/** A step of a job: a number of tasks with the same requirements. @public */
export type StepSpec = {
	/** Number of tasks. */
	readonly count: number;
	/** Resources that each task takes. */
	readonly room: Resources;
	/** The client's estimate of a task's duration in ms; it may be far off. */
	readonly estimateMs: number;
	/** Indexes of the steps on which this one depends: all their tasks must have succeeded first. */
	readonly after: readonly number[];
	/** The tasks write checkpoints from which a later run can resume. */
	readonly isCheckpointing: boolean;
	/** The tasks make progress only while all of them run (gang scheduling). */
	readonly isGang: boolean;
	/** The gang should run on one rack; it is slow when spread over several. */
	readonly isSameRack: boolean;
	/** Label that an endpoint must have to run the tasks. */
	readonly requiredLabel: string | undefined;
	/** Rack that holds the data; the tasks are slow on any other. */
	readonly dataRack: string | undefined;
	/** Maximum number of the step's tasks on one endpoint; undefined for no limit. */
	readonly endpointLimit: number | undefined;
	/** Several runs of a task may be active at the same time. */
	readonly mayDuplicate: boolean;
	/** The tasks run until the job is cancelled. */
	readonly isLongRunning: boolean;
	/** Identifies the program that the tasks run; tasks with the same image behave alike. */
	readonly image: string;
	/** Objective for the tail latency of a serving task in ms; undefined for a task that serves no requests. */
	readonly tailTargetMs: number | undefined;
	/** The tasks are fillers, that is best-effort tasks: they use CPU time left idle by others and are not counted against the endpoint's CPU capacity. */
	readonly isFiller: boolean;
	/** Maximum number of the step's long-running tasks that orders may make unavailable at once; undefined when not declared. */
	readonly missLimit: number | undefined;
};

/** A job as submitted by a client. @public */
export type JobSpec = {
	/** Passed to endpoints unchanged. */
	readonly payload: string;
	readonly steps: readonly StepSpec[];
	/** Number of occurrences of a recurring job; 0 for a job that runs once, immediately. */
	readonly repeatCount: number;
	/** Unix ms at which occurrence 0 is due. */
	readonly startAtMs: number;
	/** Time in ms between two occurrences. */
	readonly intervalMs: number;
};

/** Settings of the advice service for queues that restrict which endpoints may run a step. @public */
export type AdvicePolicy = {
	readonly decideMs: number;
	readonly eachMs: number;
	readonly validMs: number;
};

/**
Where the records of a job are, and the queue that it was submitted to. There is one for each job id, whichever pool its queue belongs to by then.

@public
*/
export type JobLocation = {
	readonly pool: string;
	readonly queue: string;
	/** Host and path prefix of the queue when the job was submitted. */
	readonly host: string;
	readonly prefix: string;
	readonly account?: string | undefined;
	/** The job was cancelled before it was submitted; it has no other records. */
	readonly isCancelled?: boolean | undefined;
};

/** The queue and account of a job that is cancelled before it is stored. @public */
export type JobAddress = Pick<JobLocation, 'host' | 'prefix' | 'account'>;

/** An accepted job, with its queue's settings at that time. Immutable. @public */
export type JobRecord = {
	readonly id: string;
	readonly queue: string;
	readonly pool: string;
	readonly spec: JobSpec;
	/** 0 is the highest. */
	readonly priority: number;
	/** A task that has failed this many times fails its job. */
	readonly attempts: number;
	/** The latency objective is `stretch` times the critical path of the job, plus `latencyTargetMs`. */
	readonly stretch: number;
	readonly latencyTargetMs: number;
	readonly advice: AdvicePolicy | undefined;
	/** Name of the client account that submitted the job; undefined for a job of a public queue. */
	readonly account?: string | undefined;
	/** Unix ms. */
	readonly acceptedAt: number;
};

/** @public */
export type JobStatus = 'queued' | 'running' | 'done' | 'failed' | 'cancelled';

/** The mutable part of a job, kept up to date in the store. @public */
export type ProgressRecord = {
	readonly queue: string;
	/** As in the job's record, which is deleted when the job ends. */
	readonly account?: string | undefined;
	readonly status: JobStatus;
	/** State of the tasks by `occurrence.step`, one character per task: `d` for done. A step without an entry has not been started. */
	readonly steps: Readonly<Record<string, string>>;
	/** Number of occurrences, from the first one on, that are done and left out of `steps`; 0 if undefined. */
	readonly doneOccurrences?: number | undefined;
	/**
	Numbers of the failed runs, by `occurrence.step.index`. A plain count would not do: an end that the previous owner had saved but not acknowledged to the endpoint is reported again to the next owner.
	*/
	readonly failedRuns?: Readonly<Record<string, readonly number[]>>;
	/** Highest run number used so far in the job. */
	readonly lastRun: number;
	/** Unix ms at which the job ended. */
	readonly endedAt?: number;
};

/** The parts of a task's id. @public */
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

/** Parses a task's id. @returns Undefined for text that is no task id. @public */
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
