import {
	type EndedJob, type JobRecord, type JobStatus, type ProgressRecord, type Roster, type RunId, type StepSpec,
} from '../model/index.js';

/** One task of a step. @public */
export type Task = {
	readonly id: string;
	readonly step: Step;
	isDone: boolean;
	/** Numbers of the runs that ended as failed; a gang's stand with its first task. */
	readonly failedRuns: Set<number>;
	/** Endpoint by run number, for runs that may be at work. */
	readonly runs: Map<number, string>;
	/** From which the next run resumes; empty when there is none. */
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
	readonly tasks: readonly Task[];
	doneCount: number;
};

/** An end that is forgotten by its endpoint once the job's record includes it. */
type UnrecordedEnd = {readonly endpointId: string; readonly number: number; readonly version: number};

/** @public */
export type Job = {
	readonly record: JobRecord;
	status: JobStatus;
	/** Counts changes; the record in the store includes those up to `savedVersion`. */
	version: number;
	savedVersion: number;
	/** Revision of the progress record. */
	revision: number;
	/** By `occurrence.step`. */
	steps: Map<string, Step>;
	/** Occurrences whose steps have been set up. */
	createdOccurrences: number;
	lastRun: number;
	/** Progress as read from the store, from which steps are set up. */
	readonly restored: ProgressRecord;
	unrecordedEnds: UnrecordedEnd[];
	/** Its tasks may be at work for a former owner where this entry has not looked yet. */
	isAwaitingSurvey: boolean;
	/** Unix ms. */
	endedAt: number | undefined;
	/** Monotonic ms at which this entry heard of it. */
	readonly firstSeenAt: number;
	/** Monotonic ms from which the latency objective counts, worked out from the time of acceptance. */
	readonly acceptedAt: number;
};

/** A write of progress records that is not answered yet. */
type PendingSave = {
	readonly saveId: number;
	readonly versions: ReadonlyMap<string, number>;
	readonly roster: Roster | undefined;
};

/** Jobs of a pool that this entry owns. @public */
export type PoolLedger = {
	readonly pool: string;
	readonly token: number;
	readonly jobs: Map<string, Job>;
	/** Jobs whose end is on record. */
	readonly endedJobs: Map<string, EndedJob>;
	/** Jobs that have not ended. */
	readonly activeJobs: Set<Job>;
	/** Jobs with changes that are not on record. */
	readonly unsavedJobs: Set<Job>;
	/** When the oldest change that is not on record was made, in monotonic ms. */
	unsavedSince: number | undefined;
	/** Something callers wait for has changed, and is written at once. */
	isUrgent: boolean;
	pendingSave: PendingSave | undefined;
	saveRetryAt: number;
	nextSaveId: number;
	rosterRevision: number;
	/** The roster on record, as far as is known. */
	rosterOnRecord: Roster;
	/** Whether a write of the roster was not answered, and may have been carried out. */
	isRosterUnsure: boolean;
	/** Endpoints that do not answer, and the runs that may be at work there. */
	readonly silentRuns: Map<string, readonly RunId[]>;
	/** Endpoints on record as ones that may run tasks. */
	rosterEndpointIds: ReadonlySet<string>;
	/** Cancelled jobs whose own record has not arrived; a list holds them in no certain order. */
	readonly earlyCancels: Set<string>;
	/** Endpoints that run nothing and are given nothing, until the wish for that is withdrawn. */
	readonly evacuatedIds: Set<string>;
	/** Endpoints that have left for good since the roster was written. */
	readonly forgottenIds: Set<string>;
	forgetAt: number;
};

/** @public */
export type LedgerState = {readonly pools: Map<string, PoolLedger>};

/** What other filters may ask about jobs. @public */
export type LedgerView = {readonly ledger: {readonly pools: ReadonlyMap<string, Readonly<PoolLedger>>}};

/** @public */
export function createLedgerState(): LedgerState {
	return {pools: new Map()};
}

/** The ledger of a pool that has just been claimed. @internal */
export function createPoolLedger({pool, token, now}: {readonly pool: string; readonly token: number; readonly now: number}): PoolLedger {
	return {
		pool,
		token,
		jobs: new Map(),
		endedJobs: new Map(),
		activeJobs: new Set(),
		unsavedJobs: new Set(),
		unsavedSince: undefined,
		isUrgent: false,
		pendingSave: undefined,
		saveRetryAt: 0,
		nextSaveId: 1,
		rosterRevision: 0,
		rosterOnRecord: {endpointIds: []},
		isRosterUnsure: false,
		silentRuns: new Map(),
		rosterEndpointIds: new Set(),
		earlyCancels: new Set(),
		evacuatedIds: new Set(),
		forgottenIds: new Set(),
		forgetAt: now,
	};
}

/** Whether a job still has work to come. @public */
export function isActive(job: Job): boolean {
	return job.status === 'queued' || job.status === 'running';
}

/** Whether the steps before a step have all ended well. @public */
export function isStepReady(step: Step): boolean {
	return step.spec.after.every(index => {
		const before = step.job.steps.get(`${step.occurrence}.${index}`);
		return before !== undefined && before.doneCount === before.tasks.length;
	});
}

/** A task by its id, in a pool's jobs. @public */
export function findTask(pool: {readonly jobs: ReadonlyMap<string, Job>} | undefined, taskId: string): Task | undefined {
	const [jobId = '', occurrence, step, index] = taskId.split('.');
	return pool?.jobs.get(jobId)?.steps.get(`${occurrence}.${step}`)?.tasks[Number(index)];
}
