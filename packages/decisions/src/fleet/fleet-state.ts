import {
	type InstanceId, type InstanceRecord, type ListedInstance, type PoolName, type PoolRecord,
} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/** An instance with its record in the store. */
export type FleetInstance = {
	listed: ListedInstance | undefined;
	record: InstanceRecord | undefined;
	recordRevision: number;
};

/** A pool that this entry owns. @public */
export type OwnedPool = {
	/** The pool record as last read or written; undefined until this owner has fenced it. */
	record: PoolRecord | undefined;
	revision: number;
	/** Whether the record carries this owner's epoch, so that a former owner's late write fails. */
	isFenced: boolean;
	pendingOperation: string | undefined;
	nextTryAt: number;
};

/** State of the fleet filter. @public */
export type FleetState = {
	readonly instances: Map<InstanceId, FleetInstance>;
	readonly owned: Map<PoolName, OwnedPool>;
	operationCount: number;
};

/** @internal */
export function createFleetState(): FleetState {
	return {instances: new Map(), owned: new Map(), operationCount: 0};
}

/**
Instances of a pool that may get new work: recorded in the pool, listed as live, and without a permit to be out of service.

@public
*/
export function getServingInstances(state: EntryState, pool: PoolName): ListedInstance[] {
	const owned = state.fleet.owned.get(pool);
	if (!owned?.isFenced || owned.record === undefined) {
		return [];
	}

	const serving: ListedInstance[] = [];
	for (const [id, instance] of state.fleet.instances) {
		const isServing = instance.record?.pool === pool && instance.listed?.state === 'live' && owned.record.permits[id] === undefined;
		if (isServing) {
			serving.push(instance.listed!);
		}
	}

	return serving;
}
