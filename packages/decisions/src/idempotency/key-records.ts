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

/** Width of the groups in which keys expire. */
const bucketMs = 60_000;
/** Keys of one pool; past it the oldest are forgotten and the coverage begins later. */
const maxKeysPerPool = 200_000;
/** Bytes of kept result bodies; past it the oldest results become `unknown`. */
const maxResultBytes = 64 * 1024 * 1024;
const expiryPauseMs = 10_000;

/** Keys of a pool, created on first use. @internal */
export function getPoolKeys(state: EntryState, pool: PoolName): PoolKeys {
	const known = state.idempotency.pools.get(pool);
	if (known !== undefined) {
		return known;
	}

	const created: PoolKeys = {
		coverageSince: undefined,
		keys: new Map(),
		buckets: new Map(),
		role: 'none',
		partner: undefined,
		isCopied: false,
		handoverUntil: undefined,
		parked: [],
		incoming: undefined,
	};
	state.idempotency.pools.set(pool, created);
	return created;
}

/** Adds a key to a pool. @internal */
export function addKey(state: EntryState, pool: PoolName, fields: Pick<KeyRecord, 'key' | 'fingerprint' | 'reservation'>, stage: KeyStage): KeyRecord {
	const record: KeyRecord = {
		pool, ...fields, stage, request: undefined, waiters: [], result: undefined, runsAt: undefined, reserveSentAt: 0, refuseAt: 0,
	};
	const pooled = getPoolKeys(state, pool);
	pooled.keys.set(record.key, record);
	const bucket = Math.floor((getKeyTime(record.key) ?? 0) / bucketMs);
	const members = pooled.buckets.get(bucket) ?? new Set();
	pooled.buckets.set(bucket, members.add(record.key));
	return record;
}

/** Forgets a key. @internal */
export function removeKey(state: EntryState, record: KeyRecord): void {
	const {idempotency} = state;
	const pooled = getPoolKeys(state, record.pool);
	if (pooled.keys.get(record.key) === record) {
		pooled.keys.delete(record.key);
		pooled.buckets.get(Math.floor((getKeyTime(record.key) ?? 0) / bucketMs))?.delete(record.key);
	}

	for (const {requestId} of record.waiters) {
		idempotency.keyByRequest.delete(requestId);
	}

	idempotency.attended.delete(record);
	dropResult(idempotency, record);
}

/** Keeps the result of a key and answers everyone who waits for it. @internal */
export function settleRecord(state: EntryState, record: KeyRecord, result: RequestResult): Output[] {
	const {idempotency} = state;
	record.stage = 'settled';
	record.request = undefined;
	record.runsAt = undefined;
	idempotency.attended.delete(record);
	dropResult(idempotency, record);
	record.result = result;
	idempotency.results.add(record);
	idempotency.resultBytes += result.body.byteLength;
	limitResults(idempotency);
	return answerWaiters(state, record, result);
}

/** Answers all requests that wait for a key. @internal */
export function answerWaiters(state: EntryState, record: KeyRecord, result: RequestResult): Output[] {
	const waiters = record.waiters.splice(0);
	for (const {requestId} of waiters) {
		state.idempotency.keyByRequest.delete(requestId);
	}

	return waiters.map(waiter => createAnswer(waiter, result));
}

/** The event that takes a result to the receiver of a request. @internal */
export function createAnswer({receiver, requestId}: Pick<KeyWaiter, 'receiver' | 'requestId'>, result: RequestResult): Output {
	return restartEvent({
		kind: 'result-ready', receiver, requestId, result,
	});
}

/** Whether a pool's keys stay when the role ends: a transfer still reads them. @internal */
export function isCopying(state: EntryState, pool: PoolName): boolean {
	for (const transfer of state.idempotency.transfers) {
		if (transfer.pool === pool) {
			return true;
		}
	}

	return false;
}

/** Forgets the keys of a pool for which this entry is neither owner nor standby, but for requests that still run here. @internal */
export function dropUnusedKeys(state: EntryState, pool: PoolName): void {
	const pooled = getPoolKeys(state, pool);
	if (pooled.role !== 'none' || isCopying(state, pool)) {
		return;
	}

	for (const record of pooled.keys.values()) {
		if (record.request === undefined && record.waiters.length === 0) {
			removeKey(state, record);
		}
	}
}

/**
Forgets keys past the retention, whose repeats are refused by their time, and the oldest ones of a pool that has too many.

@internal
*/
export function expireKeys(state: EntryState, context: DecisionContext): void {
	const {idempotency, config} = state;
	if (context.now < idempotency.nextExpiryAt) {
		return;
	}

	idempotency.nextExpiryAt = context.now + expiryPauseMs;
	const {keyRetentionMs, clockSkewMs} = config.timings;
	// The margin lets an entry whose clock is behind still refuse the repeat by its time.
	const lastBucket = Math.floor((idempotency.latestWallTime - keyRetentionMs - clockSkewMs) / bucketMs) - 1;
	for (const [pool, pooled] of idempotency.pools) {
		dropUnusedKeys(state, pool);
		for (const bucket of [...pooled.buckets.keys()].sort((left, right) => left - right)) {
			if (bucket > lastBucket && pooled.keys.size <= maxKeysPerPool) {
				break;
			}

			dropBucket(state, pooled, bucket);
			if (bucket > lastBucket && pooled.coverageSince !== undefined) {
				pooled.coverageSince = Math.max(pooled.coverageSince, (bucket + 1) * bucketMs);
			}
		}
	}
}

function dropBucket(state: EntryState, pooled: PoolKeys, bucket: number): void {
	for (const key of pooled.buckets.get(bucket) ?? []) {
		const record = pooled.keys.get(key);
		if (record !== undefined && record.request === undefined && record.waiters.length === 0) {
			removeKey(state, record);
		}
	}

	if (pooled.buckets.get(bucket)?.size === 0) {
		pooled.buckets.delete(bucket);
	}
}

function dropResult(idempotency: IdempotencyState, record: KeyRecord): void {
	if (idempotency.results.delete(record)) {
		idempotency.resultBytes -= record.result?.body.byteLength ?? 0;
	}
}

function limitResults(idempotency: IdempotencyState): void {
	for (const record of idempotency.results) {
		if (idempotency.resultBytes <= maxResultBytes) {
			return;
		}

		dropResult(idempotency, record);
		record.result = createUnknownResult('key-expired');
	}
}

/** Digest by which a repeat is told from another request under the same key. @internal */
export function computeFingerprint(request: ServiceRequest): string {
	return createHash('sha256').update(`${request.service}\n${request.method}\n${request.path}\n`).update(request.body).digest('hex');
}
