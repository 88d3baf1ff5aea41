import {storeKeys, type EventOf} from '@pistachiogauge/model';
import {
	emitEffect, passEvent, restartEvent, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {applyBundle, applyHead, parseHead} from './bundle-head.js';
import {addHistory, getTextKey, parseHistory} from './bundle-history.js';
import {type PendingAcceptance} from './bundle-state.js';
import {findReplacementConflict} from './check-replacement.js';

/** @internal */
export const acceptPrefixes = {
	write: 'bundle:apply:',
	settle: 'bundle:settle:',
	find: 'bundle:find:',
} as const;

/** Times that a write without an answer is sent before the operator is told that the outcome is unknown. */
const writeLimit = 3;

type StoreAnswer = EventOf<'store-answered'>;
type ApplyCall = Omit<PendingAcceptance, 'headRevision' | 'writeCount'>;

/** Checks an operator's bundle and asks the store to accept it. @internal */
export function requestAcceptance(state: EntryState, call: ApplyCall, context: DecisionContext): Output[] {
	const {bundle} = state;
	const fault = findFault(state, call, context);
	if (fault !== undefined) {
		return refuse(call, fault.status, fault.reason);
	}

	bundle.operationCount += 1;
	const id = String(bundle.operationCount);
	const pending: PendingAcceptance = {...call, headRevision: bundle.headRevision!, writeCount: 0};
	bundle.pending.set(id, pending);
	return [sendWrite(id, pending)];
}

function findFault(state: EntryState, call: ApplyCall, context: DecisionContext): {status: number; reason: string} | undefined {
	const {bundle, config} = state;
	const reading = config.readBundle(call.signed);
	if (reading.kind === 'invalid') {
		return {status: 422, reason: reading.reason};
	}

	const next = reading.bundle;
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
		operationId: `${acceptPrefixes.write}${id}`,
		key: storeKeys.bundleHead,
		value: JSON.stringify({...pending.signed, nonce: pending.nonce}),
		condition: pending.headRevision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision: pending.headRevision},
		isLeased: false,
	});
}

/** Takes the answer to the write. Without one, the head record decides. @internal */
export function settleWrite(state: EntryState, id: string, answer: StoreAnswer, context: DecisionContext): Output[] {
	const pending = state.bundle.pending.get(id);
	if (pending === undefined) {
		return [];
	}

	const [entry] = answer.entries;
	if (answer.result === 'applied' && entry !== undefined) {
		state.bundle.headRevision = entry.revision;
		return finishAcceptance(state, id, pending, context);
	}

	return [emitEffect({
		kind: 'read-store', operationId: `${acceptPrefixes.settle}${id}`, key: storeKeys.bundleHead, isPrefix: false,
	})];
}

/** Decides by the head record whether a write without a positive answer took effect. @internal */
export function settleRead(state: EntryState, id: string, answer: StoreAnswer, context: DecisionContext): Output[] {
	const pending = state.bundle.pending.get(id);
	if (pending === undefined) {
		return [];
	}

	if (answer.result !== 'applied') {
		return answerUnknown(state, id, pending);
	}

	const [entry] = answer.entries;
	const head = parseHead(entry);
	if (head?.nonce === pending.nonce || isSame(head, pending)) {
		state.bundle.headRevision = entry!.revision;
		return finishAcceptance(state, id, pending, context);
	}

	// The write may still be under way. The same condition lets only one of the two take effect.
	if ((entry?.revision ?? 0) === pending.headRevision) {
		return pending.writeCount < writeLimit ? [sendWrite(id, pending)] : answerUnknown(state, id, pending);
	}

	const outputs = applyHead(state, entry, context);
	if (head !== undefined && head.version > pending.signed.version) {
		// This version may have been accepted and then replaced; the history shows it.
		return [...outputs, emitEffect({
			kind: 'read-store', operationId: `${acceptPrefixes.find}${id}`, key: getTextKey(pending.signed.version), isPrefix: false,
		})];
	}

	state.bundle.pending.delete(id);
	return [...outputs, ...refuse(pending, 409, `version ${head?.version ?? 0} by ${head?.signedBy ?? 'nobody'} was accepted first`)];
}

/** Decides by the history whether a version was accepted that is no longer the head. @internal */
export function settleHistory(state: EntryState, id: string, answer: StoreAnswer, context: DecisionContext): Output[] {
	const pending = state.bundle.pending.get(id);
	if (pending === undefined) {
		return [];
	}

	const found = parseHistory(answer.entries[0]?.value ?? '');
	if (found === undefined) {
		return answerUnknown(state, id, pending);
	}

	if (isSame(found, pending)) {
		return finishAcceptance(state, id, pending, context);
	}

	state.bundle.pending.delete(id);
	return refuse(pending, 409, `version ${found.version} by ${found.signedBy} was accepted first`);
}

function isSame(found: {readonly version: number; readonly text: string; readonly signature: string} | undefined, {signed}: PendingAcceptance): boolean {
	return found?.version === signed.version && found.text === signed.text && found.signature === signed.signature;
}

function finishAcceptance(state: EntryState, id: string, pending: PendingAcceptance, context: DecisionContext): Output[] {
	const {signed, operator, callId} = pending;
	state.bundle.pending.delete(id);
	addHistory(state, signed, {acceptedAt: context.wallTime, acceptedBy: operator});
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

function answerUnknown(state: EntryState, id: string, pending: PendingAcceptance): Output[] {
	state.bundle.pending.delete(id);
	return [restartEvent({
		kind: 'operator-answered',
		callId: pending.callId,
		status: 504,
		body: {outcome: 'unknown', message: 'the store does not answer; the bundle history shows later whether the version was accepted'},
	})];
}

function refuse(call: ApplyCall, status: number, reason: string): Output[] {
	return [
		passEvent({
			kind: 'audit-event', by: call.operator, action: 'bundle-apply', subject: `version ${call.signed.version}`, result: 'refused', detail: reason,
		}),
		restartEvent({
			kind: 'operator-answered', callId: call.callId, status, body: {outcome: 'refused', message: reason},
		}),
	];
}
