import {appendItems} from '@pistachiogauge/chain';
import {
	poolRecordSchema, storeKeys, type EventOf, type PoolName, type PoolRecord,
} from '@pistachiogauge/model';
import {
	emitEffect, passEvent, restartEvent, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {createRecordAuditEvents} from './record-audit-events.js';
import {type FleetOperation, type OwnedPool, type PendingWrite} from './fleet-state.js';

const retryDelayMs = 500;
/** A planned stop that was decided longer ago is withdrawn, because instances may have failed in the meantime. */
const maxDecisionAgeMs = 1000;
/** An operator call is answered as unknown after this time; the entry's HTTP server times out after 10 s. */
const callTimeoutMs = 5000;

type StoreAnswer = EventOf<'store-answered'>;

/** Registers the pending store operation of a pool and returns its id. It supersedes any earlier one, whose answer is then ignored. @internal */
export function registerOperation(state: EntryState, owned: OwnedPool, operation: Omit<FleetOperation, 'sentAt'>, context: DecisionContext): string {
	state.fleet.operationCount += 1;
	const operationId = `fleet:${operation.kind}:${operation.pool}:${state.fleet.operationCount}`;
	state.fleet.operations.set(operationId, {...operation, sentAt: context.now});
	owned.pendingOperation = operationId;
	return operationId;
}

/**
Starts the write of a changed pool record.

The outcome is unknown until the store confirms the write or the record is read back. No other write of the record starts before that.

@internal
*/
export function startWrite(
	state: EntryState,
	pool: PoolName,
	change: {readonly record: PoolRecord; readonly calls: PendingWrite['calls']},
	context: DecisionContext,
): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	owned.pendingWrite = {
		...change, recordJson: JSON.stringify(change.record), startedAt: context.now, hasAnsweredCalls: false,
	};
	return sendWrite(state, pool, owned, context);
}

function sendWrite(state: EntryState, pool: PoolName, owned: OwnedPool, context: DecisionContext): Output[] {
	return [emitEffect({
		kind: 'write-store',
		operationId: registerOperation(state, owned, {kind: 'record-write', pool}, context),
		key: `${storeKeys.poolsPrefix}${pool}`,
		value: owned.pendingWrite!.recordJson,
		condition: {kind: 'unchanged', revision: owned.revision},
		isLeased: false,
	})];
}

/** Handles the store's answer to a write. Anything but success is resolved by reading the record back. @internal */
export function handleWriteAnswer(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const revision = answer.entries[0]?.revision;
	if (answer.result === 'applied' && revision !== undefined) {
		return confirmWrite(pool, owned, revision);
	}

	if (answer.result === 'conflict') {
		return readRecord(state, pool, owned, context);
	}

	owned.nextStoreRetryAt = context.now + retryDelayMs;
	return [];
}

/** Answers calls that have timed out, and reads the record back after a delay while the outcome of a write is unknown. @internal */
export function retryWrite(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const outputs = expireCalls(owned, context);
	if (owned.pendingWrite === undefined || owned.pendingOperation !== undefined || context.now < owned.nextStoreRetryAt) {
		return outputs;
	}

	return [...outputs, ...readRecord(state, pool, owned, context)];
}

/** Reads the record of a pool, to resolve a write or to check that the store still holds it. @internal */
export function readRecord(state: EntryState, pool: PoolName, owned: OwnedPool, context: DecisionContext): Output[] {
	return [emitEffect({
		kind: 'read-store', operationId: registerOperation(state, owned, {kind: 'record-read', pool}, context), key: `${storeKeys.poolsPrefix}${pool}`, isPrefix: false,
	})];
}

/** Resolves an unanswered write by the stored record, and detects a record that someone else has changed. @internal */
export function handleReadAnswer(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const write = owned.pendingWrite;
	if (answer.result !== 'applied') {
		owned.nextStoreRetryAt = context.now + retryDelayMs;
		return [];
	}

	const [entry] = answer.entries;
	if (write !== undefined && entry?.value === write.recordJson) {
		return confirmWrite(pool, owned, entry.revision);
	}

	if (entry?.revision === owned.revision) {
		if (write === undefined) {
			return [];
		}

		if (isDecisionOutdated(owned, write, context)) {
			withdrawWrite(owned, write, context);
		}

		// The earlier write may still be in flight. Both have the same revision as their condition, so only one can take effect.
		return sendWrite(state, pool, owned, context);
	}

	return handleRecordConflict(owned, entry === undefined ? undefined : poolRecordSchema.safeParse(parseJson(entry.value)).data);
}

/** Whether a write takes an instance out of service on observations that may be outdated. */
function isDecisionOutdated(owned: OwnedPool, write: PendingWrite, context: DecisionContext): boolean {
	const hasNewPermit = Object.keys(write.record.permits).some(id => owned.record?.permits[id] === undefined);
	return hasNewPermit && context.now - write.startedAt > maxDecisionAgeMs;
}

