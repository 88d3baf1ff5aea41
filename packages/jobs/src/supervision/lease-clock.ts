import {type SupervisedEndpoint} from './supervision-state.js';

/** What tells an endpoint's lease. @internal */
export type LeaseView = Readonly<Pick<SupervisedEndpoint, 'clockMs' | 'clockReadAt' | 'leaseDeadlineMs' | 'previousLeaseExpiresAt'>>;

/**
Lease of everything that runs on an endpoint, in ms.

It has to outlive the loss of all entries at once: a restart of 3 s, the end of their claims and the survey of the pool by the next owner. It may be 10 s at most, and work on a dark rack starts anew only after it.
*/
export const leaseMs = 6000;
/** Time in ms after which an endpoint refuses a start as late: as long as its answer is awaited. A start that is carried out seconds later must not count, and its task waits until then. */
export const startDeadlineMs = 700;
/** An endpoint's clock may be this much slower than ours. */
const slowClockFactor = 1.02;
/** Time in ms for an endpoint to end what has lapsed, and for its answer's way. */
const lapseSlackMs = 250;

/** The endpoint's clock by now, if it ran like ours. @internal */
export function estimateClock(watch: Readonly<SupervisedEndpoint>, now: number): number | undefined {
	return watch.clockMs === undefined ? undefined : Math.round(watch.clockMs + (now - watch.clockReadAt));
}

/** Whether every lease that the endpoint can have been given has run out, on a clock as slow as it may be. @internal */
export function hasLapsed(watch: LeaseView, now: number): boolean {
	if (watch.clockMs === undefined) {
		return now > watch.previousLeaseExpiresAt;
	}

	const clockAtLeast = watch.clockMs + ((now - watch.clockReadAt) / slowClockFactor);
	return clockAtLeast > watch.leaseDeadlineMs + lapseSlackMs && now > watch.previousLeaseExpiresAt;
}

/** When a lease that a former owner gave before now has run out for certain. @internal */
export function getFormerLeaseEnd(now: number): number {
	return now + (leaseMs * slowClockFactor) + lapseSlackMs;
}
