import {
	type EndedJob, type JobRecord, type JobStatus, type ProgressRecord, type Roster, type RunId, type StepSpec,
} from '../model/index.js';
import {getTask, isStepDone, type TaskTable} from './task-table.js';

/** One task of a step. @public */
export type Task = {
	readonly id: string;
	readonly index: number;
	readonly step: Step;
	isDone: boolean;
	/** Numbers of the runs that failed; those of a gang are kept with its first task. */
	readonly failedRuns: Set<number>;
	/** Endpoint by run number, for runs that may be running. */
	readonly runs: Map<number, string>;
	/** Checkpoint from which the next run resumes; empty when there is none. */
	checkpoint: string;
	/** When the last run ended, or the task became due, in monotonic ms. */
	idleSince: number;
};

/** A step of one occurrence. @public */
export type Step = {
	readonly key: string;
	readonly job: Job;
	readonly occurrence: number;
	readonly index: number;
	readonly spec: StepSpec;
	readonly tasks: TaskTable;
	doneCount: number;
};

/** An end that is acknowledged to its endpoint, which then deletes it, once the saved record of the job includes it. */
type UnsavedEnd = {readonly endpointId: string; readonly endpointStartedAt: number; readonly number: number; readonly version: number};

/** @public */
export type Job = {
	readonly record: JobRecord;
	status: JobStatus;
	/** Number of changes; the record in the store includes those up to `savedVersion`. */
	version: number;
	savedVersion: number;
	/** Revision of the progress record. */
	revision: number;
	/** By `occurrence.step`. */
	steps: Map<string, Step>;
	/** Number of occurrences that have become due by this entry's clock. Steps of others are created only if a previous owner has started them. */
	createdOccurrences: number;
	/** Number of occurrences, from the first one on, that are done and not kept. */
	doneOccurrences: number;
	lastRun: number;
	/** Progress as read from the store, from which steps are restored. */
	readonly restoredProgress: ProgressRecord;
	unsavedEnds: UnsavedEnd[];
	/** A previous owner may have started its tasks on endpoints that this entry has not surveyed yet. */
	isAwaitingSurvey: boolean;
	/** Unix ms. */
	endedAt: number | undefined;
	/** Monotonic ms at which this entry learned of the job. */
	readonly firstSeenAt: number;
	/** Monotonic ms from which the latency objective counts, derived from the Unix time of acceptance. */
	readonly acceptedAt: number;
};

/** A save of progress records that has not been answered. @internal */
export type PendingSave = {
	readonly saveId: number;
	readonly versions: ReadonlyMap<string, number>;
	readonly roster: Roster | undefined;
};

/** Jobs of a pool that this entry owns. @public */
export type PoolLedger = {
	readonly pool: string;
	readonly token: number;
	readonly jobs: Map<string, Job>;
	/** Jobs whose end is saved in the store. */
	readonly endedJobs: Map<string, EndedJob>;
	/** Jobs that have not ended. */
	readonly activeJobs: Set<Job>;
	/** Jobs with changes that are not saved in the store. */
	readonly unsavedJobs: Set<Job>;
	/** When the oldest change was made that is in no save, in monotonic ms. */
	unsavedSince: number | undefined;
	/** Whether a change that callers wait for is in no save; it is saved at once. */
	isSaveUrgent: boolean;
	/** Saves in progress by their number. */
	readonly pendingSaves: Map<number, PendingSave>;
	saveRetryAt: number;
	nextSaveId: number;
	rosterRevision: number;
	/** The roster in the store, as far as it is known. */
	savedRoster: Roster;
	/** Whether a save of the roster was not answered, and may have been carried out. */
	isRosterSaveUnknown: boolean;
	/** Endpoints that do not answer, and the runs that may be running there. */
	readonly silentRuns: Map<string, readonly RunId[]>;
	/** The process of each endpoint that last answered this owner, by the Unix ms at which it started. */
	readonly endpointProcesses: Map<string, number>;
	/** Endpoints on the saved roster. No task is started on any other. */
	rosterEndpointIds: ReadonlySet<string>;
	/** Cancelled jobs whose own record has not arrived: the records of a listing come in no particular order. */
	readonly earlyCancellations: Set<string>;
	/** Evacuated endpoints: they run nothing and are given no tasks until the evacuation request is withdrawn. */
	readonly evacuatedEndpointIds: Set<string>;
	/** Endpoints that have left the list for good since the roster was saved, and on which nothing can be running. */
	readonly forgottenEndpointIds: Set<string>;
	/** Steps with tasks that are done and still have objects. */
	readonly releasableSteps: Set<Step>;
	nextPurgeAt: number;
};

/** @public */
export type LedgerState = {readonly pools: Map<string, PoolLedger>};

/** Read-only view of the jobs for other filters. @public */
export type LedgerView = {readonly ledger: {readonly pools: ReadonlyMap<string, Readonly<PoolLedger>>}};

/** @public */
export function createLedgerState(): LedgerState {
	return {pools: new Map()};
}

/** Creates the empty ledger of a pool that has just been claimed. @public */
export function createPoolLedger({pool, token, now}: {readonly pool: string; readonly token: number; readonly now: number}): PoolLedger {
	return {
		pool,
		token,
		jobs: new Map(),
		endedJobs: new Map(),
		activeJobs: new Set(),
		unsavedJobs: new Set(),
		unsavedSince: undefined,
		isSaveUrgent: false,
		pendingSaves: new Map(),
		saveRetryAt: 0,
		nextSaveId: 1,
		rosterRevision: 0,
		savedRoster: {endpointIds: []},
		isRosterSaveUnknown: false,
		silentRuns: new Map(),
		endpointProcesses: new Map(),
		rosterEndpointIds: new Set(),
		earlyCancellations: new Set(),
		evacuatedEndpointIds: new Set(),
		forgottenEndpointIds: new Set(),
		releasableSteps: new Set(),
		nextPurgeAt: now,
	};
}

/** Whether a job has not ended. @public */
export function isActive(job: Job): boolean {
	return job.status === 'queued' || job.status === 'running';
}

/** Whether a step is due and all steps that it depends on are done. @public */
export function isStepReady(step: Step): boolean {
	return step.occurrence < step.job.createdOccurrences && step.spec.after.every(index => {
		const before = step.job.steps.get(`${step.occurrence}.${index}`);
		return before !== undefined && isStepDone(before);
	});
}

/** Finds a task of a pool's jobs by its id. @public */
export function findTask(pool: {readonly jobs: ReadonlyMap<string, Job>} | undefined, taskId: string): Task | undefined {
	const [jobId = '', occurrence, step, index] = taskId.split('.');
	const found = pool?.jobs.get(jobId)?.steps.get(`${occurrence}.${step}`);
	return found === undefined ? undefined : getTask(found, Number(index));
}
