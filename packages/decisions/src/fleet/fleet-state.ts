import {
	type InstanceId, type InstanceRecord, type ListedInstance, type OperatorCommand, type PoolName, type PoolRecord,
} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/** An instance as the platform's list and its record in the store describe it. */
export type FleetInstance = {
	listed: ListedInstance | undefined;
	/** Whether the instance was last listed as leaving, or was retired by an operator. */
	wasLeaving: boolean;
	/** Monotonic time at which the instance disappeared from the list. */
	unlistedAt: number | undefined;
	record: InstanceRecord | undefined;
	recordRevision: number;
	/** Monotonic time at which the record was last received from the store. */
	recordReceivedAt: number;
	/** Whether this owner writes its newer record back, because the store was restored from an older copy. */
	isRewritingRecord: boolean;
	/** Monotonic time until which the instance gets no work, because a restored store assigns it to a different pool than before. */
	quarantinedUntil: number | undefined;
	/** Monotonic time before which the record is not written again. */
	nextRecordWriteAt: number;
};

/** What this owner has observed of an instance since it took over the pool. Times are monotonic milliseconds. */
export type InstanceObservation = {
	lastProbedAt: number;
	isHealthy: boolean | undefined;
	/** Healthy probe results in a row since the permit last changed its stage. */
	consecutiveHealthyProbes: number;
	/** Whether a probe has failed since the platform accepted the reboot. */
	hasFailedSinceReboot: boolean;
	rebootRequestedAt: number | undefined;
	rebootAcceptedAt: number | undefined;
};

/** An operator call that is queued for a pool; it waits while a write of the pool record is in flight. */
export type PoolCall = {
	readonly callId: string;
	readonly operator: string;
	readonly command: OperatorCommand;
	/** Monotonic milliseconds. */
	readonly receivedAt: number;
};

/** A write of the pool record that the store has not confirmed yet. */
export type PendingWrite = {
	readonly record: PoolRecord;
	readonly recordJson: string;
	/** Operator calls that the write carries out, with the answer that each gets once the write is confirmed. */
	readonly calls: ReadonlyArray<{readonly call: PoolCall; readonly body: unknown; readonly detail: string}>;
	readonly startedAt: number;
	/** The earlier change that this write withdraws. That change may still take effect; its calls are rejected once it no longer can. */
	readonly withdrawnChange?: Pick<PendingWrite, 'record' | 'calls'>;
	/** Whether the calls were already answered as unknown, because the store took too long. */
	hasAnsweredCalls: boolean;
};

/** A pool that this entry owns. @public */
export type OwnedPool = {
	/** The record last confirmed by the store, or the one being written to fence the pool; undefined until the takeover has read it. */
	record: PoolRecord | undefined;
	revision: number;
	/** Whether the takeover is complete: the stored record carries this owner's epoch, so a former owner's late write fails, and the instance records were read after that. */
	isFenced: boolean;
	/** Whether this owner has completed a takeover before, so that its own record is newer than an older copy in the store. */
	hasBeenFenced: boolean;
	pendingOperation: string | undefined;
	nextStoreRetryAt: number;
	pendingWrite: PendingWrite | undefined;
	calls: PoolCall[];
	/** Monotonic time by which the requests of a former owner have ended at the instances. */
	formerRequestsEndAt: number;
	acquiredAt: number;
	readonly observations: Map<InstanceId, InstanceObservation>;
	/** Instances that moved into the pool under this owner and have not answered a probe yet. */
	readonly joining: Set<InstanceId>;
	/** Input of the policy for automatic moves. */
	loadHistory: LoadHistory;
};

/** Load history of one pool. */
export type LoadHistory = {
	/** Queued and running requests as a share of the pool's slots, averaged over each sample interval. */
	readonly samples: number[];
	nextSampleAt: number;
	/** Sum and number of the ticks in the current sample interval. */
	sampleSum: number;
	sampleTickCount: number;
	/** Monotonic time before which no further automatic move is requested. */
	nextMoveAt: number;
};

/** State of the fleet filter. @public */
export type FleetState = {
	readonly instances: Map<InstanceId, FleetInstance>;
	/** Index of the instances by the pool in their record; maintained by `setInstanceRecord`. */
	readonly instanceIdsByPool: Map<PoolName, Set<InstanceId>>;
	readonly owned: Map<PoolName, OwnedPool>;
	/** Store operations in flight for owned pools. */
	readonly operations: Map<string, FleetOperation>;
	/** Reads of the instance records in flight, with the monotonic time at which each was sent. */
	readonly instanceReads: Map<string, number>;
	/** Monotonic time at which the instance list was last received. */
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
		instances: new Map(), instanceIdsByPool: new Map(), owned: new Map(), operations: new Map(), instanceReads: new Map(), listedAt: undefined, operationCount: 0,
	};
}

