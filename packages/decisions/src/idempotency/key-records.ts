import {createHash} from 'node:crypto';
import {
	type PoolName, type RequestResult, type ServiceRequest,
} from '@pistachiogauge/model';
import {restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createUnknownResult} from '../results.js';
import {
	type IdempotencyState, type KeyRecord, type KeyStage, type KeyWaiter, type PoolKeys,
} from './idempotency-state.js';
import {getKeyTime} from './key-time.js';

/** Keys expire in groups of one minute of issue time. */
const minuteMs = 60_000;
/** Above this number of keys in a pool the oldest are dropped and the coverage begins later. */
const maxKeysPerPool = 200_000;
/** Above this size of all kept result bodies the oldest results are replaced by `unknown`. */
const maxKeptResultBytes = 64 * 1024 * 1024;
const expiryIntervalMs = 10_000;

/** Returns the keys of a pool; an empty set is created on first use. @internal */
export function getPoolKeys(state: EntryState, pool: PoolName): PoolKeys {
	const known = state.idempotency.pools.get(pool);
	if (known !== undefined) {
		return known;
	}

	const created: PoolKeys = {
		coverageSince: undefined,
		keys: new Map(),
		keysByMinute: new Map(),
		role: 'none',
		replicationPeer: undefined,
		hasFullCopy: false,
		handoverUntil: undefined,
		waitingForHandover: [],
		incomingTransfer: undefined,
	};
	state.idempotency.pools.set(pool, created);
	return created;
}

/** Adds a key to a pool and to the index by which keys expire. Returns its new record. @internal */
export function addKey(state: EntryState, pool: PoolName, fields: Pick<KeyRecord, 'key' | 'fingerprint' | 'reservation'>, stage: KeyStage): KeyRecord {
	const record: KeyRecord = {
		pool, ...fields, stage, request: undefined, waiters: [], result: undefined, runningEntryId: undefined, reservationSentAt: 0, reservationDeadlineAt: 0,
	};
	const poolKeys = getPoolKeys(state, pool);
	poolKeys.keys.set(record.key, record);
	const minute = Math.floor((getKeyTime(record.key) ?? 0) / minuteMs);
	const minuteKeys = poolKeys.keysByMinute.get(minute) ?? new Set();
	poolKeys.keysByMinute.set(minute, minuteKeys.add(record.key));
	return record;
}

/** Drops a key and its result. Requests that wait for it get no answer from here. @internal */
export function removeKey(state: EntryState, record: KeyRecord): void {
	const {idempotency} = state;
	const poolKeys = getPoolKeys(state, record.pool);
	if (poolKeys.keys.get(record.key) === record) {
		poolKeys.keys.delete(record.key);
		poolKeys.keysByMinute.get(Math.floor((getKeyTime(record.key) ?? 0) / minuteMs))?.delete(record.key);
	}

	for (const {requestId} of record.waiters) {
		idempotency.recordsByRequest.delete(requestId);
	}

	idempotency.awaitingPeer.delete(record);
	dropResult(idempotency, record);
}

/** Stores the result of a key and sends it to all requests that wait for it. @internal */
export function settleRecord(state: EntryState, record: KeyRecord, result: RequestResult): Output[] {
	const {idempotency} = state;
	record.stage = 'settled';
	record.request = undefined;
	record.runningEntryId = undefined;
	idempotency.awaitingPeer.delete(record);
	dropResult(idempotency, record);
	record.result = result;
	idempotency.keptResults.add(record);
	idempotency.keptResultBytes += result.body.byteLength;
	dropOldestResults(idempotency);
	return answerWaiters(state, record, result);
}

/** Sends a result to all requests that wait for a key. @internal */
export function answerWaiters(state: EntryState, record: KeyRecord, result: RequestResult): Output[] {
	const waiters = record.waiters.splice(0);
	for (const {requestId} of waiters) {
		state.idempotency.recordsByRequest.delete(requestId);
	}

	return waiters.map(waiter => createResultEvent(waiter, result));
}

