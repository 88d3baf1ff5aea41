import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {getPermittedMs, type AuthorityView} from '../authority/index.js';
import {type JobOutput} from '../filter.js';
import {type OrderTarget} from '../model/index.js';
import {estimateClock, leaseMs} from './lease-clock.js';
import {hasShutOutEarlierOrders, servingPercent, type SupervisedEndpoint} from './supervision-state.js';

/** Long-poll timeout for an endpoint with runs: a sixth of the lease, so that one lost answer does not let the lease expire. */
const busyWaitMs = 1000;
/** Long-poll timeout for an endpoint with a long-running task that is starting up: the next one is moved once it is serving, and an endpoint answers early only when a run ends. */
const startupWaitMs = 200;
/** Long-poll timeout for an endpoint without runs; endpoints allow 2 s at most. */
const idleWaitMs = 2000;
/** Delay before the next poll while some of the endpoint's ends are not saved in the store. */
const unsavedPollDelayMs = 150;

/** Returns the endpoint, address and parts of the fencing token that an order is sent with. @internal */
export function getOrderTarget({id, address, token, generation}: Readonly<SupervisedEndpoint>): OrderTarget {
	return {
		endpointId: id, address, token, generation,
	};
}

/** Returns the highest number up to which all ends are saved in the store, so that the endpoint can delete them. @internal */
export function getLastSavedEnd(endpoint: Readonly<SupervisedEndpoint>): number {
	let firstUnsaved = endpoint.lastProcessedEnd + 1;
	for (const number of endpoint.unsavedEnds.keys()) {
		firstUnsaved = Math.min(firstUnsaved, number);
	}

	return firstUnsaved - 1;
}

/** Starts a long poll of an endpoint, unless one is pending: it lists the endpoint's runs and ends and renews its lease. @internal */
export function pollEndpoint(state: AuthorityView, endpoint: SupervisedEndpoint, context: DecisionContext): JobOutput[] {
	if (endpoint.isPollPending) {
		return [];
	}

	const clock = estimateClock(endpoint, context.now);
	const permittedMs = getPermittedMs(state, endpoint.pool, context);
	// An endpoint that has not shut out earlier orders may have restarted, and its clock and the numbers of its ends would begin anew.
	const isKnown = endpoint.phase === 'answering' && hasShutOutEarlierOrders(endpoint);
	// The lease of an endpoint that does not answer is not extended: otherwise its tasks could not be started elsewhere for as long as it is polled. No lease lasts longer than this entry's permission, as the next owner waits that long.
	const deadlineMs = clock === undefined || !isKnown || permittedMs === 0 ? undefined : clock + Math.min(leaseMs, permittedMs);
	endpoint.isPollPending = true;
	endpoint.leaseDeadlineMs = Math.max(endpoint.leaseDeadlineMs, deadlineMs ?? 0);
	endpoint.acknowledgingEnd = isKnown ? chooseAcknowledgement(endpoint, context.now) : 0;
	return [emitEffect({
		kind: 'poll-endpoint', target: getOrderTarget(endpoint), lastSavedEnd: endpoint.acknowledgingEnd, deadlineMs, waitMs: getWaitMs(endpoint),
	})];
}

/** Polls an endpoint of which all listed ends are saved, unless a start without an answer holds back their acknowledgement: the endpoint would list them again at once. @internal */
export function pollAfterSave(state: AuthorityView, endpoint: SupervisedEndpoint, context: DecisionContext): JobOutput[] {
	if (isAcknowledgementDue(endpoint) && hasUnansweredStart(endpoint)) {
		endpoint.acknowledgementHeldSince ??= context.now;
		return [];
	}

	return pollEndpoint(state, endpoint, context);
}

/** Polls an endpoint once no start holds back an acknowledgement any more. @internal */
export function pollIfAcknowledgementIsDue(state: AuthorityView, endpoint: SupervisedEndpoint, context: DecisionContext): JobOutput[] {
	const isDue = endpoint.phase === 'answering' && endpoint.unsavedEnds.size === 0 && isAcknowledgementDue(endpoint);
	return isDue && !hasUnansweredStart(endpoint) ? pollEndpoint(state, endpoint, context) : [];
}

/** Whether ends are saved that the endpoint still holds. */
function isAcknowledgementDue(endpoint: Readonly<SupervisedEndpoint>): boolean {
	return getLastSavedEnd(endpoint) > endpoint.acknowledgedEnd;
}

/** Whether a start may still be carried out whose answer is awaited. */
function hasUnansweredStart({runs, answeredGeneration}: Readonly<SupervisedEndpoint>): boolean {
	return [...runs.values()].some(({phase, generation}) => phase !== 'running' && generation >= answeredGeneration);
}

/** Returns the number up to which a poll acknowledges ends, 0 for none. One that is repeated, or sent beside a start without an answer, could delete ends of a later process that nobody has read. */
function chooseAcknowledgement(endpoint: SupervisedEndpoint, now: number): number {
	if (!isAcknowledgementDue(endpoint)) {
		endpoint.acknowledgementHeldSince = undefined;
		return 0;
	}

	if (hasUnansweredStart(endpoint)) {
		endpoint.acknowledgementHeldSince ??= now;
		return 0;
	}

	endpoint.acknowledgementHeldSince = undefined;
	return getLastSavedEnd(endpoint);
}

/** Polls an endpoint if it is time and none is pending. @internal */
export function pollIfDue(state: AuthorityView, endpoint: SupervisedEndpoint, context: DecisionContext): JobOutput[] {
	return context.now >= endpoint.nextPollAt && endpoint.address !== '' ? pollEndpoint(state, endpoint, context) : [];
}

/** Schedules the next poll of an endpoint that has answered. @internal */
export function scheduleNextPoll(endpoint: SupervisedEndpoint, now: number): void {
	// An endpoint answers at once while it has ends that are not acknowledged, even if it has listed them before.
	if (endpoint.unsavedEnds.size > 0) {
		endpoint.nextPollAt = now + unsavedPollDelayMs;
		return;
	}

	if (!isAcknowledgementDue(endpoint)) {
		endpoint.nextPollAt = now;
	} else if (endpoint.nextPollAt < now) {
		endpoint.nextPollAt = now + unsavedPollDelayMs;
	}
}

function getWaitMs(endpoint: SupervisedEndpoint): number {
	// An endpoint answers at once while it holds ends, and starts wait for the answer to an acknowledgement.
	if (endpoint.phase !== 'answering' || !hasShutOutEarlierOrders(endpoint) || endpoint.unsavedEnds.size > 0 || isAcknowledgementDue(endpoint)) {
		return 0;
	}

	if (endpoint.runs.size === 0) {
		return idleWaitMs;
	}

	return [...endpoint.runs.values()].some(run => run.isLongRunning && run.percent < servingPercent) ? startupWaitMs : busyWaitMs;
}
