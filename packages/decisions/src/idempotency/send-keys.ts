import {appendItems} from '@pistachiogauge/chain';
import {
	type CopiedKey, type EntryId, type EventOf, type PoolName,
} from '@pistachiogauge/model';
import {emitEffect, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type KeyRecord, type KeyWaiter, type OutgoingTransfer} from './idempotency-state.js';
import {dropUnusedKeys, getPoolKeys} from './key-records.js';

/** Limits that keep a chunk well below the size at which it would delay heartbeats on the same link. */
const maxChunkKeys = 200;
const maxChunkBytes = 128 * 1024;
const chunkRetryIntervalMs = 250;
/** Shorter than the timeout of a copy to a standby, because requests are held back during a handover. */
const handoverTimeoutMs = 2000;
const copyTimeoutMs = 30_000;

/**
Starts to transfer a pool's keys to its standby, or hands them over to its next owner.

@param requestsToReturn Requests that return to their receivers after a handover, possibly none; undefined for a copy to the standby.
@internal
*/
export function startTransfer(
	state: EntryState,
	pool: PoolName,
	to: EntryId,
	requestsToReturn: KeyWaiter[] | undefined,
	context: DecisionContext,
): Output[] {
	const {idempotency, membership} = state;
	const poolKeys = getPoolKeys(state, pool);
	idempotency.transferCount += 1;
	const transfer: OutgoingTransfer = {
		id: idempotency.transferCount,
		to,
		epoch: membership.record!.epoch,
		pool,
		isHandover: requestsToReturn !== undefined,
		coverageSince: poolKeys.coverageSince ?? Number.POSITIVE_INFINITY,
		allKeys: [...poolKeys.keys.keys()],
		startedAt: context.now,
		chunkIndex: 0,
		offset: 0,
		chunk: [],
		sentAt: context.now,
		requestsToReturn: requestsToReturn ?? [],
	};
	idempotency.transfers.add(transfer);
	return [sendChunk(state, transfer, context)];
}

/** Sends the next chunk, or ends the transfer when the last chunk has been acknowledged. @internal */
export function advanceTransfer(state: EntryState, event: EventOf<'peer-keys-received'>, context: DecisionContext): Output[] {
	const {transfer: id, index} = event.message;
	for (const transfer of state.idempotency.transfers) {
		if (transfer.id !== id || transfer.to !== event.from || transfer.chunkIndex !== index) {
			continue;
		}

		transfer.offset += transfer.chunk.length;
		if (transfer.offset >= transfer.allKeys.length) {
			return endTransfer(state, transfer, true);
		}

		transfer.chunkIndex += 1;
		return [sendChunk(state, transfer, context)];
	}

	return [];
}

/** Resends unacknowledged chunks, ends transfers that are late or outdated, and starts copies to standbys that have none. @internal */
export function updateTransfers(state: EntryState, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const transfer of state.idempotency.transfers) {
		const hasTimedOut = context.now - transfer.startedAt > (transfer.isHandover ? handoverTimeoutMs : copyTimeoutMs);
		const isOutdated = transfer.epoch !== state.membership.record?.epoch || !state.membership.links.has(transfer.to);
		if (hasTimedOut || isOutdated) {
			appendItems(outputs, endTransfer(state, transfer, false));
		} else if (context.now - transfer.sentAt >= chunkRetryIntervalMs) {
			outputs.push(sendChunk(state, transfer, context));
		}
	}

	return [...outputs, ...startCopies(state, context)];
}

function startCopies(state: EntryState, context: DecisionContext): Output[] {
	const {idempotency, membership} = state;
	const outputs: Output[] = [];
	for (const [pool, poolKeys] of idempotency.pools) {
		const standby = membership.record?.pools[pool]?.standby;
		const isDue = poolKeys.role === 'owner' && poolKeys.handoverUntil === undefined && poolKeys.replicationPeer !== standby;
		if (!isDue || standby === undefined || !membership.links.has(standby)) {
			continue;
		}

		const isRunning = [...idempotency.transfers].some(transfer => transfer.pool === pool && transfer.to === standby);
		if (!isRunning) {
			appendItems(outputs, startTransfer(state, pool, standby, undefined, context));
		}
	}

	return outputs;
}

function sendChunk(state: EntryState, transfer: OutgoingTransfer, context: DecisionContext): Output {
	const chunk = createChunk(state, transfer);
	transfer.chunk = chunk.keys;
	transfer.sentAt = context.now;
	return emitEffect({
		kind: 'send-peer',
		to: transfer.to,
		message: {
			kind: 'keys-copied',
			epoch: transfer.epoch,
			pool: transfer.pool,
			transfer: transfer.id,
			index: transfer.chunkIndex,
			isLast: transfer.offset + chunk.keys.length >= transfer.allKeys.length,
			isHandover: transfer.isHandover,
			coverageSince: transfer.coverageSince,
			services: [...state.idempotency.serviceMoves].flatMap(([service, {since}]) => since === undefined ? [] : [{service, since}]),
			keys: chunk.copies,
		},
	});
}

function createChunk(state: EntryState, {pool, allKeys, offset}: OutgoingTransfer): {keys: string[]; copies: CopiedKey[]} {
	const {keys} = getPoolKeys(state, pool);
	const chunk: {keys: string[]; copies: CopiedKey[]} = {keys: [], copies: []};
	let bytes = 0;
	for (const key of allKeys.slice(offset, offset + maxChunkKeys)) {
		const record = keys.get(key);
		bytes += record?.result?.body.byteLength ?? 0;
		if (bytes > maxChunkBytes && chunk.keys.length > 0) {
			break;
		}

		chunk.keys.push(key);
		if (record !== undefined) {
			chunk.copies.push(createKeyCopy(record));
		}
	}

	return chunk;
}

function createKeyCopy({key, fingerprint, reservation, result}: KeyRecord): CopiedKey {
	return {
		key, fingerprint, reservation, result,
	};
}

function endTransfer(state: EntryState, transfer: OutgoingTransfer, isComplete: boolean): Output[] {
	const {idempotency} = state;
	idempotency.transfers.delete(transfer);
	const poolKeys = getPoolKeys(state, transfer.pool);
	if (isComplete && !transfer.isHandover && poolKeys.role === 'owner') {
		poolKeys.replicationPeer = transfer.to;
	}

	dropUnusedKeys(state, transfer.pool);
	return returnRequests(state, transfer.requestsToReturn);
}

/** Returns requests to their receivers, which route them to the new owner. @internal */
export function returnRequests(state: EntryState, waiters: readonly KeyWaiter[]): Output[] {
	for (const {requestId} of waiters) {
		state.idempotency.awaitingKeyRelease.delete(requestId);
	}

	return waiters.map(({receiver, requestId}) => restartEvent({kind: 'request-returned', receiver, requestId}));
}
