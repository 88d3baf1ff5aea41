import {createHash} from 'node:crypto';
import {type EventOf, type RequestResult, type ServiceRequest} from '@pistachiogauge/model';
import {
	emitEffect, passEvent, restartEvent, type Filter, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {type KeyRecord, type PoolKeys} from './idempotency-state.js';
import {getKeyTime} from './key-time.js';

/**
Lets each non-idempotent request run at most once.

A key is copied to the pool's standby before the request may be sent, so the standby knows every key that can have run when it takes over.

@public
*/
export const idempotencyFilter: Filter = {
	name: 'idempotency',
	handlers: {
		'request-offered': handleOffer,
		'peer-key-reserve'(state, event, context) {
			const {epoch, pool, key, fingerprint} = event.message;
			const {record} = state.membership;
			const assignment = record?.pools[pool];
			if (record?.epoch !== epoch || assignment?.owner !== event.from || assignment.standby !== state.config.id) {
				return [];
			}

			const pooled = getPoolKeys(state, pool);
			// From the first reservation in this epoch on, the owner sends nothing that this standby does not know.
			pooled.coverageSince ??= context.wallTime;
			if (!pooled.keys.has(key)) {
				pooled.keys.set(key, createKeyRecord('reserved', fingerprint, context));
			}

			return [emitEffect({
				kind: 'send-peer', to: event.from, message: {
					kind: 'key-reserved', epoch, pool, key,
				},
			})];
		},
		'peer-key-reserved'(state, event, context) {
			const {epoch, pool, key} = event.message;
			const {record} = state.membership;
			if (record?.epoch !== epoch || record.pools[pool]?.standby !== event.from) {
				return [];
			}

			const keyRecord = state.idempotency.pools.get(pool)?.keys.get(key);
			return keyRecord?.stage === 'reserving' ? clearRequest(state, pool, keyRecord, context) : [];
		},
		'peer-key-settled'(state, event, context) {
			const {pool, key, result} = event.message;
			const keyRecord = state.idempotency.pools.get(pool)?.keys.get(key);
			if (keyRecord === undefined || keyRecord.request !== undefined) {
				return [];
			}

			settleKey(state, pool, key, result, context);
			return [];
		},
		'pool-acquired'(state, event, context) {
			const pooled = getPoolKeys(state, event.pool);
			if (!event.isContinuous) {
				pooled.coverageSince = undefined;
			}

			// In the first epoch no entry can have run anything before.
			const isFirstEpoch = state.membership.record?.epoch === 1;
			pooled.coverageSince ??= isFirstEpoch ? Number.NEGATIVE_INFINITY : context.wallTime;
			return [];
		},
		'epoch-adopted': (state, _event, context) => updateRoles(state, context),
		'request-ended'(state, event, context) {
			const place = state.idempotency.keyByRequest.get(event.requestId);
			if (place === undefined) {
				return [];
			}

			return finishKey(state, place.pool, place.key, event.result, context);
		},
	},
};

function handleOffer(state: EntryState, event: EventOf<'request-offered'>, context: DecisionContext): Output[] {
	const {request, receiver, pool} = event;
	const cleared = passEvent({
		kind: 'request-cleared', request, receiver, pool,
	});
	if (request.isIdempotent) {
		return [cleared];
	}

	const key = request.key ?? '';
	const pooled = getPoolKeys(state, pool);
	const known = pooled.keys.get(key);
	const address = {receiver, requestId: request.requestId};
	if (known !== undefined) {
		return joinKey(known, request, address);
	}

	const refusal = checkKeyTime(state, pooled, key, context);
	if (refusal !== undefined) {
		return [restartEvent({
			kind: 'request-ended', requestId: request.requestId, result: refusal, receiver,
		})];
	}

	const keyRecord = createKeyRecord('reserving', computeFingerprint(request), context);
	keyRecord.request = request;
	keyRecord.waiters.push(address);
	pooled.keys.set(key, keyRecord);
	state.idempotency.keyByRequest.set(request.requestId, {pool, key});
	return reserveKey(state, pool, key, keyRecord, context);
}

function joinKey(known: KeyRecord, request: ServiceRequest, address: KeyRecord['waiters'][number]): Output[] {
	const {requestId} = request;
	if (known.fingerprint !== computeFingerprint(request)) {
		return [answer(address, createNotRunResult('key-reused'))];
	}

	if (known.result !== undefined) {
		return [answer(address, known.result)];
	}

	if (known.request === undefined) {
		// Reserved by a lost owner that may have sent it.
		return [answer(address, createUnknownResult('connection-lost'))];
	}

	if (!known.waiters.some(waiter => waiter.requestId === requestId)) {
		known.waiters.push(address);
	}

	return [];
}

function checkKeyTime(state: EntryState, pooled: PoolKeys, key: string, context: DecisionContext): RequestResult | undefined {
	const issuedAt = getKeyTime(key);
	const {clockSkewMs, keyRetentionMs} = state.config.timings;
	if (issuedAt === undefined) {
		return createNotRunResult('key-malformed');
	}

	if (issuedAt > context.wallTime + clockSkewMs) {
		return createNotRunResult('key-from-the-future', issuedAt - context.wallTime - clockSkewMs);
	}

	if (issuedAt < context.wallTime - keyRetentionMs + clockSkewMs) {
		return createUnknownResult('key-expired');
	}

	// A caller's clock may run ahead by the allowed skew, so a key that only seems newer than the coverage may be older.
	if (pooled.coverageSince === undefined || issuedAt <= pooled.coverageSince + clockSkewMs) {
		return createUnknownResult('key-not-covered');
	}

	return undefined;
}

function reserveKey(state: EntryState, pool: string, key: string, keyRecord: KeyRecord, context: DecisionContext): Output[] {
	const {record} = state.membership;
	const standby = record?.pools[pool]?.standby;
	if (standby === undefined) {
		return clearRequest(state, pool, keyRecord, context);
	}

	return [emitEffect({
		kind: 'send-peer', to: standby, message: {
			kind: 'key-reserve', epoch: record!.epoch, pool, key, fingerprint: keyRecord.fingerprint,
		},
	})];
}

function clearRequest(_state: EntryState, pool: string, keyRecord: KeyRecord, context: DecisionContext): Output[] {
	keyRecord.stage = 'reserved';
	keyRecord.changedAt = context.now;
	const [first] = keyRecord.waiters;
	return keyRecord.request === undefined || first === undefined
		? []
		: [passEvent({
			kind: 'request-cleared', request: keyRecord.request, receiver: first.receiver, pool,
		})];
}

function finishKey(state: EntryState, pool: string, key: string, result: RequestResult, context: DecisionContext): Output[] {
	const keyRecord = state.idempotency.pools.get(pool)?.keys.get(key);
	if (keyRecord === undefined) {
		return [];
	}

	state.idempotency.keyByRequest.delete(keyRecord.request?.requestId ?? '');
	const outputs = keyRecord.waiters.slice(1).map(address => answer(address, result));
	keyRecord.waiters.length = 0;
	const settled = result.outcome === 'not-run' ? undefined : result;
	settleKey(state, pool, key, settled, context);
	const standby = state.membership.record?.pools[pool]?.standby;
	if (standby !== undefined && standby !== state.config.id) {
		outputs.push(emitEffect({
			kind: 'send-peer', to: standby, message: {
				kind: 'key-settled', pool, key, result: settled,
			},
		}));
	}

	return outputs;
}

/** Keeps the result, or forgets the key when nothing ran. */
function settleKey(state: EntryState, pool: string, key: string, result: RequestResult | undefined, context: DecisionContext): void {
	const pooled = state.idempotency.pools.get(pool);
	const keyRecord = pooled?.keys.get(key);
	if (pooled === undefined || keyRecord === undefined) {
		return;
	}

	if (result === undefined) {
		pooled.keys.delete(key);
		return;
	}

	keyRecord.stage = 'settled';
	keyRecord.result = result;
	keyRecord.request = undefined;
	keyRecord.changedAt = context.now;
}

/** Drops the coverage of pools for which this entry is no longer owner or standby, and reserves waiting keys at a new standby. */
function updateRoles(state: EntryState, context: DecisionContext): Output[] {
	const {record} = state.membership;
	const outputs: Output[] = [];
	for (const [pool, pooled] of state.idempotency.pools) {
		const assignment = record?.pools[pool];
		const former = record?.previousPools[pool];
		const {id} = state.config;
		const isKeptStandby = assignment?.standby === id && former?.standby === id && former.owner === assignment.owner;
		const isSuccessor = assignment?.owner === id && former?.standby === id;
		const isKeptOwner = state.membership.acquired.has(pool);
		if (!isKeptStandby && !isSuccessor && !isKeptOwner) {
			pooled.coverageSince = undefined;
		}

		for (const [key, keyRecord] of pooled.keys) {
			if (isKeptOwner && keyRecord.stage === 'reserving') {
				outputs.push(...reserveKey(state, pool, key, keyRecord, context));
			}
		}
	}

	return outputs;
}

function getPoolKeys(state: EntryState, pool: string): PoolKeys {
	const known = state.idempotency.pools.get(pool);
	if (known !== undefined) {
		return known;
	}

	const created: PoolKeys = {coverageSince: undefined, keys: new Map()};
	state.idempotency.pools.set(pool, created);
	return created;
}

function createKeyRecord(stage: KeyRecord['stage'], fingerprint: string, context: DecisionContext): KeyRecord {
	return {
		stage, fingerprint, request: undefined, waiters: [], result: undefined, changedAt: context.now,
	};
}

function answer(address: KeyRecord['waiters'][number], result: RequestResult): Output {
	return restartEvent({
		kind: 'result-ready', receiver: address.receiver, requestId: address.requestId, result,
	});
}

function computeFingerprint(request: ServiceRequest): string {
	return createHash('sha256').update(`${request.service}\n${request.method}\n${request.path}\n`).update(request.body).digest('hex');
}
