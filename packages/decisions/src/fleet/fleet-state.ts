import {
	type InstanceId, type InstanceRecord, type ListedInstance, type OperatorCommand, type PoolName, type PoolRecord,
} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/** An instance with its record in the store. */
export type FleetInstance = {
	listed: ListedInstance | undefined;
	/** Whether the list last showed the instance as leaving, or an operator said that it is gone. */
	wasLeaving: boolean;
	/** Monotonic time at which the list stopped to show the instance. */
	unlistedAt: number | undefined;
	record: InstanceRecord | undefined;
	recordRevision: number;
	/** Monotonic time at which the record was learned. */
	recordAt: number;
	/** Whether this owner writes its record back, because the store was restored from an older copy. */
	isRestoring: boolean;
	/** Monotonic time until which the instance gets no work, because a restored store names another pool than before. */
	doubtUntil: number | undefined;
	/** Monotonic time before which the instance record is not written again. */
	nextWriteAt: number;
};

/** What this owner has seen of an instance since it took over the pool. Times are monotonic milliseconds. */
export type InstanceObservation = {
	askedAt: number;
	isHealthy: boolean | undefined;
	/** Healthy answers without a failure in between, since the last change of stage. */
	healthyInRow: number;
	/** Whether the instance failed to answer since its reboot was accepted. */
	hasBeenDown: boolean;
	rebootAskedAt: number | undefined;
	rebootAcceptedAt: number | undefined;
};

/** A call for a pool that arrived while a write of the pool record was in flight. */
export type PoolCall = {
	readonly callId: string;
	readonly operator: string;
	readonly command: OperatorCommand;
	/** Monotonic time of arrival. */
	readonly at: number;
};

/** A write of the pool record that the store has not confirmed. */
export type PendingWrite = {
	readonly record: PoolRecord;
	readonly text: string;
	/** The calls that the write carries out, with the answer for each when it is confirmed. */
	readonly calls: ReadonlyArray<{readonly call: PoolCall; readonly body: unknown; readonly detail: string}>;
	readonly startedAt: number;
	/** A change that this write takes the place of; it may still take effect, and its calls are refused once it cannot. */
	readonly withdrawn?: Pick<PendingWrite, 'record' | 'calls'>;
	hasAnswered: boolean;
};

/** A pool that this entry owns. @public */
export type OwnedPool = {
	/** The pool record as the store last confirmed it; undefined until this owner has fenced it. */
	record: PoolRecord | undefined;
	revision: number;
	/** Whether the record carries this owner's epoch, so that a former owner's late write fails, and the instance records were read after that. */
	isFenced: boolean;
	/** Whether this owner has fenced the pool once, so that its own record is the latest. */
	hasWritten: boolean;
	pendingOperation: string | undefined;
	nextTryAt: number;
	pendingWrite: PendingWrite | undefined;
	calls: PoolCall[];
	/** Monotonic time from which no request of a former owner can run at the instances. */
	quietAt: number;
	acquiredAt: number;
	readonly observations: Map<InstanceId, InstanceObservation>;
	/** Instances that moved here under this owner and have not answered a probe yet. */
	readonly joining: Set<InstanceId>;
	/** Samples for the policy of automatic moves. */
	load: LoadHistory;
};

/** Samples of one pool's load. */
export type LoadHistory = {
	/** Requests queued or running, as a share of the pool's slots, one mean value a sample interval. */
	readonly samples: number[];
	nextSampleAt: number;
	/** Sum and count of the sample being formed. */
	sum: number;
	count: number;
	/** Monotonic time before which no further automatic move is asked for. */
	nextMoveAt: number;
};

/** State of the fleet filter. @public */
export type FleetState = {
	readonly instances: Map<InstanceId, FleetInstance>;
	/** Instances by the pool that their record names; kept by `setInstanceRecord`. */
	readonly idsByPool: Map<PoolName, Set<InstanceId>>;
	readonly owned: Map<PoolName, OwnedPool>;
	/** Store operations in flight for owned pools. */
	readonly operations: Map<string, FleetOperation>;
	/** Reads of the instance records in flight, with the monotonic time at which they were sent. */
	readonly instanceReads: Map<string, number>;
	/** Monotonic time at which the instance list last arrived. */
	listedAt: number | undefined;
	operationCount: number;
};

