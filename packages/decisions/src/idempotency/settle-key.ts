import {appendItems} from '@pistachiogauge/chain';
import {type EntryId, type EventOf, type RequestResult} from '@pistachiogauge/model';
import {emitEffect, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {type KeyRecord} from './idempotency-state.js';
import {
	addKey, answerWaiters, createResultEvent, getPoolKeys, removeKey, settleRecord,
} from './key-records.js';
import {passRequest} from './reserve-key.js';

/** Settles or releases the key of a request that has ended at this entry, and notifies the entries that hold a copy of the key. @internal */
export function settleKey(state: EntryState, event: EventOf<'request-ended'>, context: DecisionContext): Output[] {
	const record = state.idempotency.recordsByRequest.get(event.requestId);
	if (record === undefined || record.request?.requestId !== event.requestId) {
		return [];
	}

	const {result} = event;
	removeWaiter(state, record, event.requestId);
	if (result.outcome === 'not-run' && result.reason === 'cancelled' && record.waiters.length > 0) {
		return startNextWaiter(record, context);
	}

	if (result.outcome === 'not-run') {
		const outputs = answerWaiters(state, record, result);
		removeKey(state, record);
		return [...outputs, ...notifyKeyHolders(state, record, undefined)];
	}

	return [...settleRecord(state, record, result), ...notifyKeyHolders(state, record, result)];
}

/** Applies the result or release of a key that its owner or former owner reports. @internal */
export function applySettlement(state: EntryState, event: EventOf<'peer-key-settled'>): Output[] {
	const {pool, key, reservation, result} = event.message;
	const poolKeys = getPoolKeys(state, pool);
	const record = poolKeys.keys.get(key);
	if (poolKeys.role === 'none' || record?.request !== undefined || record?.stage === 'settled') {
		return [];
	}

	if (result !== undefined) {
		return settleRecord(state, record ?? addKey(state, pool, {key, fingerprint: '', reservation}, 'reserved'), result);
	}

	if (record?.reservation !== reservation) {
		return [];
	}

	// The request did not run, so requests that waited for it at this entry are routed again.
	const returned = record.waiters.map(({receiver, requestId}) => restartEvent({kind: 'request-returned', receiver, requestId}));
	removeKey(state, record);
	return returned;
}

/** Removes a cancelled request from its key. A queued request is cancelled by the dispatch filter. @internal */
export function cancelRequest(state: EntryState, requestId: string): Output[] {
	const record = state.idempotency.recordsByRequest.get(requestId);
	if (record === undefined) {
		return [];
	}

	if (record.request?.requestId !== requestId) {
		removeWaiter(state, record, requestId);
		return [];
	}

	const [first] = record.waiters;
	return record.stage === 'reserving' && first !== undefined
		? [restartEvent({
			kind: 'request-ended', requestId, receiver: first.receiver, result: createNotRunResult('cancelled'),
		})]
		: [];
}

/** Releases the key of a request that returns to its receiver without having run, except after the loss of the pool. @internal */
export function releaseReturnedKey(state: EntryState, event: EventOf<'request-returned'>): Output[] {
	const record = state.idempotency.recordsByRequest.get(event.requestId);
	if (record === undefined || record.request?.requestId !== event.requestId || state.idempotency.awaitingKeyRelease.has(event.requestId)) {
		return [];
	}

	removeWaiter(state, record, event.requestId);
	const returned = record.waiters.map(({receiver, requestId}) => restartEvent({kind: 'request-returned', receiver, requestId}));
	removeKey(state, record);
	return [...returned, ...notifyKeyHolders(state, record, undefined)];
}

/** Answers requests that wait for a result at a former owner when their deadline has passed or the link to that entry is lost. @internal */
export function expireWaiters(state: EntryState, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const record of state.idempotency.awaitingPeer) {
		if (record.runningEntryId === undefined) {
			continue;
		}

		if (!state.membership.links.has(record.runningEntryId)) {
			record.runningEntryId = undefined;
			state.idempotency.awaitingPeer.delete(record);
			appendItems(outputs, answerWaiters(state, record, createUnknownResult('connection-lost')));
			continue;
		}

		for (const waiter of record.waiters.filter(({deadlineAt}) => deadlineAt <= context.now)) {
			removeWaiter(state, record, waiter.requestId);
			outputs.push(createResultEvent(waiter, createUnknownResult('answer-timeout')));
		}
	}

	return outputs;
}

/** Replaces a cancelled request by the next one that waits for the same key. */
function startNextWaiter(record: KeyRecord, context: DecisionContext): Output[] {
	const [next] = record.waiters;
	if (record.request === undefined || next === undefined) {
		return [];
	}

	record.request = {...record.request, requestId: next.requestId};
	return record.stage === 'reserved' ? passRequest(record, context) : [];
}

function removeWaiter(state: EntryState, record: KeyRecord, requestId: string): void {
	const index = record.waiters.findIndex(waiter => waiter.requestId === requestId);
	if (index !== -1) {
		record.waiters.splice(index, 1);
		state.idempotency.recordsByRequest.delete(requestId);
	}
}

function notifyKeyHolders(state: EntryState, {pool, key, reservation}: KeyRecord, result: RequestResult | undefined): Output[] {
	const {owner, standby} = state.membership.record?.pools[pool] ?? {};
	const holders = new Set([owner, standby].filter((id): id is EntryId => id !== undefined && id !== state.config.id));
	return [...holders].map(to => emitEffect({
		kind: 'send-peer', to, message: {
			kind: 'key-settled', pool, key, reservation, result,
		},
	}));
}