/** Creates the event that delivers a result to the receiver of a request. @internal */
export function createResultEvent({receiver, requestId}: Pick<KeyWaiter, 'receiver' | 'requestId'>, result: RequestResult): Output {
	return restartEvent({
		kind: 'result-ready', receiver, requestId, result,
	});
}

/** Whether a transfer of the pool's keys to another entry is in progress; it needs the keys even after this entry's role has ended. @internal */
export function hasOutgoingTransfer(state: EntryState, pool: PoolName): boolean {
	for (const transfer of state.idempotency.transfers) {
		if (transfer.pool === pool) {
			return true;
		}
	}

	return false;
}

/** Drops the keys of a pool for which this entry is neither owner nor standby, except those of requests that still run here. @internal */
export function dropUnusedKeys(state: EntryState, pool: PoolName): void {
	const poolKeys = getPoolKeys(state, pool);
	if (poolKeys.role !== 'none' || hasOutgoingTransfer(state, pool)) {
		return;
	}

	for (const record of poolKeys.keys.values()) {
		if (record.request === undefined && record.waiters.length === 0) {
			removeKey(state, record);
		}
	}
}

/**
Drops keys past the retention time, whose repeats are refused by their issue time, and the oldest keys of a pool that has too many.

@internal
*/
export function expireKeys(state: EntryState, context: DecisionContext): void {
	const {idempotency, config} = state;
	if (context.now < idempotency.nextExpiryAt) {
		return;
	}

	idempotency.nextExpiryAt = context.now + expiryIntervalMs;
	const {keyRetentionMs, clockSkewMs} = config.timings;
	// The clock skew as a margin ensures that an entry whose clock is behind also refuses a repeat by its issue time.
	const lastExpiredMinute = Math.floor((idempotency.latestWallTime - keyRetentionMs - clockSkewMs) / minuteMs) - 1;
	for (const [pool, poolKeys] of idempotency.pools) {
		dropUnusedKeys(state, pool);
		for (const minute of [...poolKeys.keysByMinute.keys()].sort((left, right) => left - right)) {
			if (minute > lastExpiredMinute && poolKeys.keys.size <= maxKeysPerPool) {
				break;
			}

			dropKeysOfMinute(state, poolKeys, minute);
			if (minute > lastExpiredMinute && poolKeys.coverageSince !== undefined) {
				poolKeys.coverageSince = Math.max(poolKeys.coverageSince, (minute + 1) * minuteMs);
			}
		}
	}
}

function dropKeysOfMinute(state: EntryState, poolKeys: PoolKeys, minute: number): void {
	for (const key of poolKeys.keysByMinute.get(minute) ?? []) {
		const record = poolKeys.keys.get(key);
		if (record !== undefined && record.request === undefined && record.waiters.length === 0) {
			removeKey(state, record);
		}
	}

	if (poolKeys.keysByMinute.get(minute)?.size === 0) {
		poolKeys.keysByMinute.delete(minute);
	}
}

function dropResult(idempotency: IdempotencyState, record: KeyRecord): void {
	if (idempotency.keptResults.delete(record)) {
		idempotency.keptResultBytes -= record.result?.body.byteLength ?? 0;
	}
}

function dropOldestResults(idempotency: IdempotencyState): void {
	for (const record of idempotency.keptResults) {
		if (idempotency.keptResultBytes <= maxKeptResultBytes) {
			return;
		}

		dropResult(idempotency, record);
		record.result = createUnknownResult('key-expired');
	}
}

/** Computes the digest that distinguishes a repeat from a different request with the same key. @internal */
export function computeFingerprint(request: ServiceRequest): string {
	return createHash('sha256').update(`${request.service}\n${request.method}\n${request.path}\n`).update(request.body).digest('hex');
}
