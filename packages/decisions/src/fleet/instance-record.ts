import {
	instanceRecordSchema, storeKeys, type InstanceId, type InstanceRecord, type ListedInstance, type PoolName, type KeyValue,
} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {getInstance, setInstanceRecord, type FleetInstance} from './fleet-state.js';

const writeRetryDelayMs = 1000;
/** Time after which an unlisted leaving instance counts as gone. A restarted instance can be missing from the list for minutes and must count as out of service during that time. */
const departureDelayMs = 300_000;

/** Time for which an instance gets no work, so that its owner can write its newer record back to a restored store. */
const quarantineMs = 10_000;

/** Applies an instance record from the store. Watches can deliver late, so a revision that is not newer is ignored; it must not undo a move. @internal */
export function applyInstanceRecord(state: EntryState, entry: {readonly key: string; readonly value?: string; readonly revision: number}, context: DecisionContext): void {
	if (!entry.key.startsWith(storeKeys.instancesPrefix) || entry.value === undefined) {
		return;
	}

	const id = entry.key.slice(storeKeys.instancesPrefix.length);
	const record = instanceRecordSchema.safeParse(parseJson(entry.value));
	const instance = getInstance(state, id);
	if (!record.success || entry.revision <= instance.recordRevision) {
		return;
	}

	instance.recordReceivedAt = context.now;
	instance.isRewritingRecord = false;
	instance.quarantinedUntil = undefined;
	const hasJoined = instance.record !== undefined && (instance.record.pool !== record.data.pool || instance.record.hasLeft === true);
	setInstanceRecord(state, id, record.data);
	instance.recordRevision = entry.revision;
	if (hasJoined) {
		handlePoolChange(state, id, record.data.pool);
	}
}

/** Discards what the owners here have observed of an instance whose pool has changed. */
function handlePoolChange(state: EntryState, id: InstanceId, recordedPool: PoolName | undefined): void {
	for (const [pool, owned] of state.fleet.owned) {
		owned.observations.delete(id);
		owned.joining.delete(id);
		if (pool === recordedPool) {
			// The instance gets work only after it has answered a probe of this owner.
			owned.joining.add(id);
		}
	}
}

/**
Applies a read of all instance records.

A stored record that is older than the one known before the read was sent shows that the store was restored from an older copy. The owner according to the newer record writes it back. Until then the instance gets no work, so that the owners according to the two records do not both send to it.

@internal
*/
export function applyInstanceRecords(state: EntryState, entries: readonly KeyValue[], sentAt: number, context: DecisionContext): void {
	const entryByKey = new Map(entries.map(entry => [entry.key, entry]));
	for (const [id, instance] of state.fleet.instances) {
		const entry = entryByKey.get(`${storeKeys.instancesPrefix}${id}`);
		const storedRevision = entry?.revision ?? 0;
		if (instance.record !== undefined && instance.recordReceivedAt < sentAt && storedRevision < instance.recordRevision) {
			handleOlderRecord(state, id, entry, context);
		}
	}

	for (const entry of entries) {
		applyInstanceRecord(state, entry, context);
	}
}

/** Handles a stored record that is older than the known one. Unless both assign the instance to the same pool, the instance is quarantined: the owner according to the known record writes it back, all other entries adopt the stored one. */
function handleOlderRecord(state: EntryState, id: InstanceId, entry: KeyValue | undefined, context: DecisionContext): void {
	const instance = getInstance(state, id);
	const stored = entry === undefined ? undefined : instanceRecordSchema.safeParse(parseJson(entry.value)).data;
	instance.recordRevision = entry?.revision ?? 0;
	instance.recordReceivedAt = context.now;
	if (stored !== undefined && stored.pool === instance.record?.pool && stored.hasLeft === instance.record.hasLeft) {
		return;
	}

	instance.quarantinedUntil = context.now + quarantineMs;
	instance.isRewritingRecord = state.fleet.owned.get(instance.record!.pool)?.isFenced === true;
	if (!instance.isRewritingRecord) {
		setInstanceRecord(state, id, stored);
		handlePoolChange(state, id, stored?.pool);
	}
}

