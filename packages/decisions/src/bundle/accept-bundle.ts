import {storeKeys, type EventOf} from '@pistachiogauge/model';
import {
	emitEffect, passEvent, restartEvent, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {applyBundle, applyHead, parseHead} from './bundle-head.js';
import {addToHistory, getHistoryKey, parseHistory} from './bundle-history.js';
import {type PendingAcceptance} from './bundle-state.js';
import {findReplacementConflict} from './check-replacement.js';

/** Prefixes of the store operation ids of the write that accepts a bundle and of the reads that show its outcome. @internal */
export const acceptanceOperationPrefixes = {
	write: 'bundle:apply:',
	readHead: 'bundle:settle:',
	readHistory: 'bundle:find:',
} as const;

/** Number of times that an unanswered write is sent before the operator is told that the outcome is unknown. */
const maxWriteCount = 3;

type StoreAnswer = EventOf<'store-answered'>;
type ApplyCall = Omit<PendingAcceptance, 'headRevision' | 'writeCount'>;

/** Validates an operator's bundle and starts the conditional write to the store that accepts it. @internal */
export function requestAcceptance(state: EntryState, call: ApplyCall, context: DecisionContext): Output[] {
	const {bundle} = state;
	const rejection = findRejection(state, call, context);
	if (rejection !== undefined) {
		return rejectCall(call, rejection.status, rejection.reason);
	}

	bundle.operationCount += 1;
	const id = String(bundle.operationCount);
	const pending: PendingAcceptance = {...call, headRevision: bundle.headRevision!, writeCount: 0};
	bundle.pendingAcceptances.set(id, pending);
	return [sendWrite(id, pending)];
}

function findRejection(state: EntryState, call: ApplyCall, context: DecisionContext): {status: number; reason: string} | undefined {
	const {bundle, config} = state;
	const result = config.verifyBundle(call.signed);
	if (result.kind === 'invalid') {
		return {status: 422, reason: result.reason};
	}

	const next = result.bundle;
	if (next.expiresAt !== undefined && next.expiresAt <= context.wallTime) {
		return {status: 422, reason: `the bundle has expired at ${new Date(next.expiresAt).toISOString()}`};
	}

	const currentVersion = bundle.current?.version ?? 0;
	if (next.version <= currentVersion) {
		return {status: 409, reason: `version ${next.version} is not above ${currentVersion}, signed by ${bundle.signed?.signedBy ?? 'nobody'}`};
	}

	const conflict = findReplacementConflict(state, next);
	if (conflict !== undefined) {
		return {status: 409, reason: conflict};
	}

	return bundle.headRevision === undefined ? {status: 503, reason: 'the store has not been reached yet'} : undefined;
}

function sendWrite(id: string, pending: PendingAcceptance): Output {
	pending.writeCount += 1;
	return emitEffect({
		kind: 'write-store',
		operationId: `${acceptanceOperationPrefixes.write}${id}`,
		key: storeKeys.bundleHead,
		value: JSON.stringify({...pending.signed, nonce: pending.nonce}),
		condition: pending.headRevision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision: pending.headRevision},
		isLeased: false,
	});
}

/** Handles the answer to the write. Anything but success is resolved by reading the head record back. @internal */
export function handleWriteAnswer(state: EntryState, id: string, answer: StoreAnswer, context: DecisionContext): Output[] {
	const pending = state.bundle.pendingAcceptances.get(id);
	if (pending === undefined) {
		return [];
	}

	const [entry] = answer.entries;
	if (answer.result === 'applied' && entry !== undefined) {
		state.bundle.headRevision = entry.revision;
		return finishAcceptance(state, id, pending, context);
	}

	return [emitEffect({
		kind: 'read-store', operationId: `${acceptanceOperationPrefixes.readHead}${id}`, key: storeKeys.bundleHead, isPrefix: false,
	})];
}

