import {type InstanceId, type PoolName} from '@pistachiogauge/model';

/** State of the invariants filter: earlier values that its checks compare with. @public */
export type InvariantsState = {
	/** Highest bundle version that this entry has applied. */
	highestBundleVersion: number;
	/** Number of permits in each owned pool's record at the last check. */
	readonly permitCounts: Map<PoolName, number>;
	/** Monotonic time at which an instance's permit was first seen in the record of an owned pool. */
	readonly permitSeenAt: Map<InstanceId, number>;
	/** Monotonic time of the last check. */
	lastCheckedAt: number;
};

/** @internal */
export function createInvariantsState(): InvariantsState {
	return {
		highestBundleVersion: 0, permitCounts: new Map(), permitSeenAt: new Map(), lastCheckedAt: 0,
	};
}
