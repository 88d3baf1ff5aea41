import {
	poolRecordSchema, storeKeys, type EventOf, type PoolName, type PoolRecord,
} from '@pistachiogauge/model';
import {
	emitEffect, passEvent, restartEvent, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {createChangeEvents} from './change-events.js';
import {type FleetOperation, type OwnedPool, type PendingWrite} from './fleet-state.js';

const retryPauseMs = 500;
/** A planned stop that was decided longer ago is decided anew: instances may have failed meanwhile. */
const decisionLimitMs = 1000;
/** An operator's call is answered as unknown after this time; the entry's HTTP server gives up at 10 s. */
const callLimitMs = 5000;

type StoreAnswer = EventOf<'store-answered'>;

/** Registers a store operation for a pool and returns its id. Answers to any other operation of the pool are ignored. @internal */
export function registerOperation(state: EntryState, owned: OwnedPool, operation: Omit<FleetOperation, 'sentAt'>, context: DecisionContext): string {
	state.fleet.operationCount += 1;
	const operationId = `fleet:${operation.kind}:${operation.pool}:${state.fleet.operationCount}`;
	state.fleet.operations.set(operationId, {...operation, sentAt: context.now});
	owned.pendingOperation = operationId;
	return operationId;
}

/**
Starts the write of a changed pool record.

The write counts as undecided until the store confirms it or the record is read back, and no other write of the record starts meanwhile.

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
		...change, text: JSON.stringify(change.record), startedAt: context.now, hasAnswered: false,
	};
	return sendWrite(state, pool, owned, context);
}

function sendWrite(state: EntryState, pool: PoolName, owned: OwnedPool, context: DecisionContext): Output[] {
	return [emitEffect({
		kind: 'write-store',
		operationId: registerOperation(state, owned, {kind: 'record-write', pool}, context),
		key: `${storeKeys.poolsPrefix}${pool}`,
		value: owned.pendingWrite!.text,
		condition: {kind: 'unchanged', revision: owned.revision},
		isLeased: false,
	})];
}

/** Settles a write by the store's answer; any answer but success is checked by reading the record back. @internal */
export function settleWrite(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const revision = answer.entries[0]?.revision;
	if (answer.result === 'applied' && revision !== undefined) {
		return finishWrite(pool, owned, revision);
	}

	if (answer.result === 'conflict') {
		return readRecord(state, pool, owned, context);
	}

	owned.nextTryAt = context.now + retryPauseMs;
	return [];
}

/** Reads the record back after a pause, while a write is undecided. @internal */
export function retryWrite(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const outputs = expireCalls(owned, context);
	if (owned.pendingWrite === undefined || owned.pendingOperation !== undefined || context.now < owned.nextTryAt) {
		return outputs;
	}

	return [...outputs, ...readRecord(state, pool, owned, context)];
}

/** Reads the record of a pool, to settle a write or to see that the store still holds it. @internal */
export function readRecord(state: EntryState, pool: PoolName, owned: OwnedPool, context: DecisionContext): Output[] {
	return [emitEffect({
		kind: 'read-store', operationId: registerOperation(state, owned, {kind: 'record-read', pool}, context), key: `${storeKeys.poolsPrefix}${pool}`, isPrefix: false,
	})];
}

/** Decides an unanswered write by what the store holds, and finds a record that has changed without one. @internal */
export function settleRead(state: EntryState, pool: PoolName, answer: StoreAnswer, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const write = owned.pendingWrite;
	if (answer.result !== 'applied') {
		owned.nextTryAt = context.now + retryPauseMs;
		return [];
	}

	const [entry] = answer.entries;
	if (write !== undefined && entry?.value === write.text) {
		return finishWrite(pool, owned, entry.revision);
	}

	if (entry?.revision === owned.revision) {
		if (write === undefined) {
			return [];
		}

		if (isOutdated(owned, write, context)) {
			replaceWrite(owned, write, context);
		}

		// The write may still be under way. The same condition lets only one of the two take effect.
		return sendWrite(state, pool, owned, context);
	}

	return loseRecord(owned, entry === undefined ? undefined : poolRecordSchema.safeParse(parseJson(entry.value)).data);
}

/** Whether a write takes an instance out of service on evidence that may no longer hold. */
function isOutdated(owned: OwnedPool, write: PendingWrite, context: DecisionContext): boolean {
	const hasNewPermit = Object.keys(write.record.permits).some(id => owned.record?.permits[id] === undefined);
	return hasNewPermit && context.now - write.startedAt > decisionLimitMs;
}

/** Replaces a write by one that changes nothing. Once that has taken effect, the former write no longer can. */
function replaceWrite(owned: OwnedPool, write: PendingWrite, context: DecisionContext): void {
	const record = {...owned.record!, withdrawals: (owned.record!.withdrawals ?? 0) + 1};
	owned.pendingWrite = {
		record, text: JSON.stringify(record), calls: [], startedAt: context.now, withdrawn: {record: write.record, calls: write.calls}, hasAnswered: write.hasAnswered,
	};
}

function finishWrite(pool: PoolName, owned: OwnedPool, revision: number): Output[] {
	const write = owned.pendingWrite!;
	const changes = createChangeEvents(pool, owned.record!, write.record);
	owned.record = write.record;
	owned.revision = revision;
	owned.pendingWrite = undefined;
	const answers = write.calls.flatMap(({call, body, detail}) => [
		createAuditEvent(call, 'done', detail),
		...(write.hasAnswered
			? []
			: [restartEvent({
				kind: 'operator-answered', callId: call.callId, status: 200, body,
			})]),
	]);
	const reason = 'the store did not answer in time; nothing was done';
	const refusals = (write.withdrawn?.calls ?? []).flatMap(({call}) =>
		write.hasAnswered ? [createAuditEvent(call, 'refused', reason)] : refuseCall(call, 503, reason));
	return [...answers, ...refusals, ...changes];
}

/** The record has changed under this owner: another entry has fenced the pool, or the store was restored. Nothing is sent until the pool is fenced anew. */
function loseRecord(owned: OwnedPool, found: PoolRecord | undefined): Output[] {
	const calls = owned.pendingWrite === undefined ? [] : listCalls(owned.pendingWrite);
	const hasAnswered = owned.pendingWrite?.hasAnswered === true;
	owned.isFenced = false;
	owned.pendingWrite = undefined;
	const reason = `entry ${found?.owner ?? 'unknown'} has changed the pool's record; nothing was done`;
	return [
		emitEffect({kind: 'count', metric: 'pool_records_lost_total', by: 1}),
		...calls.flatMap(({call}) => hasAnswered ? [createAuditEvent(call, 'refused', reason)] : refuseCall(call, 409, reason)),
	];
}

/** Calls that an open write decides: those it carries out and those it withdraws. */
function listCalls(write: PendingWrite): PendingWrite['calls'] {
	return [...write.calls, ...write.withdrawn?.calls ?? []];
}

/** Answers calls that have waited too long; the write itself goes on and stays undecided. */
function expireCalls(owned: OwnedPool, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	const write = owned.pendingWrite;
	if (write !== undefined && !write.hasAnswered && context.now - write.startedAt > callLimitMs) {
		write.hasAnswered = true;
		outputs.push(...listCalls(write).map(({call}) => restartEvent({
			kind: 'operator-answered', callId: call.callId, status: 504, body: {outcome: 'unknown', message: 'the store does not answer; see the status of the pool later'},
		})));
	}

	const late = owned.calls.filter(call => context.now - call.at > callLimitMs);
	owned.calls = owned.calls.filter(call => !late.includes(call));
	outputs.push(...late.flatMap(call => refuseCall(call, 503, 'an earlier change of the pool waits for the store; nothing was done')));
	return outputs;
}

/** Answers a call as refused and records that. @internal */
export function refuseCall(call: Parameters<typeof createAuditEvent>[0], status: number, reason: string): Output[] {
	return [
		createAuditEvent(call, 'refused', reason),
		restartEvent({
			kind: 'operator-answered', callId: call.callId, status, body: {outcome: 'refused', message: reason},
		}),
	];
}

/** Creates the audit event of an operator's call. @internal */
export function createAuditEvent(
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
