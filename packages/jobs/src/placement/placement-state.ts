import {type Step} from '../ledger/index.js';
import {type DisplacementPolicy, type PoolDisplacement} from './displacement-state.js';

/** Ticket for starting the tasks of a step on an endpoint. @public */
export type Ticket = {
	readonly ticket: string;
	/** Start time of the endpoint's process, beyond which the ticket is void. */
	readonly startedAt: number;
	/** Monotonic ms. */
	validUntil: number;
};

/** What the advice service has said about a step. @public */
export type StepAdvice = {
	readonly step: Step;
	/** Last ticket of each endpoint that may run the step. */
	readonly tickets: Map<string, Ticket>;
	/** Endpoints that may not run the step, with the start time of the process that this was said of. */
	readonly barred: Map<string, number>;
	/** Endpoints in the request that is not answered yet, with the start times of their processes. */
	requested: ReadonlyMap<string, number> | undefined;
	/** Monotonic ms before which no request is sent, as the last one failed. */
	retryAt: number;
};

/**
Why a job has tasks that wait for a start.

- `claim`: the store has not confirmed the claim since this entry learned of the job.
- `survey`: a previous owner may have started them.
- `no-endpoint`: no endpoint that is in use has the label, or the resources even without any run.
- `no-room`: no endpoint has the resources now.
- `endpoint-limit`: all endpoints with room have as many tasks of the step as its limit allows.
- `gang`: not all members have room.
- `advice`: no endpoint with room is known to be allowed.
- `account-cap`: the pool's share of the cap of the job's account is in use, or kept for a task that comes first.

@public
*/
export type WaitReason = 'claim' | 'survey' | 'no-endpoint' | 'no-room' | 'endpoint-limit' | 'unanswered-starts' | 'gang' | 'advice' | 'account-cap';

/**
Whether tasks are started on an endpoint, or why not.

- `silent`: it does not answer.
- `not-ready`: it is draining, or no longer registered.
- `evacuated-for-move`, `evacuated-for-maintenance`: its machine is to be moved or maintained.
- `unknown-usage`: it runs tasks of jobs that this entry does not know.
- `not-on-roster`: the roster that names it has not been saved.
- `paused`: it has refused a start, or has not answered one.
- `avoided`: runs fail, stall or are slow there.

@public
*/
export type EndpointUse = 'usable' | 'silent' | 'unanswered-order' | 'not-ready' | 'evacuated-for-move' | 'evacuated-for-maintenance' | 'unknown-usage' | 'not-on-roster' | 'paused' | 'avoided';

/** What a stop of a checkpointed run costs at most, in ms. @public */
export type PreemptionCosts = {
	/** Time until the stopped run has released its resources. */
	readonly stopMs: number;
	/** Work between two checkpoints. */
	readonly checkpointMs: number;
	/** Time until a resumed run makes progress. */
	readonly restoreMs: number;
};

const defaultPreemptionCosts: PreemptionCosts = {stopMs: 900, checkpointMs: 1000, restoreMs: 600};

/** Settings of placement. @public */
export type PlacementOptions = {
	readonly preemptionCosts?: PreemptionCosts | undefined;
	/** Displacement policy; undefined to choose it by the configuration. */
	readonly displacement?: DisplacementPolicy | undefined;
};

/** @public */
export type PlacementState = {
	readonly options: PlacementOptions;
	readonly preemptionCosts: PreemptionCosts;
	/** What the order by least cost remembers, by pool. */
	readonly displacements: Map<string, PoolDisplacement>;
	/** Accounts that metrics name. */
	readonly accountLabels: Set<string>;
	/** Steps of tasks that have been placed but whose runs are not supervised yet, by endpoint and task. */
	readonly reservedSteps: Map<string, Map<string, Step>>;
	/** When each pool was last searched for tasks to start, in monotonic ms. */
	readonly searchedAt: Map<string, number>;
	/** Number of jobs that were ranked in the last search of each pool, and of those that no endpoint could take. */
	readonly searchSizes: Map<string, {readonly ranked: number; readonly unattainable: number}>;
	/** Pools that have changed since their last search. */
	readonly duePools: Set<string>;
	/** By step id, for steps that are not done. */
	readonly advice: Map<string, StepAdvice>;
	/** When a step was last tried in vain for another reason than its demand, and why. */
	readonly blockedSteps: WeakMap<Step, {readonly at: number; readonly reason: WaitReason}>;
	/** When the waiting jobs of each pool were last logged, in monotonic ms. */
	readonly waitLoggedAt: Map<string, number>;
	/** Use of each endpoint in the last search of its pool, and in monotonic ms since when searches have found it so. */
	readonly endpointUses: Map<string, {readonly pool: string; readonly use: EndpointUse; readonly since: number}>;
};

/** @public */
export function createPlacementState(options: PlacementOptions = {}): PlacementState {
	return {
		options, preemptionCosts: options.preemptionCosts ?? defaultPreemptionCosts, displacements: new Map(), accountLabels: new Set(), reservedSteps: new Map(), searchedAt: new Map(), searchSizes: new Map(), duePools: new Set(), advice: new Map(), blockedSteps: new WeakMap(), waitLoggedAt: new Map(), endpointUses: new Map(),
	};
}
