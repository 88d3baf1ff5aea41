import {appendItems} from '@pistachiogauge/chain';
import {type EventOf} from '@pistachiogauge/model';
import {
	emitEffect, passEvent, restartEvent, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {type KeyRecord} from './idempotency-state.js';
import {addKey, getPoolKeys, settleRecord} from './key-records.js';

/** Interval after which a reservation is sent again, in case the message or its acknowledgement was lost. */
const reservationRetryIntervalMs = 250;
/** Maximum wait for a standby's acknowledgement; after the loss of a standby the next epoch assigns another within about two seconds. */
const reservationTimeoutMs = 5000;
/** A request is refused this long before its deadline, so that the refusal reaches the caller in time. */
const refusalMarginMs = 250;
const retryAfterMs = 1000;

/** Reserves a key at the standby; without a standby the request is passed on immediately. @internal */
export function sendReservation(state: EntryState, record: KeyRecord, context: DecisionContext): Output[] {
	const epochRecord = state.membership.record!;
	const standby = epochRecord.pools[record.pool]?.standby;
	if (standby === undefined) {
		return confirmReservation(state, record, context);
	}

	if (record.reservationDeadlineAt === 0) {
		const deadlineAt = record.waiters[0]?.deadlineAt ?? context.now;
		record.reservationDeadlineAt = Math.min(context.now + reservationTimeoutMs, deadlineAt - Math.min(refusalMarginMs, (deadlineAt - context.now) / 4));
	}

	state.idempotency.awaitingPeer.add(record);
	record.reservationSentAt = context.now;
	return [emitEffect({
		kind: 'send-peer',
		to: standby,
		message: {
			kind: 'key-reserve',
			epoch: epochRecord.epoch,
			pool: record.pool,
			key: record.key,
			fingerprint: record.fingerprint,
			reservation: record.reservation,
			ownerTime: state.idempotency.latestWallTime,
		},
	})];
}

/** Resends reservations that the standby has not acknowledged; after the reservation deadline, refuses their requests instead, none of which was sent to an endpoint. @internal */
export function retryReservations(state: EntryState, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const record of state.idempotency.awaitingPeer) {
		if (record.stage !== 'reserving') {
			continue;
		}

		const [first] = record.waiters;
		if (first === undefined || context.now >= record.reservationDeadlineAt) {
			outputs.push(refuseReservation(record));
			continue;
		}

		if (context.now - record.reservationSentAt >= reservationRetryIntervalMs) {
			appendItems(outputs, sendReservation(state, record, context));
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

	const poolKeys = getPoolKeys(state, pool);
	// From the first reservation on, the owner sends no request to an endpoint whose key this standby does not know. The coverage
	// starts at the owner's time, because the owner has accepted earlier keys by its own clock.
	poolKeys.coverageSince ??= ownerTime;
	const known = poolKeys.keys.get(key);
	// The owner may replace its own reservations. The request of a reservation made by a former owner may have run.
	const isKnown = known !== undefined && known.reservation !== reservation
		&& (known.stage === 'settled' || getReservingEntry(known.reservation) !== event.from);
	if (known === undefined) {
		addKey(state, pool, {key, fingerprint, reservation}, 'reserved');
	} else if (!isKnown && known.stage !== 'settled') {
		known.reservation = reservation;
	}

	return [emitEffect({
		kind: 'send-peer',
		to: event.from,
		message: {
			kind: 'key-reserved', epoch, pool, key, reservation, isKnown: isKnown ? true : undefined, isCopyMissing: poolKeys.hasFullCopy ? undefined : true,
		},
	})];
}

/** Passes the request on once the standby has acknowledged its key. @internal */
export function acceptAcknowledgement(state: EntryState, event: EventOf<'peer-key-reserved'>, context: DecisionContext): Output[] {
	const {epoch, pool, key, reservation, isKnown, isCopyMissing} = event.message;
	const {record: epochRecord} = state.membership;
	if (epochRecord?.epoch !== epoch || epochRecord.pools[pool]?.standby !== event.from) {
		return [];
	}

	const poolKeys = getPoolKeys(state, pool);
	if (isCopyMissing === true && poolKeys.role === 'owner') {
		poolKeys.replicationPeer = undefined;
	}

	const record = poolKeys.keys.get(key);
	if (record?.stage !== 'reserving' || record.reservation !== reservation) {
		return [];
	}

	return isKnown === true ? settleRecord(state, record, createUnknownResult('connection-lost')) : confirmReservation(state, record, context);
}

function getReservingEntry(reservation: string): string {
	return reservation.slice(0, reservation.lastIndexOf(':'));
}

function confirmReservation(state: EntryState, record: KeyRecord, context: DecisionContext): Output[] {
	record.stage = 'reserved';
	state.idempotency.awaitingPeer.delete(record);
	return passRequest(record, context);
}

/** Passes the request on with the time that is left until its deadline. @internal */
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
