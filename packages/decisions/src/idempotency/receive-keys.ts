import {type CopiedKey, type EventOf} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type IncomingTransfer, type PoolKeys} from './idempotency-state.js';
import {
	addKey, getPoolKeys, removeKey, settleRecord,
} from './key-records.js';
import {releaseParked} from './offer-key.js';
import {mergeServiceCoverage} from './service-moves.js';

/** Takes in a chunk of keys from this pool's owner or former owner. @internal */
export function receiveKeys(state: EntryState, event: EventOf<'peer-keys-copied'>, context: DecisionContext): Output[] {
	const {message, from} = event;
	if (!isExpected(state, event)) {
		return [];
	}

	const pooled = getPoolKeys(state, message.pool);
	const incoming = openTransfer(pooled, event);
	if (incoming === undefined || message.index > incoming.nextIndex) {
		return [];
	}

	const received = emitEffect({
		kind: 'send-peer', to: from, message: {
			kind: 'keys-received', epoch: message.epoch, pool: message.pool, transfer: message.transfer, index: message.index,
		},
	});
	if (message.index < incoming.nextIndex) {
		return [received];
	}

	incoming.nextIndex += 1;
	const outputs = message.keys.flatMap(copied => applyCopiedKey(state, event, incoming, copied));
	return [received, ...outputs, ...(message.isLast ? finishTransfer(state, event, incoming, context) : [])];
}

/** A copy comes from the owner to the standby; a handover from the former owner to the owner, in the epoch in between. */
function isExpected(state: EntryState, {message, from}: EventOf<'peer-keys-copied'>): boolean {
	const {record} = state.membership;
	if (record?.epoch !== message.epoch) {
		return false;
	}

	const {owner, standby} = record.pools[message.pool] ?? {};
	return message.isHandover
		? owner === state.config.id && record.previousPools[message.pool]?.owner === from
		: standby === state.config.id && owner === from;
}

function openTransfer(pooled: PoolKeys, {message, from}: EventOf<'peer-keys-copied'>): IncomingTransfer | undefined {
	const {incoming} = pooled;
	if (incoming?.from === from && incoming.transfer >= message.transfer) {
		return incoming.transfer === message.transfer ? incoming : undefined;
	}

	if (message.index > 0) {
		return undefined;
	}

	const unconfirmed = new Set<string>();
	for (const [key, record] of message.isHandover ? pooled.keys : []) {
		if (record.stage === 'reserved' && record.request === undefined) {
			unconfirmed.add(key);
		}
	}

	pooled.incoming = {
		from, transfer: message.transfer, nextIndex: 0, isComplete: false, unconfirmed,
	};
	return pooled.incoming;
}

function applyCopiedKey(state: EntryState, {message, from}: EventOf<'peer-keys-copied'>, incoming: IncomingTransfer, copied: CopiedKey): Output[] {
	const {key, fingerprint, reservation, result} = copied;
	incoming.unconfirmed.delete(key);
	const known = getPoolKeys(state, message.pool).keys.get(key);
	// A record that is further on here is newer than the copy.
	if (known !== undefined && (known.stage === 'settled' || known.request !== undefined)) {
		return [];
	}

	const record = known ?? addKey(state, message.pool, {key, fingerprint, reservation}, 'reserved');
	if (result !== undefined) {
		return settleRecord(state, record, result);
	}

	record.runsAt = message.isHandover ? from : undefined;
	return [];
}

function finishTransfer(state: EntryState, {message}: EventOf<'peer-keys-copied'>, incoming: IncomingTransfer, context: DecisionContext): Output[] {
	const pooled = getPoolKeys(state, message.pool);
	incoming.isComplete = true;
	mergeServiceCoverage(state, message.services);
	if (message.coverageSince !== Number.POSITIVE_INFINITY) {
		pooled.coverageSince = Math.min(pooled.coverageSince ?? Number.POSITIVE_INFINITY, message.coverageSince);
	}

	if (!message.isHandover) {
		pooled.isCopied = true;
		return [];
	}

	// The former owner has released these keys: their requests only waited.
	for (const key of incoming.unconfirmed) {
		const record = pooled.keys.get(key);
		if (record?.stage === 'reserved' && record.request === undefined) {
			removeKey(state, record);
		}
	}

	return pooled.role === 'owner' ? releaseParked(state, message.pool, context) : [];
}