/** Applies the platform's instance list. @internal */
export function applyInstanceList(state: EntryState, listed: readonly ListedInstance[], context: DecisionContext): void {
	const listedIds = new Set(listed.map(instance => instance.id));
	for (const [id, instance] of state.fleet.instances) {
		if (!listedIds.has(id)) {
			instance.listed = undefined;
			instance.unlistedAt ??= context.now;
		}
	}

	for (const item of listed) {
		const instance = getInstance(state, item.id);
		instance.listed = item;
		instance.unlistedAt = undefined;
		instance.wasLeaving = item.state === 'leaving';
	}

	state.fleet.listedAt = context.now;
}

/**
Updates the records of owned instances from the list: creates the record of a new instance, marks an instance that has left, and restores one that is listed again.

@internal
*/
export function updateOwnedRecords(state: EntryState, context: DecisionContext): Output[] {
	if (!state.membership.isStoreReached) {
		return [];
	}

	const outputs: Output[] = [];
	for (const [id, instance] of state.fleet.instances) {
		if (instance.quarantinedUntil !== undefined && !instance.isRewritingRecord && context.now >= instance.quarantinedUntil) {
			instance.quarantinedUntil = undefined;
		}

		const pool = instance.record?.pool ?? instance.listed?.pool ?? '';
		const owned = state.fleet.owned.get(pool);
		const stage = owned?.record?.permits[id]?.stage;
		if (owned?.isFenced !== true || stage === 'rebooting' || stage === 'returning' || context.now < instance.nextRecordWriteAt) {
			continue;
		}

		const change = findRecordChange(instance, context);
		if (change === undefined) {
			continue;
		}

		instance.nextRecordWriteAt = context.now + writeRetryDelayMs;
		outputs.push(writeInstanceRecord(state, id, change));
	}

	return outputs.length === 0 ? [] : [...outputs, readInstanceRecords(state, context)];
}

function findRecordChange({
	listed, wasLeaving, unlistedAt, record, isRewritingRecord, quarantinedUntil,
}: FleetInstance, context: DecisionContext): InstanceRecord | undefined {
	if (quarantinedUntil !== undefined) {
		return isRewritingRecord ? record : undefined;
	}

	if (record === undefined) {
		return listed === undefined ? undefined : {pool: listed.pool, moves: 0};
	}

	if (record.hasLeft === true) {
		return listed?.state === 'live' ? {...record, hasLeft: undefined} : undefined;
	}

	const hasLeft = listed === undefined && wasLeaving && unlistedAt !== undefined && context.now - unlistedAt >= departureDelayMs;
	return hasLeft ? {...record, hasLeft: true} : undefined;
}

/** Writes an instance record on the condition that the stored one has not changed since it was last read. @internal */
export function writeInstanceRecord(state: EntryState, id: InstanceId, record: InstanceRecord): Output {
	const {recordRevision} = getInstance(state, id);
	return emitEffect({
		kind: 'write-store',
		operationId: `fleet:instance:${id}`,
		key: `${storeKeys.instancesPrefix}${id}`,
		value: JSON.stringify(record),
		condition: recordRevision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision: recordRevision},
		isLeased: false,
	});
}

/** Reads all instance records. Used after each write of one, since the answer to the write may be lost. @internal */
export function readInstanceRecords(state: EntryState, context: DecisionContext): Output {
	state.fleet.operationCount += 1;
	const operationId = `fleet:instances:${state.fleet.operationCount}`;
	state.fleet.instanceReads.set(operationId, context.now);
	return emitEffect({
		kind: 'read-store', operationId, key: storeKeys.instancesPrefix, isPrefix: true,
	});
}
