import {
	instanceRecordSchema, poolRecordSchema, storeKeys, type InstanceId, type PoolName, type PoolRecord, type StoreEntry, type StoreResult,
} from '@pistachiogauge/model';
import {emitEffect, type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {type FleetInstance} from './fleet-state.js';

const instancesOperation = 'fleet:instances';
const fenceReadPrefix = 'fleet:fence-read:';
const fenceWritePrefix = 'fleet:fence-write:';
const retryPauseMs = 500;

/**
Keeps the pools that this entry owns: their record in the store, their instances and who of them may get work.

@public
*/
export const fleetFilter: Filter = {
	name: 'fleet',
	handlers: {
		'store-reached': () => [emitEffect({
			kind: 'read-store', operationId: instancesOperation, key: storeKeys.instancesPrefix, isPrefix: true,
		})],
		'instances-listed'(state, event) {
			const listedIds = new Set(event.instances.map(instance => instance.id));
			for (const [id, instance] of state.fleet.instances) {
				if (!listedIds.has(id)) {
					instance.listed = undefined;
				}
			}

			for (const listed of event.instances) {
				getInstance(state, listed.id).listed = listed;
			}

			return admitNewInstances(state);
		},
		'store-changed'(state, event) {
			updateInstanceRecord(state, event);
			return [];
		},
		'store-answered'(state, event, context) {
			if (event.operationId === instancesOperation && event.result === 'applied') {
				for (const entry of event.entries) {
					updateInstanceRecord(state, entry);
				}

				return admitNewInstances(state);
			}

			if (event.operationId.startsWith(fenceReadPrefix)) {
				return writeFence(state, event.operationId.slice(fenceReadPrefix.length), event, context);
			}

			return event.operationId.startsWith(fenceWritePrefix)
				? finishFence(state, event.operationId.slice(fenceWritePrefix.length), event, context)
				: [];
		},
		'pool-acquired'(state, event) {
			state.fleet.owned.set(event.pool, {
				record: undefined, revision: 0, isFenced: false, pendingOperation: undefined, nextTryAt: 0,
			});
			return [...readFence(state, event.pool), ...admitNewInstances(state)];
		},
		'pool-lost'(state, event) {
			state.fleet.owned.delete(event.pool);
			return [];
		},
		tick(state, _event, context) {
			const outputs: Output[] = [];
			for (const [pool, owned] of state.fleet.owned) {
				if (!owned.isFenced && owned.pendingOperation === undefined && context.now >= owned.nextTryAt) {
					outputs.push(...readFence(state, pool));
				}
			}

			return outputs;
		},
	},
};

type StoreAnswer = {
	readonly result: StoreResult;
	readonly entries: readonly StoreEntry[];
};

function getInstance(state: EntryState, id: InstanceId): FleetInstance {
	const known = state.fleet.instances.get(id);
	if (known !== undefined) {
		return known;
	}

	const created: FleetInstance = {listed: undefined, record: undefined, recordRevision: 0};
	state.fleet.instances.set(id, created);
	return created;
}

function updateInstanceRecord(state: EntryState, entry: {readonly key: string; readonly value?: string; readonly revision: number}): void {
	if (!entry.key.startsWith(storeKeys.instancesPrefix) || entry.value === undefined) {
		return;
	}

	const record = instanceRecordSchema.safeParse(parseJson(entry.value));
	const instance = getInstance(state, entry.key.slice(storeKeys.instancesPrefix.length));
	// Watches can deliver late; an older revision must not undo a move.
	if (record.success && entry.revision > instance.recordRevision) {
		instance.record = record.data;
		instance.recordRevision = entry.revision;
	}
}

/** Writes the first record of instances that were delivered for a pool of this owner. Only the first writer succeeds. */
function admitNewInstances(state: EntryState): Output[] {
	const outputs: Output[] = [];
	for (const [id, {listed, record}] of state.fleet.instances) {
		if (listed === undefined || record !== undefined || !state.fleet.owned.has(listed.pool)) {
			continue;
		}

		outputs.push(
			emitEffect({
				kind: 'write-store', operationId: `fleet:admit:${id}`, key: `${storeKeys.instancesPrefix}${id}`, value: JSON.stringify({pool: listed.pool, moves: 0}), condition: {kind: 'absent'}, isLeased: false,
			}),
			emitEffect({
				kind: 'read-store', operationId: instancesOperation, key: storeKeys.instancesPrefix, isPrefix: true,
			}),
		);
	}

	return outputs;
}

function readFence(state: EntryState, pool: PoolName): Output[] {
	const operationId = `${fenceReadPrefix}${pool}`;
	state.fleet.owned.get(pool)!.pendingOperation = operationId;
	return [emitEffect({
		kind: 'read-store', operationId, key: `${storeKeys.poolsPrefix}${pool}`, isPrefix: false,
	})];
}

function writeFence(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool);
	if (owned === undefined || owned.isFenced) {
		return [];
	}

	owned.pendingOperation = undefined;
	owned.nextTryAt = context.now + retryPauseMs;
	if (answer.result !== 'applied') {
		return [];
	}

	const [entry] = answer.entries;
	const former = entry === undefined ? undefined : poolRecordSchema.safeParse(parseJson(entry.value)).data;
	const record: PoolRecord = {
		permits: {},
		maintained: {},
		...former,
		ownerEpoch: state.membership.record!.epoch,
		owner: state.config.id,
	};
	owned.record = record;
	owned.pendingOperation = `${fenceWritePrefix}${pool}`;
	return [emitEffect({
		kind: 'write-store',
		operationId: owned.pendingOperation,
		key: `${storeKeys.poolsPrefix}${pool}`,
		value: JSON.stringify(record),
		condition: entry === undefined ? {kind: 'absent'} : {kind: 'unchanged', revision: entry.revision},
		isLeased: false,
	})];
}

function finishFence(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool);
	if (owned === undefined || owned.isFenced) {
		return [];
	}

	owned.pendingOperation = undefined;
	owned.nextTryAt = context.now + retryPauseMs;
	if (answer.result !== 'applied') {
		return [];
	}

	owned.isFenced = true;
	owned.revision = answer.entries[0]?.revision ?? 0;
	return [emitEffect({
		kind: 'log', level: 'info', message: 'pool taken over', fields: {pool, epoch: owned.record!.ownerEpoch},
	})];
}