/** Replaces a write by one that only increments `withdrawals`. Once that has taken effect, the earlier write no longer can. */
function withdrawWrite(owned: OwnedPool, write: PendingWrite, context: DecisionContext): void {
	const record = {...owned.record!, withdrawals: (owned.record!.withdrawals ?? 0) + 1};
	owned.pendingWrite = {
		record, recordJson: JSON.stringify(record), calls: [], startedAt: context.now, withdrawnChange: {record: write.record, calls: write.calls}, hasAnsweredCalls: write.hasAnsweredCalls,
	};
}

function confirmWrite(pool: PoolName, owned: OwnedPool, revision: number): Output[] {
	const write = owned.pendingWrite!;
	const auditEvents = createRecordAuditEvents(pool, owned.record!, write.record);
	owned.record = write.record;
	owned.revision = revision;
	owned.pendingWrite = undefined;
	const answers = write.calls.flatMap(({call, body, detail}) => [
		createCallAuditEvent(call, 'done', detail),
		...(write.hasAnsweredCalls
			? []
			: [restartEvent({
				kind: 'operator-answered', callId: call.callId, status: 200, body,
			})]),
	]);
	const reason = 'the store did not answer in time; nothing was done';
	const refusals = (write.withdrawnChange?.calls ?? []).flatMap(({call}) =>
		write.hasAnsweredCalls ? [createCallAuditEvent(call, 'refused', reason)] : rejectCall(call, 503, reason));
	return [...answers, ...refusals, ...auditEvents];
}

/** Handles a record that was changed by someone else: another entry has fenced the pool, or the store was restored. The pool gets no work until it is fenced again. */
function handleRecordConflict(owned: OwnedPool, found: PoolRecord | undefined): Output[] {
	const calls = owned.pendingWrite === undefined ? [] : listUndecidedCalls(owned.pendingWrite);
	const hasAnsweredCalls = owned.pendingWrite?.hasAnsweredCalls === true;
	owned.isFenced = false;
	owned.pendingWrite = undefined;
	const reason = `entry ${found?.owner ?? 'unknown'} has changed the pool's record; nothing was done`;
	return [
		emitEffect({kind: 'count', metric: 'pool_records_lost_total', by: 1}),
		...calls.flatMap(({call}) => hasAnsweredCalls ? [createCallAuditEvent(call, 'refused', reason)] : rejectCall(call, 409, reason)),
	];
}

/** Lists the calls whose outcome depends on a pending write: those it carries out and those it withdraws. */
function listUndecidedCalls(write: PendingWrite): PendingWrite['calls'] {
	return [...write.calls, ...write.withdrawnChange?.calls ?? []];
}

/** Answers calls that have timed out. The write itself stays pending. */
function expireCalls(owned: OwnedPool, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	const write = owned.pendingWrite;
	if (write !== undefined && !write.hasAnsweredCalls && context.now - write.startedAt > callTimeoutMs) {
		write.hasAnsweredCalls = true;
		appendItems(outputs, listUndecidedCalls(write).map(({call}) => restartEvent({
			kind: 'operator-answered', callId: call.callId, status: 504, body: {outcome: 'unknown', message: 'the store does not answer; see the status of the pool later'},
		})));
	}

	const expiredCalls = owned.calls.filter(call => context.now - call.receivedAt > callTimeoutMs);
	owned.calls = owned.calls.filter(call => !expiredCalls.includes(call));
	appendItems(outputs, expiredCalls.flatMap(call => rejectCall(call, 503, 'an earlier change of the pool waits for the store; nothing was done')));
	return outputs;
}

/** Answers an operator call as refused and records the refusal in the audit trail. @internal */
export function rejectCall(call: Parameters<typeof createCallAuditEvent>[0], status: number, reason: string): Output[] {
	return [
		createCallAuditEvent(call, 'refused', reason),
		restartEvent({
			kind: 'operator-answered', callId: call.callId, status, body: {outcome: 'refused', message: reason},
		}),
	];
}

/** Creates the audit event of an operator call; its subject names the pool and the instance of the command, if any. @internal */
export function createCallAuditEvent(
	call: {readonly callId: string; readonly operator: string; readonly command: EventOf<'operator-called'>['command']},
	result: 'done' | 'refused',
	detail: string,
): Output {
	const {command} = call;
	const pool = 'pool' in command && command.pool !== undefined ? `pool ${command.pool}` : '';
	const instance = 'instance' in command ? ` instance ${command.instance}` : '';
	return passEvent({
		kind: 'audit-event', by: call.operator, action: command.command, subject: `${pool}${instance}`, result, detail,
	});
}
