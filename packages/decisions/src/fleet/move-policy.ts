import {type InstanceId} from '@pistachiogauge/model';
import {type PoolView} from './pool-view.js';

/** What a pool should do about its number of instances, given its load history. @public */
export type RebalanceAction = 'borrow' | 'return' | 'none';

/** Interval over which the load is averaged into one sample. @public */
export const loadSampleIntervalMs = 10_000;
/** Samples needed for a decision. Together they cover 10 minutes, since a move takes minutes and bursts last only seconds. @public */
export const loadSampleCount = 60;
/** Minimum time between two automatic moves that one pool requests. @public */
export const minMoveIntervalMs = 600_000;

/** Load above which a pool is short of slots. The gap to `returnLoad` is the hysteresis that keeps instances from moving back and forth. */
const shortageLoad = 0.9;
/** A borrowed instance is returned when the pool's load without it would be below this value. */
const returnLoad = 0.5;
/** Share of the samples above `shortageLoad` at which the shortage counts as lasting. */
const shortageSampleShare = 0.8;
/** Share of the samples below `returnLoad` at which an instance is returned. Higher than for a shortage, because a pool with bursts in 5 of 25 samples still needs the instance. */
const returnSampleShare = 0.95;

/**
Chooses from the load history whether a pool should borrow an instance or return one.

@param samples Queued and running requests as a share of the pool's slots, averaged over each sample interval, the latest last.
@public
*/
export function chooseRebalanceAction(samples: readonly number[], instances: number, borrowed: number): RebalanceAction {
	if (samples.length < loadSampleCount) {
		return 'none';
	}

	if (samples.filter(load => load > shortageLoad).length >= samples.length * shortageSampleShare) {
		return 'borrow';
	}

	if (borrowed === 0 || instances < 2) {
		return 'none';
	}

	const loadFactor = instances / (instances - 1);
	return samples.filter(load => load * loadFactor < returnLoad).length >= samples.length * returnSampleShare ? 'return' : 'none';
}

/** Chooses the instance that a pool lends: one in service, preferably one that the platform delivered for the target pool. @public */
export function chooseInstanceToLend(view: PoolView, targetPool: string): InstanceId | undefined {
	const available = view.members.filter(member => member.outOfServiceReason === undefined);
	return (available.find(member => member.listed?.pool === targetPool) ?? available.at(-1))?.id;
}
