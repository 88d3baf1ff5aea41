import {type InstanceId, type PoolName} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type RequestFailures} from './poison-requests.js';

/**
How much an instance is used, by its recent failures.

- `trusted`: gets requests for every slot.
- `limited`: fails more often than its peers, but the pool's budget does not allow its ejection; gets one request at a time, with backoff after failures.
- `distrusted`: ejected, gets no requests; healthy probes move it to `trial`.
- `trial`: answered probes after its ejection; gets one request at a time.

@public
*/
export type TrustStage = 'trusted' | 'limited' | 'distrusted' | 'trial';

/** Recent attempts and probes of one instance. */
export type InstanceHealth = {
	readonly pool: PoolName;
	stage: TrustStage;
	/** Ended attempts, with exponential decay; `failureCount` likewise. */
	attemptCount: number;
	failureCount: number;
	/** Consecutive successful attempts while limited or in trial, or healthy probes while distrusted. */
	consecutiveSuccesses: number;
	/** Monotonic time before which a limited instance gets no request and a distrusted one no probe. */
	backoffUntil: number;
	/** Next backoff; doubled by each failure. */
	backoffMs: number;
	/** Attempts that have timed out since the last answered one. */
	consecutiveTimeouts: number;
	/** Timeouts that the next probe attributes to the connection or to the endpoint. */
	unattributedTimeouts: number;
	/** Monotonic time until which no further probe is sent; 0 when none is pending. */
	probeDeadlineAt: number;
};

/** State of the health filter. @public */
export type HealthState = {
	readonly instances: Map<InstanceId, InstanceHealth>;
	/** Failed requests by fingerprint, the one with the latest failure last. */
	readonly failuresByFingerprint: Map<string, RequestFailures>;
};

/** @internal */
export function createHealthState(): HealthState {
	return {instances: new Map(), failuresByFingerprint: new Map()};
}

/** Whether an instance may use all its slots. @public */
export function isInstanceTrusted(state: EntryState, instanceId: InstanceId): boolean {
	return getTrustStage(state, instanceId) === 'trusted';
}

/** Returns the stage of an instance; one without recorded attempts is trusted. @public */
export function getTrustStage(state: EntryState, instanceId: InstanceId): TrustStage {
	return state.health.instances.get(instanceId)?.stage ?? 'trusted';
}

/** Slots that an instance may use at each stage. */
const slotsByStage: Readonly<Record<TrustStage, (health: InstanceHealth, slots: number, now: number) => number>> = {
	trusted: (_health, slots) => slots,
	limited: (health, _slots, now) => health.backoffUntil <= now ? 1 : 0,
	distrusted: () => 0,
	trial: () => 1,
};

/** Computes how many of an instance's slots its stage allows. @internal */
export function computeUsableSlots(state: EntryState, instanceId: InstanceId, slots: number, context: DecisionContext): number {
	const health = state.health.instances.get(instanceId);
	return health === undefined ? slots : slotsByStage[health.stage](health, slots, context.now);
}
