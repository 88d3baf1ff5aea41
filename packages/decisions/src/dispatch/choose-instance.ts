import {type ListedInstance, type PoolName, type PoolWork} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getServingInstances} from '../fleet/index.js';
import {computeUsableSlots} from '../health/index.js';

/** An instance that may get requests, with the number of slots that it may use. @internal */
export type InstanceSlots = {
	readonly instance: ListedInstance;
	/** Slots that the instance's health allows. */
	readonly slotLimit: number;
	/** Whether the instance's health allows fewer slots than the pool declares. */
	readonly isRestricted: boolean;
};

/** Lists the instances that may get a request now. @internal */
export function listUsableInstances(state: EntryState, pool: PoolName, context: DecisionContext): InstanceSlots[] {
	const slots = state.bundle.current?.pools[pool]?.slotsPerInstance ?? 0;
	const usable: InstanceSlots[] = [];
	for (const instance of getServingInstances(state, pool)) {
		const slotLimit = computeUsableSlots(state, instance.id, slots, context);
		if (slotLimit > 0 && (state.dispatch.refusalBackoffUntil.get(instance.id) ?? 0) <= context.now) {
			usable.push({instance, slotLimit, isRestricted: slotLimit < slots});
		}
	}

	return usable;
}

/** Counts the free slots of the given instances; one that uses more slots than its limit has none. @internal */
export function countFreeSlots(state: EntryState, instances: readonly InstanceSlots[]): number {
	let free = 0;
	for (const {instance, slotLimit} of instances) {
		free += Math.max(0, slotLimit - (state.dispatch.busySlots.get(instance.id) ?? 0));
	}

	return free;
}

/** Chooses the instance with the fewest busy slots, if possible one at which the request has not failed. @internal */
export function chooseInstance(state: EntryState, instances: readonly InstanceSlots[], work: PoolWork, context: DecisionContext): ListedInstance | undefined {
	let best: ListedInstance | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const {instance, slotLimit, isRestricted} of instances) {
		const busy = state.dispatch.busySlots.get(instance.id) ?? 0;
		if (busy >= slotLimit) {
			continue;
		}

		// Idempotent requests, which can be retried, test a restricted instance; others go there only when all other instances are full.
		const isUnsafe = isRestricted && !work.request.isIdempotent;
		const penalty = (work.triedInstances.includes(instance.id) ? 1 : 0) + (isUnsafe ? 1 : 0);
		// The random fraction breaks ties.
		const score = busy + (penalty * 1000) + context.random.getFraction();
		if (score < bestScore) {
			best = instance;
			bestScore = score;
		}
	}

	return best;
}
