import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type JobOutput} from '../filter.js';
import {type OrderTarget} from '../model/index.js';
import {estimateClock, leaseMs} from './lease-clock.js';
import {type Watch} from './supervision-state.js';

/** How long an endpoint with runs waits for an end, in ms; a sixth of the lease, so that a lost answer costs no lease. */
const busyWaitMs = 1000;
/** The same for an endpoint with no runs; the longest that endpoints allow is 2 s. */
const idleWaitMs = 2000;
/** Pause in ms before an endpoint whose ends are not on record is looked at again. */
const unrecordedPauseMs = 150;

/** Address and token for an order. @internal */
export function getTarget(watch: Readonly<Watch>): OrderTarget {
	return {endpointId: watch.id, address: watch.address, token: watch.token};
}

/** Ends up to this number are on record. @internal */
export function getRecordedUpTo(watch: Readonly<Watch>): number {
	let first = watch.processedUpTo + 1;
	for (const number of watch.unrecordedEnds) {
		first = Math.min(first, number);
	}

	return first - 1;
}

/** Asks an endpoint what runs and what has ended, and renews the lease. @internal */
export function holdEndpoint(watch: Watch, context: DecisionContext): JobOutput[] {
	if (watch.isHolding) {
		return [];
	}

	const clock = estimateClock(watch, context.now);
	// One that does not answer gets no longer lease, or what runs there could not be started elsewhere for as long as it is asked.
	const deadlineMs = clock === undefined || watch.phase !== 'held' ? undefined : clock + leaseMs;
	watch.isHolding = true;
	watch.leaseDeadlineMs = Math.max(watch.leaseDeadlineMs, deadlineMs ?? 0);
	return [emitEffect({
		kind: 'hold-endpoint', target: getTarget(watch), recordedUpTo: getRecordedUpTo(watch), deadlineMs, waitMs: getWaitMs(watch),
	})];
}

/** Decides when an endpoint that has answered is asked again. @internal */
export function planNextHold(watch: Watch, now: number): void {
	// An endpoint answers at once as long as it has ends to tell, also those that have been told.
	watch.nextHoldAt = watch.unrecordedEnds.size > 0 ? now + unrecordedPauseMs : now;
}

function getWaitMs(watch: Watch): number {
	if (watch.phase !== 'held' || watch.unrecordedEnds.size > 0) {
		return 0;
	}

	return watch.runs.size > 0 ? busyWaitMs : idleWaitMs;
}
