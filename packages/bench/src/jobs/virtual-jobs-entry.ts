import {type JobsState} from '@pistachiogauge/jobs';

/** An entry of the simulation. */
export type VirtualJobsEntry = {
	readonly node: string;
	incarnation: string;
	state: JobsState;
	isUp: boolean;
	/** Whether calls of this entry reach the store. */
	isStoreReachable: boolean;
	/** Virtual time in ms until which the entry is paused. */
	pausedUntil: number;
	leaseRenewedAt: number;
	isRegistered: boolean;
};
