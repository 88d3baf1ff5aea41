import {type ListedInstance, type PoolName, type PoolWork} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getServingInstances} from '../fleet/index.js';
import {getInstanceSlots} from '../health/index.js';

/** An instance with slots to fill. @internal */
export type InstanceSlots = {
	readonly instance: ListedInstance;
	/** Slots that health allows. */
	readonly limit: number;
	/** Whether health allows single requests only. */
	readonly isDoubtful: boolean;
};

/** Lists the instances that may get work now. @internal */
export function listUsableInstances(state: EntryState, pool: PoolName, context: DecisionContext): InstanceSlots[] {
	const slots = state.bundle.current?.pools[pool]?.slotsPerInstance ?? 0;
	const usable: InstanceSlots[] = [];
	for (const instance of getServingInstances(state, pool)) {
		const limit = getInstanceSlots(state, instance.id, slots, context);
		if (limit > 0 && (state.dispatch.refusingUntil.get(instance.id) ?? 0) <= context.now) {
			usable.push({instance, limit, isDoubtful: limit < slots});
		}
	}

	return usable;
}

/** Counts the free slots of the given instances. @internal */
export function countFreeSlots(state: EntryState, instances: readonly InstanceSlots[]): number {
	let free = 0;
	for (const {instance, limit} of instances) {
		free += Math.max(0, limit - (state.dispatch.busySlots.get(instance.id) ?? 0));
	}

	return free;
}

/** Chooses the least busy instance, and if possible one at which the request has not failed. @internal */
export function chooseInstance(state: EntryState, instances: readonly InstanceSlots[], work: PoolWork, context: DecisionContext): ListedInstance | undefined {
	let best: ListedInstance | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const {instance, limit, isDoubtful} of instances) {
		const busy = state.dispatch.busySlots.get(instance.id) ?? 0;
		if (busy >= limit) {
			continue;
		}

		// Requests that can be sent again try out a doubtful instance; others go there only when all else is full.
		const isRisky = isDoubtful && !work.request.isIdempotent;
		const penalty = (work.triedInstances.includes(instance.id) ? 1 : 0) + (isRisky ? 1 : 0);
		// The fraction breaks ties at random.
		const score = busy + (penalty * 1000) + context.random.getFraction();
		if (score < bestScore) {
			best = instance;
			bestScore = score;
		}
	}

	return best;
}
