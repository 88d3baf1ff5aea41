import {
	instanceRecordSchema, storeKeys, type InstanceId, type InstanceRecord, type ListedInstance, type PoolName, type StoreEntry,
} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {getInstance, setInstanceRecord, type FleetInstance} from './fleet-state.js';

const writePauseMs = 1000;
/** A restarted instance can be missing from the list for minutes; it must count as out of service during that time. */
const leftAfterMs = 300_000;

/** Time in which the owner of an instance can write its record back to a restored store. */
const doubtMs = 10_000;

/** Takes over a record of the store. Watches can deliver late; an older revision must not undo a move. @internal */
export function updateInstanceRecord(state: EntryState, entry: {readonly key: string; readonly value?: string; readonly revision: number}, context: DecisionContext): void {
	if (!entry.key.startsWith(storeKeys.instancesPrefix) || entry.value === undefined) {
		return;
	}

	const id = entry.key.slice(storeKeys.instancesPrefix.length);
	const record = instanceRecordSchema.safeParse(parseJson(entry.value));
	const instance = getInstance(state, id);
	if (!record.success || entry.revision <= instance.recordRevision) {
		return;
	}

	instance.recordAt = context.now;
	instance.isRestoring = false;
	instance.doubtUntil = undefined;
	const hasJoined = instance.record !== undefined && (instance.record.pool !== record.data.pool || instance.record.hasLeft === true);
	setInstanceRecord(state, id, record.data);
	instance.recordRevision = entry.revision;
	if (hasJoined) {
		setMembership(state, id, record.data.pool);
	}
}

function setMembership(state: EntryState, id: InstanceId, recordedPool: PoolName | undefined): void {
	for (const [pool, owned] of state.fleet.owned) {
		owned.observations.delete(id);
		owned.joining.delete(id);
		if (pool === recordedPool) {
			// It gets work only after it has answered a probe of this owner.
			owned.joining.add(id);
		}
	}
}

/**
Takes over a reading of all records.

A record older than one that was known before the reading was sent shows that the store was restored from an older copy. The owner by the newer record writes it back. Until then the instance gets no work, so that the owners by the two records do not both send to it.

@internal
*/
export function updateInstanceRecords(state: EntryState, entries: readonly StoreEntry[], sentAt: number, context: DecisionContext): void {
	const entryByKey = new Map(entries.map(entry => [entry.key, entry]));
	for (const [id, instance] of state.fleet.instances) {
		const entry = entryByKey.get(`${storeKeys.instancesPrefix}${id}`);
		const storedRevision = entry?.revision ?? 0;
		if (instance.record !== undefined && instance.recordAt < sentAt && storedRevision < instance.recordRevision) {
			setRestored(state, id, entry, context);
		}
	}

	for (const entry of entries) {
		updateInstanceRecord(state, entry, context);
	}
}

function setRestored(state: EntryState, id: InstanceId, entry: StoreEntry | undefined, context: DecisionContext): void {
	const instance = getInstance(state, id);
	const stored = entry === undefined ? undefined : instanceRecordSchema.safeParse(parseJson(entry.value)).data;
	instance.recordRevision = entry?.revision ?? 0;
	instance.recordAt = context.now;
	if (stored !== undefined && stored.pool === instance.record?.pool && stored.hasLeft === instance.record.hasLeft) {
		return;
	}

	instance.doubtUntil = context.now + doubtMs;
	instance.isRestoring = state.fleet.owned.get(instance.record!.pool)?.isFenced === true;
	if (!instance.isRestoring) {
		setInstanceRecord(state, id, stored);
		setMembership(state, id, stored?.pool);
	}
}

/** Takes over the platform's list. @internal */
export function updateList(state: EntryState, listed: readonly ListedInstance[], context: DecisionContext): void {
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
Keeps the records of owned instances in step with the list: the first record of a delivered instance, the end of one that left, the return of one that is listed again.

@internal
*/
export function updateRecords(state: EntryState, context: DecisionContext): Output[] {
	if (!state.membership.isStoreReached) {
		return [];
	}

	const outputs: Output[] = [];
	for (const [id, instance] of state.fleet.instances) {
		if (instance.doubtUntil !== undefined && !instance.isRestoring && context.now >= instance.doubtUntil) {
			instance.doubtUntil = undefined;
		}

		const pool = instance.record?.pool ?? instance.listed?.pool ?? '';
		const owned = state.fleet.owned.get(pool);
		const stage = owned?.record?.permits[id]?.stage;
		if (owned?.isFenced !== true || stage === 'rebooting' || stage === 'returning' || context.now < instance.nextWriteAt) {
			continue;
		}

		const change = findChange(instance, context);
		if (change === undefined) {
			continue;
		}

		instance.nextWriteAt = context.now + writePauseMs;
		outputs.push(writeInstanceRecord(state, id, change));
	}

	return outputs.length === 0 ? [] : [...outputs, readInstanceRecords(state, context)];
}

function findChange({
	listed, wasLeaving, unlistedAt, record, isRestoring, doubtUntil,
}: FleetInstance, context: DecisionContext): InstanceRecord | undefined {
	if (doubtUntil !== undefined) {
		return isRestoring ? record : undefined;
	}

	if (record === undefined) {
		return listed === undefined ? undefined : {pool: listed.pool, moves: 0};
	}

	if (record.hasLeft === true) {
		return listed?.state === 'live' ? {...record, hasLeft: undefined} : undefined;
	}

	const hasLeft = listed === undefined && wasLeaving && unlistedAt !== undefined && context.now - unlistedAt >= leftAfterMs;
	return hasLeft ? {...record, hasLeft: true} : undefined;
}

/** Writes an instance record on the condition that it is as last seen. @internal */
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

/** The answer to a write of an instance record may be lost; reading it decides. @internal */
export function readInstanceRecords(state: EntryState, context: DecisionContext): Output {
	state.fleet.operationCount += 1;
	const operationId = `fleet:instances:${state.fleet.operationCount}`;
	state.fleet.instanceReads.set(operationId, context.now);
	return emitEffect({
		kind: 'read-store', operationId, key: storeKeys.instancesPrefix, isPrefix: true,
	});
}