/** @internal */
export function createOwnedPool(): OwnedPool {
	return {
		record: undefined,
		revision: 0,
		isFenced: false,
		hasBeenFenced: false,
		pendingOperation: undefined,
		nextStoreRetryAt: 0,
		pendingWrite: undefined,
		calls: [],
		formerRequestsEndAt: 0,
		acquiredAt: 0,
		observations: new Map(),
		joining: new Set(),
		loadHistory: {
			samples: [], nextSampleAt: 0, sampleSum: 0, sampleTickCount: 0, nextMoveAt: 0,
		},
	};
}

/** Returns an instance; creates one without list entry and record on first use. @internal */
export function getInstance(state: EntryState, id: InstanceId): FleetInstance {
	const known = state.fleet.instances.get(id);
	if (known !== undefined) {
		return known;
	}

	const created: FleetInstance = {
		listed: undefined,
		wasLeaving: false,
		unlistedAt: undefined,
		record: undefined,
		recordRevision: 0,
		recordReceivedAt: 0,
		isRewritingRecord: false,
		quarantinedUntil: undefined,
		nextRecordWriteAt: 0,
	};
	state.fleet.instances.set(id, created);
	return created;
}

/** Returns what the owner has observed of an instance; creates an empty observation on first use. @internal */
export function getObservation(owned: OwnedPool, id: InstanceId): InstanceObservation {
	const known = owned.observations.get(id);
	if (known !== undefined) {
		return known;
	}

	const created: InstanceObservation = {
		lastProbedAt: Number.NEGATIVE_INFINITY, isHealthy: undefined, consecutiveHealthyProbes: 0, hasFailedSinceReboot: false, rebootRequestedAt: undefined, rebootAcceptedAt: undefined,
	};
	owned.observations.set(id, created);
	return created;
}

/** Clears the reboot state of an instance that serves again. @internal */
export function clearReboot(owned: OwnedPool, id: InstanceId): void {
	const observation = getObservation(owned, id);
	observation.rebootRequestedAt = undefined;
	observation.rebootAcceptedAt = undefined;
	observation.hasFailedSinceReboot = false;
}

/**
Returns the instances of a pool that may get new work: recorded in the pool, listed as live, and without a permit to be out of service.

A permit counts as soon as its write is decided, before the store confirms it. The owner therefore stops sending before the record shows the drain, and an unanswered write cannot leave a recorded drain while work still arrives.

@public
*/
export function getServingInstances(state: EntryState, pool: PoolName): ListedInstance[] {
	const owned = state.fleet.owned.get(pool);
	if (!owned?.isFenced || owned.record === undefined) {
		return [];
	}

	const serving: ListedInstance[] = [];
	for (const [id, {listed, quarantinedUntil}] of listPoolInstances(state, pool)) {
		const isMember = quarantinedUntil === undefined && !owned.joining.has(id);
		if (isMember && listed?.state === 'live' && !mayHavePermit(owned, id)) {
			serving.push(listed);
		}
	}

	return serving;
}

/** Sets the record of an instance and updates the index by pool. @internal */
export function setInstanceRecord(state: EntryState, id: InstanceId, record: InstanceRecord | undefined): void {
	const instance = getInstance(state, id);
	const {instanceIdsByPool} = state.fleet;
	if (instance.record !== undefined) {
		instanceIdsByPool.get(instance.record.pool)?.delete(id);
	}

	instance.record = record;
	if (record === undefined) {
		return;
	}

	const ids = instanceIdsByPool.get(record.pool) ?? new Set();
	instanceIdsByPool.set(record.pool, ids.add(id));
}

/** Lists the instances that are recorded in a pool and have not left the fleet. @internal */
export function listPoolInstances(state: EntryState, pool: PoolName): Array<[InstanceId, FleetInstance]> {
	const members: Array<[InstanceId, FleetInstance]> = [];
	for (const id of state.fleet.instanceIdsByPool.get(pool) ?? []) {
		const instance = state.fleet.instances.get(id)!;
		if (instance.record?.hasLeft !== true) {
			members.push([id, instance]);
		}
	}

	return members;
}

/** Whether a permit for the instance is recorded, or may have been recorded by a write that the store has not answered. */
function mayHavePermit({record, pendingWrite}: OwnedPool, id: InstanceId): boolean {
	return [record, pendingWrite?.record, pendingWrite?.withdrawnChange?.record].some(item => item?.permits[id] !== undefined);
}
