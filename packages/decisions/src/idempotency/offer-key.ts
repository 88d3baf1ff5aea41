import {type EventOf, type RequestResult} from '@pistachiogauge/model';
import {passEvent, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {checkKey} from './check-key.js';
import {
	type KeyRecord, type KeyWaiter, type ParkedOffer, type PoolKeys,
} from './idempotency-state.js';
import {
	addKey, computeFingerprint, createAnswer, getPoolKeys,
} from './key-records.js';
import {sendReservation} from './reserve-key.js';

/** Decides whether an offered request runs, joins a running one, gets a known result or is refused. @internal */
export function acceptOffer(state: EntryState, event: EventOf<'request-submitted'>, context: DecisionContext): Output[] {
	const {request, receiver, pool} = event;
	if (request.isIdempotent) {
		return [passEvent({
			kind: 'request-deduplicated', request, receiver, pool,
		})];
	}

	return offerKey(state, pool, {request, receiver, deadlineAt: context.now + request.timeLeftMs}, context);
}

/** Judges the offers again that have waited for the former owner's keys. @internal */
export function releaseParked(state: EntryState, pool: string, context: DecisionContext): Output[] {
	const pooled = getPoolKeys(state, pool);
	pooled.handoverUntil = undefined;
	return pooled.parked.splice(0).flatMap(offer => offerKey(state, pool, offer, context));
}

function offerKey(state: EntryState, pool: string, offer: ParkedOffer, context: DecisionContext): Output[] {
	const {request} = offer;
	const key = request.key ?? '';
	const pooled = getPoolKeys(state, pool);
	const known = pooled.keys.get(key);
	if (known !== undefined) {
		return addKeyWaiter(state, known, offer);
	}

	const verdict = checkKey(state, pooled, request.service, key, context);
	if (verdict.kind === 'refused') {
		return [refuseOffer(offer, verdict.result)];
	}

	if (verdict.kind === 'uncovered') {
		return keepOffer(pooled, offer);
	}

	state.idempotency.reservationCount += 1;
	const record = addKey(state, pool, {
		key, fingerprint: computeFingerprint(request), reservation: `${state.config.id}:${state.idempotency.reservationCount}`,
	}, 'reserving');
	record.request = request;
	addWaiter(state, record, offer);
	return sendReservation(state, record, context);
}

function addKeyWaiter(state: EntryState, known: KeyRecord, offer: ParkedOffer): Output[] {
	const {request, receiver} = offer;
	const address = {receiver, requestId: request.requestId};
	if (known.fingerprint !== '' && known.fingerprint !== computeFingerprint(request)) {
		return [createAnswer(address, createNotRunResult('key-reused'))];
	}

	if (known.result !== undefined) {
		return [createAnswer(address, known.result)];
	}

	if (known.request === undefined && known.runsAt === undefined) {
		const pooled = getPoolKeys(state, known.pool);
		if (pooled.handoverUntil !== undefined) {
			pooled.parked.push(offer);
			return [];
		}

		// Reserved by a lost owner that may have sent it.
		return [createAnswer(address, createUnknownResult('connection-lost'))];
	}

	addWaiter(state, known, offer);
	if (known.runsAt !== undefined) {
		state.idempotency.attended.add(known);
	}

	return [];
}

function addWaiter(state: EntryState, record: KeyRecord, {request, receiver, deadlineAt}: ParkedOffer): void {
	const waiter: KeyWaiter = {receiver, requestId: request.requestId, deadlineAt};
	if (!record.waiters.some(other => other.requestId === waiter.requestId)) {
		record.waiters.push(waiter);
		state.idempotency.keyByRequest.set(waiter.requestId, record);
	}
}

function keepOffer(pooled: PoolKeys, offer: ParkedOffer): Output[] {
	if (pooled.handoverUntil === undefined) {
		return [refuseOffer(offer, createUnknownResult('key-not-covered'))];
	}

	pooled.parked.push(offer);
	return [];
}

function refuseOffer({request, receiver}: ParkedOffer, result: RequestResult): Output {
	return restartEvent({
		kind: 'request-ended', requestId: request.requestId, result, receiver,
	});
}
