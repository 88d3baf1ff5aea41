import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type JobOutput} from '../filter.js';
import {type OrderTarget} from '../model/index.js';
import {estimateClock, leaseMs} from './lease-clock.js';
import {type SupervisedEndpoint} from './supervision-state.js';

/** How long an endpoint with runs waits for an end, in ms; a sixth of the lease, so that a lost answer costs no lease. */
const busyWaitMs = 1000;
/** The same for an endpoint with no runs; the longest that endpoints allow is 2 s. */
const idleWaitMs = 2000;
/** Pause in ms before an endpoint whose ends are not on record is looked at again. */
const unrecordedPauseMs = 150;

/** Address and token for an order. @internal */
export function getOrderTarget(watch: Readonly<SupervisedEndpoint>): OrderTarget {
	return {endpointId: watch.id, address: watch.address, token: watch.token};
}

/** Ends up to this number are on record. @internal */
export function getRecordedUpTo(watch: Readonly<SupervisedEndpoint>): number {
	let first = watch.lastProcessedEnd + 1;
	for (const number of watch.unsavedEnds) {
		first = Math.min(first, number);
	}

	return first - 1;
}

/** Asks an endpoint what runs and what has ended, and renews the lease. @internal */
export function pollEndpoint(watch: SupervisedEndpoint, context: DecisionContext): JobOutput[] {
	if (watch.isPollPending) {
		return [];
	}

	const clock = estimateClock(watch, context.now);
	// One that does not answer gets no longer lease, or what runs there could not be started elsewhere for as long as it is asked.
	const deadlineMs = clock === undefined || watch.phase !== 'answering' ? undefined : clock + leaseMs;
	watch.isPollPending = true;
	watch.leaseDeadlineMs = Math.max(watch.leaseDeadlineMs, deadlineMs ?? 0);
	return [emitEffect({
		kind: 'poll-endpoint', target: getOrderTarget(watch), lastSavedEnd: getRecordedUpTo(watch), deadlineMs, waitMs: getWaitMs(watch),
	})];
}

/** Decides when an endpoint that has answered is asked again. @internal */
export function scheduleNextPoll(watch: SupervisedEndpoint, now: number): void {
	// An endpoint answers at once as long as it has ends to tell, also those that have been told.
	watch.nextPollAt = watch.unsavedEnds.size > 0 ? now + unrecordedPauseMs : now;
}

function getWaitMs(watch: SupervisedEndpoint): number {
	if (watch.phase !== 'answering' || watch.unsavedEnds.size > 0) {
		return 0;
	}

	return watch.runs.size > 0 ? busyWaitMs : idleWaitMs;
}
