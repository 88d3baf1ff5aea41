import {type InstanceId} from '@pistachiogauge/model';
import {type PoolView} from './pool-view.js';

/** What a pool's load over a long time asks for. @public */
export type RebalanceAction = 'borrow' | 'return' | 'none';

/** Interval over which one sample of the load is formed, in milliseconds. @public */
export const loadSampleIntervalMs = 10_000;
/** Samples that a decision needs: 10 minutes, since a move takes minutes and bursts last seconds. @public */
export const loadSampleCount = 60;
/** Least time between two moves that one pool asks for, in milliseconds. @public */
export const minMoveIntervalMs = 600_000;

/** Load above which a pool is short of slots; the gap to `lowLoad` keeps instances from going back and forth. */
const highLoad = 0.9;
/** Load that the pool would have without the instance, below which a borrowed instance goes back. */
const lowLoad = 0.5;
/** Share of the samples above the high load at which a shortage counts as lasting. */
const shortShare = 0.8;
/** Share of the samples below the low load at which an instance goes back. Higher, because a pool with bursts in 5 of 25 samples still needs it. */
const calmShare = 0.95;

/**
Decides from the load's history whether a pool should borrow an instance or return one.

@param samples Requests queued or running as a share of the pool's slots, one mean value a sample interval, the latest last.
@public
*/
export function chooseRebalanceAction(samples: readonly number[], instances: number, borrowed: number): RebalanceAction {
	if (samples.length < loadSampleCount) {
		return 'none';
	}

	if (samples.filter(load => load > highLoad).length >= samples.length * shortShare) {
		return 'borrow';
	}

	if (borrowed === 0 || instances < 2) {
		return 'none';
	}

	const loadWithout = instances / (instances - 1);
	return samples.filter(load => load * loadWithout < lowLoad).length >= samples.length * calmShare ? 'return' : 'none';
}

/** The instance that a lending pool gives up: in service, and delivered for the asking pool if there is one. @public */
export function chooseLentInstance(view: PoolView, targetPool: string): InstanceId | undefined {
	const available = view.members.filter(member => member.outOfServiceReason === undefined);
	return (available.find(member => member.listed?.pool === targetPool) ?? available.at(-1))?.id;
}
