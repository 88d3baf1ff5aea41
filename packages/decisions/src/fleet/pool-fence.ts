import {
	poolRecordSchema, storeKeys, type EventOf, type PoolName, type PoolRecord,
} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {registerOperation} from './pool-write.js';
import {createOwnedPool} from './fleet-state.js';
import {updateInstanceRecords, updateRecords} from './instance-record.js';

const retryPauseMs = 500;

type StoreAnswer = EventOf<'store-answered'>;

/**
Begins to take a pool over: read the record, write this owner's epoch into it, read the instance records.

The instance records are read last. A former owner can then no longer change a permit, so an instance that it was moving away shows either its permit or its new pool.

@internal
*/
export function acquirePool(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = createOwnedPool();
	owned.acquiredAt = context.now;
	owned.quietAt = context.now + computeQuietMs(state, pool);
	state.fleet.owned.set(pool, owned);
	return readFence(state, pool, context);
}

/**
Time after which requests that a former owner sent have ended: the largest deadline of the pool's services.

A request whose caller asked for a longer deadline than its service declares is not covered.
*/
function computeQuietMs(state: EntryState, pool: PoolName): number {
	const deadlines = Object.values(state.bundle.current?.services ?? {})
		.filter(service => service.pool === pool)
		.map(service => service.defaultDeadlineMs);
	return Math.max(state.config.timings.defaultDeadlineMs, ...deadlines);
}

/** Tries again after a pause when the store did not answer. @internal */
export function retryFence(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	return owned.pendingOperation === undefined && context.now >= owned.nextTryAt ? readFence(state, pool, context) : [];
}

function readFence(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	return [emitEffect({
		kind: 'read-store',
		operationId: registerOperation(state, state.fleet.owned.get(pool)!, {kind: 'fence-read', pool}, context),
		key: `${storeKeys.poolsPrefix}${pool}`,
		isPrefix: false,
	})];
}

/** @internal */
export function writeFence(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	owned.nextTryAt = context.now + retryPauseMs;
	if (answer.result !== 'applied') {
		return [];
	}

	const [entry] = answer.entries;
	const former = entry === undefined ? undefined : poolRecordSchema.safeParse(parseJson(entry.value));
	// A record that cannot be read may hold permits; overwriting it could exceed the budget.
	if (former?.success === false) {
		return [emitEffect({
			kind: 'log', level: 'error', message: 'pool record cannot be read', fields: {pool},
		})];
	}

	const {epoch} = state.membership.record!;
	if (former !== undefined && former.data.ownerEpoch > epoch) {
		return [];
	}

	// This owner has written a later record, so the store was restored from an older copy; its permits may have been given back since.
	const known = owned.hasWritten ? owned.record : former?.data;
	const record: PoolRecord = {
		permits: {},
		maintained: {},
		...known,
		ownerEpoch: epoch,
		owner: state.config.id,
	};
	owned.record = record;
	return [emitEffect({
		kind: 'write-store',
		operationId: registerOperation(state, owned, {kind: 'fence-write', pool}, context),
		key: `${storeKeys.poolsPrefix}${pool}`,
		value: JSON.stringify(record),
		condition: entry === undefined ? {kind: 'absent'} : {kind: 'unchanged', revision: entry.revision},
		isLeased: false,
	})];
}

/** @internal */
export function finishFence(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	owned.nextTryAt = context.now + retryPauseMs;
	const revision = answer.entries[0]?.revision;
	// A write without an answer is settled by reading and fencing again.
	if (answer.result !== 'applied' || revision === undefined) {
		return [];
	}

	owned.revision = revision;
	return [emitEffect({
		kind: 'read-store', operationId: registerOperation(state, owned, {kind: 'fence-instances', pool}, context), key: storeKeys.instancesPrefix, isPrefix: true,
	})];
}

/** @internal */
export function openPool(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext, sentAt: number): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	owned.nextTryAt = context.now + retryPauseMs;
	if (answer.result !== 'applied') {
		return [];
	}

	updateInstanceRecords(state, answer.entries, sentAt, context);
	owned.isFenced = true;
	owned.hasWritten = true;
	const log = emitEffect({
		kind: 'log', level: 'info', message: 'pool taken over', fields: {pool, epoch: owned.record!.ownerEpoch, permits: Object.keys(owned.record!.permits).length},
	});
	return [log, ...updateRecords(state, context)];
}
