import {type EntryId, type EventOf, type RequestResult} from '@pistachiogauge/model';
import {emitEffect, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {type KeyRecord} from './idempotency-state.js';
import {
	addKey, answerWaiters, createAnswer, getPoolKeys, removeKey, settleRecord,
} from './key-records.js';
import {passRequest} from './reserve-key.js';

/** Settles the key of a request that this entry is done with, here and at the entries that hold a copy. @internal */
export function finishKey(state: EntryState, event: EventOf<'request-ended'>, context: DecisionContext): Output[] {
	const record = state.idempotency.keyByRequest.get(event.requestId);
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
		return [...outputs, ...notifyCopies(state, record, undefined)];
	}

	return [...settleRecord(state, record, result), ...notifyCopies(state, record, result)];
}

/** Applies the news of how a key ended at its owner or former owner. @internal */
export function applySettlement(state: EntryState, event: EventOf<'peer-key-settled'>): Output[] {
	const {pool, key, reservation, result} = event.message;
	const pooled = getPoolKeys(state, pool);
	const record = pooled.keys.get(key);
	if (pooled.role === 'none' || record?.request !== undefined || record?.stage === 'settled') {
		return [];
	}

	if (result !== undefined) {
		return settleRecord(state, record ?? addKey(state, pool, {key, fingerprint: '', reservation}, 'reserved'), result);
	}

	if (record?.reservation !== reservation) {
		return [];
	}

	// Nothing ran, so whoever joined the request at this entry may send it again.
	const returned = record.waiters.map(({receiver, requestId}) => restartEvent({kind: 'request-returned', receiver, requestId}));
	removeKey(state, record);
	return returned;
}

/** Takes a cancelled request off its key. A request in the queue is cancelled by the dispatch filter. @internal */
export function cancelRequest(state: EntryState, requestId: string): Output[] {
	const record = state.idempotency.keyByRequest.get(requestId);
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

/** Releases a key whose request goes back to its receiver unrun, for another reason than the loss of the pool. @internal */
export function releaseReturned(state: EntryState, event: EventOf<'request-returned'>): Output[] {
	const record = state.idempotency.keyByRequest.get(event.requestId);
	if (record === undefined || record.request?.requestId !== event.requestId || state.idempotency.awaitingKeyRelease.has(event.requestId)) {
		return [];
	}

	removeWaiter(state, record, event.requestId);
	const returned = record.waiters.map(({receiver, requestId}) => restartEvent({kind: 'request-returned', receiver, requestId}));
	removeKey(state, record);
	return [...returned, ...notifyCopies(state, record, undefined)];
}

/** Answers requests that wait for a former owner's result when their deadline has passed or that entry is lost. @internal */
export function expireWaiters(state: EntryState, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const record of state.idempotency.attended) {
		if (record.runsAt === undefined) {
			continue;
		}

		if (!state.membership.links.has(record.runsAt)) {
			record.runsAt = undefined;
			state.idempotency.attended.delete(record);
			outputs.push(...answerWaiters(state, record, createUnknownResult('connection-lost')));
			continue;
		}

		for (const waiter of record.waiters.filter(({deadlineAt}) => deadlineAt <= context.now)) {
			removeWaiter(state, record, waiter.requestId);
			outputs.push(createAnswer(waiter, createUnknownResult('answer-timeout')));
		}
	}

	return outputs;
}

/** The caller of the running request is gone, but a repeat of it still waits and takes its place. */
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
		state.idempotency.keyByRequest.delete(requestId);
	}
}

function notifyCopies(state: EntryState, {pool, key, reservation}: KeyRecord, result: RequestResult | undefined): Output[] {
	const {owner, standby} = state.membership.record?.pools[pool] ?? {};
	const holders = new Set([owner, standby].filter((id): id is EntryId => id !== undefined && id !== state.config.id));
	return [...holders].map(to => emitEffect({
		kind: 'send-peer', to, message: {
			kind: 'key-settled', pool, key, reservation, result,
		},
	}));
}
