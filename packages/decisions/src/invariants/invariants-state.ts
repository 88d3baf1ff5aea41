import {type InstanceId, type PoolName} from '@pistachiogauge/model';

/** State of the invariants filter: what its checks compare with. @public */
export type InvariantsState = {
	/** Highest bundle version that has been in force here. */
	highestVersion: number;
	/** Number of permits in each owned pool's record when it was last looked at. */
	readonly permitCounts: Map<PoolName, number>;
	/** Monotonic time at which an owned pool's record first showed an instance's permit. */
	readonly permitSeenAt: Map<InstanceId, number>;
	/** Monotonic time of the last look at running attempts. */
	checkedAt: number;
};

/** @internal */
export function createInvariantsState(): InvariantsState {
	return {
		highestVersion: 0, permitCounts: new Map(), permitSeenAt: new Map(), checkedAt: 0,
	};
}