/** Resolves from the head record whether an unconfirmed write took effect. @internal */
export function handleReadBack(state: EntryState, id: string, answer: StoreAnswer, context: DecisionContext): Output[] {
	const pending = state.bundle.pendingAcceptances.get(id);
	if (pending === undefined) {
		return [];
	}

	if (answer.result !== 'applied') {
		return reportUnknownOutcome(state, id, pending);
	}

	const [entry] = answer.entries;
	const head = parseHead(entry);
	if (head?.nonce === pending.nonce || isSameBundle(head, pending)) {
		state.bundle.headRevision = entry!.revision;
		return finishAcceptance(state, id, pending, context);
	}

	// The earlier write may still be in flight. Both have the same revision as their condition, so only one can take effect.
	if ((entry?.revision ?? 0) === pending.headRevision) {
		return pending.writeCount < maxWriteCount ? [sendWrite(id, pending)] : reportUnknownOutcome(state, id, pending);
	}

	const outputs = applyHead(state, entry, context);
	if (head !== undefined && head.version > pending.signed.version) {
		// This version may have been accepted and then replaced by a later one; the history shows whether it was.
		return [...outputs, emitEffect({
			kind: 'read-store', operationId: `${acceptanceOperationPrefixes.readHistory}${id}`, key: getHistoryKey(pending.signed.version), isPrefix: false,
		})];
	}

	state.bundle.pendingAcceptances.delete(id);
	return [...outputs, ...rejectCall(pending, 409, `version ${head?.version ?? 0} by ${head?.signedBy ?? 'nobody'} was accepted first`)];
}

/** Resolves from the history whether a version was accepted before a later one replaced it as the head. @internal */
export function handleHistoryAnswer(state: EntryState, id: string, answer: StoreAnswer, context: DecisionContext): Output[] {
	const pending = state.bundle.pendingAcceptances.get(id);
	if (pending === undefined) {
		return [];
	}

	const found = parseHistory(answer.entries[0]?.value ?? '');
	if (found === undefined) {
		return reportUnknownOutcome(state, id, pending);
	}

	if (isSameBundle(found, pending)) {
		return finishAcceptance(state, id, pending, context);
	}

	state.bundle.pendingAcceptances.delete(id);
	return rejectCall(pending, 409, `version ${found.version} by ${found.signedBy} was accepted first`);
}

function isSameBundle(found: {readonly version: number; readonly text: string; readonly signature: string} | undefined, {signed}: PendingAcceptance): boolean {
	return found?.version === signed.version && found.text === signed.text && found.signature === signed.signature;
}

function finishAcceptance(state: EntryState, id: string, pending: PendingAcceptance, context: DecisionContext): Output[] {
	const {signed, operator, callId} = pending;
	state.bundle.pendingAcceptances.delete(id);
	addToHistory(state, signed, {acceptedAt: context.wallTime, acceptedBy: operator});
	return [
		...applyBundle(state, signed, context),
		passEvent({
			kind: 'audit-event', by: operator, action: 'bundle-apply', subject: `version ${signed.version}`, result: 'done', detail: `signed by ${signed.signedBy}`,
		}),
		restartEvent({
			kind: 'operator-answered', callId, status: 200, body: {outcome: 'accepted', version: signed.version},
		}),
	];
}

function reportUnknownOutcome(state: EntryState, id: string, pending: PendingAcceptance): Output[] {
	state.bundle.pendingAcceptances.delete(id);
	return [restartEvent({
		kind: 'operator-answered',
		callId: pending.callId,
		status: 504,
		body: {outcome: 'unknown', message: 'the store does not answer; the bundle history shows later whether the version was accepted'},
	})];
}

function rejectCall(call: ApplyCall, status: number, reason: string): Output[] {
	return [
		passEvent({
			kind: 'audit-event', by: call.operator, action: 'bundle-apply', subject: `version ${call.signed.version}`, result: 'refused', detail: reason,
		}),
		restartEvent({
			kind: 'operator-answered', callId: call.callId, status, body: {outcome: 'refused', message: reason},
		}),
	];
}
