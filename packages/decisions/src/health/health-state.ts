import {type InstanceId, type PoolName} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type JobRecord} from './failing-jobs.js';

/**
How far an instance is trusted.

- `trusted`: gets work in every slot.
- `limited`: fails although its peers do not, but the pool's budget forbids taking it out; gets single requests with pauses.
- `distrusted`: taken out; probes decide when it may be tried again.
- `trial`: answered probes; gets one request at a time.

@public
*/
export type TrustStage = 'trusted' | 'limited' | 'distrusted' | 'trial';

/** Recent record of one instance. */
export type InstanceHealth = {
	readonly pool: PoolName;
	stage: TrustStage;
	/** Ended attempts and failed ones, older ones counting less. */
	seen: number;
	failed: number;
	/** Successes in a row while not trusted, or healthy probes in a row while distrusted. */
	successesInRow: number;
	/** Monotonic time before which a limited instance gets nothing and a distrusted one is not probed. */
	nextTryAt: number;
	/** Pause before the next try; doubled by each failure. */
	pauseMs: number;
	/** Attempts without an answer in time since the last answer. */
	timeoutsInRow: number;
	/** Time-outs that a probe must attribute to the connection or the endpoint. */
	unjudgedTimeouts: number;
	/** Monotonic time until which the result of a probe is awaited. */
	probeUntil: number;
};

/** State of the health filter. @public */
export type HealthState = {
	readonly instances: Map<InstanceId, InstanceHealth>;
	/** Jobs that have failed, the latest failure last. */
	readonly jobs: Map<string, JobRecord>;
};

/** @internal */
export function createHealthState(): HealthState {
	return {instances: new Map(), jobs: new Map()};
}

/** Whether an instance may get work without limits. @public */
export function isInstanceTrusted(state: EntryState, instanceId: InstanceId): boolean {
	return getTrustStage(state, instanceId) === 'trusted';
}

/** Stage of an instance; one without any record is trusted. @public */
export function getTrustStage(state: EntryState, instanceId: InstanceId): TrustStage {
	return state.health.instances.get(instanceId)?.stage ?? 'trusted';
}

/** Slots that an instance may use at each stage. */
const slotsByStage: Readonly<Record<TrustStage, (health: InstanceHealth, slots: number, now: number) => number>> = {
	trusted: (_health, slots) => slots,
	limited: (health, _slots, now) => health.nextTryAt <= now ? 1 : 0,
	distrusted: () => 0,
	trial: () => 1,
};

/** Slots of an instance that may be used as far as its recent record tells. @internal */
export function getInstanceSlots(state: EntryState, instanceId: InstanceId, slots: number, context: DecisionContext): number {
	const health = state.health.instances.get(instanceId);
	return health === undefined ? slots : slotsByStage[health.stage](health, slots, context.now);
}
