import {
	poolRecordSchema, storeKeys, type EventOf, type PoolName, type PoolRecord,
} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {registerOperation} from './pool-write.js';
import {createOwnedPool} from './fleet-state.js';
import {applyInstanceRecords, updateOwnedRecords} from './instance-record.js';

const retryDelayMs = 500;

type StoreAnswer = EventOf<'store-answered'>;

/**
Starts the takeover of a pool: read the pool record, write this owner's epoch into it as the fence, then read the instance records.

The instance records are read last, when a former owner can no longer change a permit. An instance that it was moving away then shows either its permit or its new pool.

@internal
*/
export function startTakeover(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = createOwnedPool();
	owned.acquiredAt = context.now;
	owned.formerRequestsEndAt = context.now + computeMaxDeadlineMs(state, pool);
	state.fleet.owned.set(pool, owned);
	return readRecordToFence(state, pool, context);
}

/**
Computes the time after which the requests that a former owner sent have ended: the largest default deadline of the pool's services.

A request whose caller asked for a longer deadline than the default of its service is not covered.
*/
function computeMaxDeadlineMs(state: EntryState, pool: PoolName): number {
	const deadlines = Object.values(state.bundle.current?.services ?? {})
		.filter(service => service.pool === pool)
		.map(service => service.defaultDeadlineMs);
	return Math.max(state.config.timings.defaultDeadlineMs, ...deadlines);
}

/** Restarts the takeover after a delay when an earlier attempt failed. @internal */
export function retryTakeover(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	return owned.pendingOperation === undefined && context.now >= owned.nextStoreRetryAt ? readRecordToFence(state, pool, context) : [];
}

function readRecordToFence(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	return [emitEffect({
		kind: 'read-store',
		operationId: registerOperation(state, state.fleet.owned.get(pool)!, {kind: 'fence-read', pool}, context),
		key: `${storeKeys.poolsPrefix}${pool}`,
		isPrefix: false,
	})];
}

/** Handles the answer to the read of the pool record: writes this owner's epoch into it. @internal */
export function writeFence(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	owned.nextStoreRetryAt = context.now + retryDelayMs;
	if (answer.result !== 'applied') {
		return [];
	}

	const [entry] = answer.entries;
	const former = entry === undefined ? undefined : poolRecordSchema.safeParse(parseJson(entry.value));
	// A record that cannot be parsed may hold permits; overwriting it could exceed the budget.
	if (former?.success === false) {
		return [emitEffect({
			kind: 'log', level: 'error', message: 'pool record cannot be parsed; pool not taken over', fields: {pool},
		})];
	}

	const {epoch} = state.membership.record!;
	if (former !== undefined && former.data.ownerEpoch > epoch) {
		return [];
	}

	// An owner that has fenced the pool before holds the newer record: the store was restored from an older copy, whose permits may have been released since.
	const known = owned.hasBeenFenced ? owned.record : former?.data;
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

/** Handles the answer to the fencing write: reads the instance records. @internal */
export function handleFenceAnswer(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	owned.nextStoreRetryAt = context.now + retryDelayMs;
	const revision = answer.entries[0]?.revision;
	// A write with a lost answer is resolved by reading the record and fencing again.
	if (answer.result !== 'applied' || revision === undefined) {
		return [];
	}

	owned.revision = revision;
	return [emitEffect({
		kind: 'read-store', operationId: registerOperation(state, owned, {kind: 'fence-instances', pool}, context), key: storeKeys.instancesPrefix, isPrefix: true,
	})];
}

/** Handles the answer to the read of the instance records: from here on the pool's instances may get work. @internal */
export function finishTakeover(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext, sentAt: number): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	owned.nextStoreRetryAt = context.now + retryDelayMs;
	if (answer.result !== 'applied') {
		return [];
	}

	applyInstanceRecords(state, answer.entries, sentAt, context);
	owned.isFenced = true;
	owned.hasBeenFenced = true;
	const log = emitEffect({
		kind: 'log', level: 'info', message: 'pool taken over', fields: {pool, epoch: owned.record!.ownerEpoch, permits: Object.keys(owned.record!.permits).length},
	});
	return [log, ...updateOwnedRecords(state, context)];
}
