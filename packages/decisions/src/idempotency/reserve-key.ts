import {type EventOf} from '@pistachiogauge/model';
import {
	emitEffect, passEvent, restartEvent, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {type KeyRecord} from './idempotency-state.js';
import {addKey, getPoolKeys, settleRecord} from './key-records.js';

/** A reservation is repeated after this time, in case the message or its answer was lost. */
const reserveRetryMs = 250;
/** Longest wait for a standby; the next epoch names another within about two seconds. */
const reserveLimitMs = 5000;
/** The refusal leaves this time before the deadline for its way to the caller. */
const refusalMarginMs = 250;
const retryAfterMs = 1000;

/** Reserves a key at the standby; without a standby the request runs at once. @internal */
export function sendReservation(state: EntryState, record: KeyRecord, context: DecisionContext): Output[] {
	const epoch = state.membership.record!;
	const standby = epoch.pools[record.pool]?.standby;
	if (standby === undefined) {
		return passKey(state, record, context);
	}

	if (record.refuseAt === 0) {
		const deadlineAt = record.waiters[0]?.deadlineAt ?? context.now;
		record.refuseAt = Math.min(context.now + reserveLimitMs, deadlineAt - Math.min(refusalMarginMs, (deadlineAt - context.now) / 4));
	}

	state.idempotency.attended.add(record);
	record.reserveSentAt = context.now;
	return [emitEffect({
		kind: 'send-peer',
		to: standby,
		message: {
			kind: 'key-reserve',
			epoch: epoch.epoch,
			pool: record.pool,
			key: record.key,
			fingerprint: record.fingerprint,
			reservation: record.reservation,
			ownerTime: state.idempotency.latestWallTime,
		},
	})];
}

/** Repeats or gives up reservations that the standby has not acknowledged. Nothing of them was sent. @internal */
export function retryReservations(state: EntryState, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const record of state.idempotency.attended) {
		if (record.stage !== 'reserving') {
			continue;
		}

		const [first] = record.waiters;
		if (first === undefined || context.now >= record.refuseAt) {
			outputs.push(refuseReservation(record));
			continue;
		}

		if (context.now - record.reserveSentAt >= reserveRetryMs) {
			outputs.push(...sendReservation(state, record, context));
		}
	}

	return outputs;
}

/** Reserves a key at this standby on behalf of the owner. @internal */
export function acceptReservation(state: EntryState, event: EventOf<'peer-key-reserve'>): Output[] {
	const {epoch, pool, key, fingerprint, reservation, ownerTime} = event.message;
	const {record} = state.membership;
	const assignment = record?.pools[pool];
	if (record?.epoch !== epoch || assignment?.owner !== event.from || assignment.standby !== state.config.id) {
		return [];
	}

	const pooled = getPoolKeys(state, pool);
	// From the first reservation on, the owner sends nothing new that this standby does not know. The owner's clock counts,
	// because it is the one by which the owner accepted earlier keys.
	pooled.coverageSince ??= ownerTime;
	const known = pooled.keys.get(key);
	// The owner decides about its own reservations. One of a former owner that it does not know may have run.
	const isKnown = known !== undefined && known.reservation !== reservation
		&& (known.stage === 'settled' || getReserver(known.reservation) !== event.from);
	if (known === undefined) {
		addKey(state, pool, {key, fingerprint, reservation}, 'reserved');
	} else if (!isKnown && known.stage !== 'settled') {
		known.reservation = reservation;
	}

	return [emitEffect({
		kind: 'send-peer',
		to: event.from,
		message: {
			kind: 'key-reserved', epoch, pool, key, reservation, isKnown: isKnown ? true : undefined, isCopyMissing: pooled.isCopied ? undefined : true,
		},
	})];
}

/** Lets the request run once the standby knows its key. @internal */
export function acceptAcknowledgement(state: EntryState, event: EventOf<'peer-key-reserved'>, context: DecisionContext): Output[] {
	const {epoch, pool, key, reservation, isKnown, isCopyMissing} = event.message;
	const {record: epochRecord} = state.membership;
	if (epochRecord?.epoch !== epoch || epochRecord.pools[pool]?.standby !== event.from) {
		return [];
	}

	const pooled = getPoolKeys(state, pool);
	if (isCopyMissing === true && pooled.role === 'owner') {
		pooled.partner = undefined;
	}

	const record = pooled.keys.get(key);
	if (record?.stage !== 'reserving' || record.reservation !== reservation) {
		return [];
	}

	return isKnown === true ? settleRecord(state, record, createUnknownResult('connection-lost')) : passKey(state, record, context);
}

function getReserver(reservation: string): string {
	return reservation.slice(0, reservation.lastIndexOf(':'));
}

function passKey(state: EntryState, record: KeyRecord, context: DecisionContext): Output[] {
	record.stage = 'reserved';
	state.idempotency.attended.delete(record);
	return passRequest(record, context);
}

/** Hands the request on with the time that is left of its deadline. @internal */
export function passRequest(record: KeyRecord, context: DecisionContext): Output[] {
	const [first] = record.waiters;
	if (record.request === undefined || first === undefined) {
		return [];
	}

	return [passEvent({
		kind: 'request-deduplicated',
		request: {...record.request, timeLeftMs: first.deadlineAt - context.now},
		receiver: first.receiver,
		pool: record.pool,
	})];
}

function refuseReservation(record: KeyRecord): Output {
	const [first] = record.waiters;
	return restartEvent({
		kind: 'request-ended',
		requestId: record.request?.requestId ?? '',
		receiver: first?.receiver ?? '',
		result: createNotRunResult('standby-unreachable', retryAfterMs),
	});
}
