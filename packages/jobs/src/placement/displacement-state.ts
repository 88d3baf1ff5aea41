import {type Job} from '../ledger/index.js';
import {type JobSize, type QueueService, type QueueWork} from '../value/index.js';

/**
Which jobs give way when a pool cannot serve all in time.

- `largest-first`: the largest jobs, whatever their priority, value and account.
- `least-cost`: those that lose least value for the capacity that they set free, within the shares of the accounts.

@public
*/
export type DisplacementPolicy = 'largest-first' | 'least-cost';

/**
Why a job is displaced.

- `over-rate`: its account has sent more jobs a second than its weight entitles it to.
- `over-share`: its account has at least its share of the capacity.
- `least-value`: others of its account yield more for the capacity.
- `too-large`: it would miss its objective even with the whole pool to itself.

@public
*/
export type DisplacementReason = 'over-rate' | 'over-share' | 'least-value' | 'too-large';

/** What is known of a job from its first search on. @public */
export type JobProfile = {
	readonly size: JobSize;
	/** Whether its account was within its rate when the job was accepted. */
	readonly isEntitled: boolean;
	/** Monotonic ms by which the job is due, by its last estimate. */
	dueAt: number;
	/** Whether it was kept because too few jobs of its size are served. */
	isKeptByGuard: boolean;
	/** Why it was displaced first; undefined while it has not been. */
	displacedFor: DisplacementReason | undefined;
};

/** Number of jobs that an account may have accepted now with an entitlement to capacity. @public */
export type RateAllowance = {count: number; updatedAt: number};

/** What the order by least cost remembers of a pool. It is small, and a new owner of the pool starts anew. @public */
export type PoolDisplacement = {
	readonly queues: Map<string, {readonly work: QueueWork; readonly service: QueueService}>;
	/** By account. */
	readonly allowances: Map<string, RateAllowance>;
	readonly profiles: WeakMap<Job, JobProfile>;
	/** Jobs whose outcome is not recorded. */
	readonly openJobs: Set<Job>;
	/** When displaced jobs were last logged, in monotonic ms. */
	loggedAt: number;
	/** When runs to preempt were last looked for, in monotonic ms. */
	preemptedAt: number;
	/** Number of runs of each job that have been stopped in favour of others. */
	readonly preemptionCounts: WeakMap<Job, number>;
};

/** @internal */
export function createPoolDisplacement(): PoolDisplacement {
	return {
		queues: new Map(), allowances: new Map(), profiles: new WeakMap(), openJobs: new Set(), loggedAt: Number.NEGATIVE_INFINITY, preemptedAt: Number.NEGATIVE_INFINITY, preemptionCounts: new WeakMap(),
	};
}