/** A store operation in flight. */
export type FleetOperation = {
	readonly kind: 'fence-read' | 'fence-write' | 'fence-instances' | 'record-write' | 'record-read';
	readonly pool: PoolName;
	/** Monotonic milliseconds. */
	readonly sentAt: number;
};

/** @internal */
export function createFleetState(): FleetState {
	return {
		instances: new Map(), idsByPool: new Map(), owned: new Map(), operations: new Map(), instanceReads: new Map(), listedAt: undefined, operationCount: 0,
	};
}

/** @internal */
export function createOwnedPool(): OwnedPool {
	return {
		record: undefined,
		revision: 0,
		isFenced: false,
		hasWritten: false,
		pendingOperation: undefined,
		nextTryAt: 0,
		pendingWrite: undefined,
		calls: [],
		quietAt: 0,
		acquiredAt: 0,
		observations: new Map(),
		joining: new Set(),
		load: {
			samples: [], nextSampleAt: 0, sum: 0, count: 0, nextMoveAt: 0,
		},
	};
}

/** @internal */
export function getInstance(state: EntryState, id: InstanceId): FleetInstance {
	const known = state.fleet.instances.get(id);
	if (known !== undefined) {
		return known;
	}

	const created: FleetInstance = {
		listed: undefined, wasLeaving: false, unlistedAt: undefined, record: undefined, recordRevision: 0, recordAt: 0, isRestoring: false, doubtUntil: undefined, nextWriteAt: 0,
	};
	state.fleet.instances.set(id, created);
	return created;
}

/** @internal */
export function getObservation(owned: OwnedPool, id: InstanceId): InstanceObservation {
	const known = owned.observations.get(id);
	if (known !== undefined) {
		return known;
	}

	const created: InstanceObservation = {
		askedAt: Number.NEGATIVE_INFINITY, isHealthy: undefined, healthyInRow: 0, hasBeenDown: false, rebootAskedAt: undefined, rebootAcceptedAt: undefined,
	};
	owned.observations.set(id, created);
	return created;
}

/** Forgets the reboot of an instance that serves again. @internal */
export function removeReboot(owned: OwnedPool, id: InstanceId): void {
	const evidence = getObservation(owned, id);
	evidence.rebootAskedAt = undefined;
	evidence.rebootAcceptedAt = undefined;
	evidence.hasBeenDown = false;
}

/**
Instances of a pool that may get new work: recorded in the pool, listed as live, and without a permit to be out of service.

A permit counts from the moment its write is decided on. So the owner has stopped sending before the record says so, and an unanswered write cannot leave a recorded drain with work arriving.

@public
*/
export function getServingInstances(state: EntryState, pool: PoolName): ListedInstance[] {
	const owned = state.fleet.owned.get(pool);
	if (!owned?.isFenced || owned.record === undefined) {
		return [];
	}

	const serving: ListedInstance[] = [];
	for (const [id, {listed, doubtUntil}] of listPoolInstances(state, pool)) {
		const isMember = doubtUntil === undefined && !owned.joining.has(id);
		if (isMember && listed?.state === 'live' && !hasPermit(owned, id)) {
			serving.push(listed);
		}
	}

	return serving;
}

/** Sets the record of an instance and keeps the index of the pools. @internal */
export function setInstanceRecord(state: EntryState, id: InstanceId, record: InstanceRecord | undefined): void {
	const instance = getInstance(state, id);
	const {idsByPool} = state.fleet;
	if (instance.record !== undefined) {
		idsByPool.get(instance.record.pool)?.delete(id);
	}

	instance.record = record;
	if (record === undefined) {
		return;
	}

	const ids = idsByPool.get(record.pool) ?? new Set();
	idsByPool.set(record.pool, ids.add(id));
}

/** Instances that are recorded in a pool and have not left it. @internal */
export function listPoolInstances(state: EntryState, pool: PoolName): Array<[InstanceId, FleetInstance]> {
	const members: Array<[InstanceId, FleetInstance]> = [];
	for (const id of state.fleet.idsByPool.get(pool) ?? []) {
		const instance = state.fleet.instances.get(id)!;
		if (instance.record?.hasLeft !== true) {
			members.push([id, instance]);
		}
	}

	return members;
}

/** Whether a permit for the instance is recorded, or may be by a write that the store has not answered. */
function hasPermit({record, pendingWrite}: OwnedPool, id: InstanceId): boolean {
	return [record, pendingWrite?.record, pendingWrite?.withdrawn?.record].some(item => item?.permits[id] !== undefined);
}
