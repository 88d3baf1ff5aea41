import {type EventOf, type RequestResult} from '@pistachiogauge/model';
import {passEvent, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {checkKey} from './check-key.js';
import {
	type KeyRecord, type KeyWaiter, type SubmittedRequest, type PoolKeys,
} from './idempotency-state.js';
import {
	addKey, computeFingerprint, createResultEvent, getPoolKeys,
} from './key-records.js';
import {sendReservation} from './reserve-key.js';

/** Decides whether a submitted request runs, waits for one with the same key, gets a known result or is refused. @internal */
export function acceptRequest(state: EntryState, event: EventOf<'request-submitted'>, context: DecisionContext): Output[] {
	const {request, receiver, pool} = event;
	if (request.isIdempotent) {
		return [passEvent({
			kind: 'request-deduplicated', request, receiver, pool,
		})];
	}

	return acceptKeyedRequest(state, pool, {request, receiver, deadlineAt: context.now + request.timeLeftMs}, context);
}

/** Ends the wait for the former owner's keys and decides again about the requests that waited. @internal */
export function resumeWaitingRequests(state: EntryState, pool: string, context: DecisionContext): Output[] {
	const poolKeys = getPoolKeys(state, pool);
	poolKeys.handoverUntil = undefined;
	return poolKeys.waitingForHandover.splice(0).flatMap(submitted => acceptKeyedRequest(state, pool, submitted, context));
}

function acceptKeyedRequest(state: EntryState, pool: string, submitted: SubmittedRequest, context: DecisionContext): Output[] {
	const {request} = submitted;
	const key = request.key ?? '';
	const poolKeys = getPoolKeys(state, pool);
	const known = poolKeys.keys.get(key);
	if (known !== undefined) {
		return joinKnownKey(state, known, submitted);
	}

	const checkResult = checkKey(state, poolKeys, request.service, key, context);
	if (checkResult.kind === 'refused') {
		return [refuseRequest(submitted, checkResult.result)];
	}

	if (checkResult.kind === 'uncovered') {
		return waitForHandover(poolKeys, submitted);
	}

	state.idempotency.reservationCount += 1;
	const record = addKey(state, pool, {
		key, fingerprint: computeFingerprint(request), reservation: `${state.config.id}:${state.idempotency.reservationCount}`,
	}, 'reserving');
	record.request = request;
	addWaiter(state, record, submitted);
	return sendReservation(state, record, context);
}

function joinKnownKey(state: EntryState, known: KeyRecord, submitted: SubmittedRequest): Output[] {
	const {request, receiver} = submitted;
	const destination = {receiver, requestId: request.requestId};
	if (known.fingerprint !== '' && known.fingerprint !== computeFingerprint(request)) {
		return [createResultEvent(destination, createNotRunResult('key-reused'))];
	}

	if (known.result !== undefined) {
		return [createResultEvent(destination, known.result)];
	}

	if (known.request === undefined && known.runningEntryId === undefined) {
		const poolKeys = getPoolKeys(state, known.pool);
		if (poolKeys.handoverUntil !== undefined) {
			poolKeys.waitingForHandover.push(submitted);
			return [];
		}

		// The key was reserved by a lost owner, which may have sent the request.
		return [createResultEvent(destination, createUnknownResult('connection-lost'))];
	}

	addWaiter(state, known, submitted);
	if (known.runningEntryId !== undefined) {
		state.idempotency.awaitingPeer.add(known);
	}

	return [];
}

function addWaiter(state: EntryState, record: KeyRecord, {request, receiver, deadlineAt}: SubmittedRequest): void {
	const waiter: KeyWaiter = {receiver, requestId: request.requestId, deadlineAt};
	if (!record.waiters.some(other => other.requestId === waiter.requestId)) {
		record.waiters.push(waiter);
		state.idempotency.recordsByRequest.set(waiter.requestId, record);
	}
}

function waitForHandover(poolKeys: PoolKeys, submitted: SubmittedRequest): Output[] {
	if (poolKeys.handoverUntil === undefined) {
		return [refuseRequest(submitted, createUnknownResult('key-not-covered'))];
	}

	poolKeys.waitingForHandover.push(submitted);
	return [];
}

function refuseRequest({request, receiver}: SubmittedRequest, result: RequestResult): Output {
	return restartEvent({
		kind: 'request-ended', requestId: request.requestId, result, receiver,
	});
}
