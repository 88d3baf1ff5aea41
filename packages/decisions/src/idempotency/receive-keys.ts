import {type CopiedKey, type EventOf} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type IncomingTransfer, type PoolKeys} from './idempotency-state.js';
import {
	addKey, getPoolKeys, removeKey, settleRecord,
} from './key-records.js';
import {resumeWaitingRequests} from './accept-request.js';
import {mergeServiceCoverage} from './service-moves.js';

/** Applies a chunk of keys that the pool's owner or former owner has sent. @internal */
export function receiveKeys(state: EntryState, event: EventOf<'peer-keys-copied'>, context: DecisionContext): Output[] {
	const {message, from} = event;
	if (!isExpectedTransfer(state, event)) {
		return [];
	}

	const poolKeys = getPoolKeys(state, message.pool);
	const incoming = openTransfer(poolKeys, event);
	if (incoming === undefined || message.index > incoming.nextChunkIndex) {
		return [];
	}

	const received = emitEffect({
		kind: 'send-peer', to: from, message: {
			kind: 'keys-received', epoch: message.epoch, pool: message.pool, transfer: message.transfer, index: message.index,
		},
	});
	if (message.index < incoming.nextChunkIndex) {
		return [received];
	}

	incoming.nextChunkIndex += 1;
	const outputs = message.keys.flatMap(copied => applyCopiedKey(state, event, incoming, copied));
	return [received, ...outputs, ...(message.isLast ? finishTransfer(state, event, incoming, context) : [])];
}

/** Whether the message belongs to the adopted epoch and comes from the right sender: a copy from the owner to this standby, or a handover from the former owner to this owner. */
function isExpectedTransfer(state: EntryState, {message, from}: EventOf<'peer-keys-copied'>): boolean {
	const {record} = state.membership;
	if (record?.epoch !== message.epoch) {
		return false;
	}

	const {owner, standby} = record.pools[message.pool] ?? {};
	return message.isHandover
		? owner === state.config.id && record.previousPools[message.pool]?.owner === from
		: standby === state.config.id && owner === from;
}

function openTransfer(poolKeys: PoolKeys, {message, from}: EventOf<'peer-keys-copied'>): IncomingTransfer | undefined {
	const {incomingTransfer} = poolKeys;
	if (incomingTransfer?.from === from && incomingTransfer.id >= message.transfer) {
		return incomingTransfer.id === message.transfer ? incomingTransfer : undefined;
	}

	if (message.index > 0) {
		return undefined;
	}

	const unconfirmedKeys = new Set<string>();
	for (const [key, record] of message.isHandover ? poolKeys.keys : []) {
		if (record.stage === 'reserved' && record.request === undefined) {
			unconfirmedKeys.add(key);
		}
	}

	poolKeys.incomingTransfer = {
		from, id: message.transfer, nextChunkIndex: 0, isComplete: false, unconfirmedKeys,
	};
	return poolKeys.incomingTransfer;
}

function applyCopiedKey(state: EntryState, {message, from}: EventOf<'peer-keys-copied'>, incoming: IncomingTransfer, copied: CopiedKey): Output[] {
	const {key, fingerprint, reservation, result} = copied;
	incoming.unconfirmedKeys.delete(key);
	const known = getPoolKeys(state, message.pool).keys.get(key);
	// A settled record, or one whose request runs here, is newer than the copy.
	if (known !== undefined && (known.stage === 'settled' || known.request !== undefined)) {
		return [];
	}

	const record = known ?? addKey(state, message.pool, {key, fingerprint, reservation}, 'reserved');
	if (result !== undefined) {
		return settleRecord(state, record, result);
	}

	record.runningEntryId = message.isHandover ? from : undefined;
	return [];
}

function finishTransfer(state: EntryState, {message}: EventOf<'peer-keys-copied'>, incoming: IncomingTransfer, context: DecisionContext): Output[] {
	const poolKeys = getPoolKeys(state, message.pool);
	incoming.isComplete = true;
	mergeServiceCoverage(state, message.services);
	if (message.coverageSince !== Number.POSITIVE_INFINITY) {
		poolKeys.coverageSince = Math.min(poolKeys.coverageSince ?? Number.POSITIVE_INFINITY, message.coverageSince);
	}

	if (!message.isHandover) {
		poolKeys.hasFullCopy = true;
		return [];
	}

	// The former owner has released these keys, because their requests were not sent to an endpoint.
	for (const key of incoming.unconfirmedKeys) {
		const record = poolKeys.keys.get(key);
		if (record?.stage === 'reserved' && record.request === undefined) {
			removeKey(state, record);
		}
	}

	return poolKeys.role === 'owner' ? resumeWaitingRequests(state, message.pool, context) : [];
}
