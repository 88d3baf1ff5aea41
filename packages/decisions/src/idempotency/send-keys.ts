import {
	type CopiedKey, type EntryId, type EventOf, type PoolName,
} from '@pistachiogauge/model';
import {emitEffect, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type KeyRecord, type KeyWaiter, type OutgoingTransfer} from './idempotency-state.js';
import {dropUnusedKeys, getPoolKeys} from './key-records.js';

/** A chunk stays well below the size at which a link would hold up heartbeats. */
const chunkKeys = 200;
const chunkBytes = 128 * 1024;
const chunkRetryMs = 250;
/** A handover holds requests back, so it ends sooner than a copy to a standby. */
const handoverLimitMs = 2000;
const copyLimitMs = 30_000;

/** Starts to copy a pool's keys to its standby or to the next owner. @internal */
export function sendKeys(
	state: EntryState,
	pool: PoolName,
	to: EntryId,
	returns: KeyWaiter[] | undefined,
	context: DecisionContext,
): Output[] {
	const {idempotency, membership} = state;
	const pooled = getPoolKeys(state, pool);
	idempotency.transferCount += 1;
	const transfer: OutgoingTransfer = {
		id: idempotency.transferCount,
		to,
		epoch: membership.record!.epoch,
		pool,
		isHandover: returns !== undefined,
		coverageSince: pooled.coverageSince ?? Number.POSITIVE_INFINITY,
		names: [...pooled.keys.keys()],
		startedAt: context.now,
		index: 0,
		offset: 0,
		chunk: [],
		sentAt: context.now,
		returns: returns ?? [],
	};
	idempotency.transfers.add(transfer);
	return [sendChunk(state, transfer, context)];
}

/** Sends the next chunk, or ends the transfer when the last one has arrived. @internal */
export function advanceTransfer(state: EntryState, event: EventOf<'peer-keys-received'>, context: DecisionContext): Output[] {
	const {transfer: id, index} = event.message;
	for (const transfer of state.idempotency.transfers) {
		if (transfer.id !== id || transfer.to !== event.from || transfer.index !== index) {
			continue;
		}

		transfer.offset += transfer.chunk.length;
		if (transfer.offset >= transfer.names.length) {
			return endTransfer(state, transfer, true);
		}

		transfer.index += 1;
		return [sendChunk(state, transfer, context)];
	}

	return [];
}

/** Repeats chunks without an answer, and starts copies that standbys lack. @internal */
export function keepCopies(state: EntryState, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const transfer of state.idempotency.transfers) {
		const isLate = context.now - transfer.startedAt > (transfer.isHandover ? handoverLimitMs : copyLimitMs);
		const isOutdated = transfer.epoch !== state.membership.record?.epoch || !state.membership.links.has(transfer.to);
		if (isLate || isOutdated) {
			outputs.push(...endTransfer(state, transfer, false));
		} else if (context.now - transfer.sentAt >= chunkRetryMs) {
			outputs.push(sendChunk(state, transfer, context));
		}
	}

	return [...outputs, ...startCopies(state, context)];
}

function startCopies(state: EntryState, context: DecisionContext): Output[] {
	const {idempotency, membership} = state;
	const outputs: Output[] = [];
	for (const [pool, pooled] of idempotency.pools) {
		const standby = membership.record?.pools[pool]?.standby;
		const isDue = pooled.role === 'owner' && pooled.handoverUntil === undefined && pooled.partner !== standby;
		if (!isDue || standby === undefined || !membership.links.has(standby)) {
			continue;
		}

		const isRunning = [...idempotency.transfers].some(transfer => transfer.pool === pool && transfer.to === standby);
		if (!isRunning) {
			outputs.push(...sendKeys(state, pool, standby, undefined, context));
		}
	}

	return outputs;
}

function sendChunk(state: EntryState, transfer: OutgoingTransfer, context: DecisionContext): Output {
	const chunk = createChunk(state, transfer);
	transfer.chunk = chunk.names;
	transfer.sentAt = context.now;
	return emitEffect({
		kind: 'send-peer',
		to: transfer.to,
		message: {
			kind: 'keys-copied',
			epoch: transfer.epoch,
			pool: transfer.pool,
			transfer: transfer.id,
			index: transfer.index,
			isLast: transfer.offset + chunk.names.length >= transfer.names.length,
			isHandover: transfer.isHandover,
			coverageSince: transfer.coverageSince,
			services: [...state.idempotency.serviceMoves].flatMap(([service, {since}]) => since === undefined ? [] : [{service, since}]),
			keys: chunk.keys,
		},
	});
}

function createChunk(state: EntryState, {pool, names, offset}: OutgoingTransfer): {names: string[]; keys: CopiedKey[]} {
	const {keys} = getPoolKeys(state, pool);
	const chunk: {names: string[]; keys: CopiedKey[]} = {names: [], keys: []};
	let bytes = 0;
	for (const name of names.slice(offset, offset + chunkKeys)) {
		const record = keys.get(name);
		bytes += record?.result?.body.byteLength ?? 0;
		if (bytes > chunkBytes && chunk.names.length > 0) {
			break;
		}

		chunk.names.push(name);
		if (record !== undefined) {
			chunk.keys.push(sendKeyCopy(record));
		}
	}

	return chunk;
}

function sendKeyCopy({key, fingerprint, reservation, result}: KeyRecord): CopiedKey {
	return {
		key, fingerprint, reservation, result,
	};
}

function endTransfer(state: EntryState, transfer: OutgoingTransfer, isComplete: boolean): Output[] {
	const {idempotency} = state;
	idempotency.transfers.delete(transfer);
	const pooled = getPoolKeys(state, transfer.pool);
	if (isComplete && !transfer.isHandover && pooled.role === 'owner') {
		pooled.partner = transfer.to;
	}

	dropUnusedKeys(state, transfer.pool);
	return returnRequests(state, transfer.returns);
}

/** Sends requests back to their receivers, which look for the new owner. @internal */
export function returnRequests(state: EntryState, waiters: readonly KeyWaiter[]): Output[] {
	for (const {requestId} of waiters) {
		state.idempotency.awaitingKeyRelease.delete(requestId);
	}

	return waiters.map(({receiver, requestId}) => restartEvent({kind: 'request-returned', receiver, requestId}));
}
