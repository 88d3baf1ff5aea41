import {orderPermissionMs} from '../authority/index.js';
import {type SupervisedEndpoint} from './supervision-state.js';

/** Clock readings and deadlines from which the expiry of an endpoint's lease is computed. @internal */
export type LeaseTimes = Readonly<Pick<SupervisedEndpoint, 'clockMs' | 'clockReadAt' | 'leaseDeadlineMs' | 'previousLeaseExpiresAt'>>;

/**
Duration of the lease on an endpoint's runs.

It must cover the loss of all entries at once: a restart of 3 s, the expiry of their claims and the survey of the pool by the next owner. The maximum is 10 s, and work on an unreachable rack is restarted elsewhere only after the lease has expired.
*/
export const leaseMs = 6000;
/** Longest lease that an endpoint grants, whatever deadline an order names. */
const maxLeaseMs = 10_000;
/** Longest time after which an endpoint carries out an order without an answer. */
const maxOrderDelayMs = 12_000;
/** How long a start is valid, equal to the timeout of its answer; the endpoint refuses it as late afterwards. A start must not take effect seconds later, and its task is not placed again while the start is valid. */
export const startValidityMs = 700;
/** Largest factor by which an endpoint's clock may run slower than the clock of this entry. */
const slowClockFactor = 1.02;
/** Allowance for the endpoint to end runs whose lease has expired, and for the network delay of its answer. */
const expirySlackMs = 250;

/** Estimates the endpoint's current clock, assuming that it runs at the same rate as the clock of this entry. @internal */
export function estimateClock(endpoint: Readonly<SupervisedEndpoint>, now: number): number | undefined {
	return endpoint.clockMs === undefined ? undefined : Math.round(endpoint.clockMs + (now - endpoint.clockReadAt));
}

/** Whether every lease that the endpoint may have been granted has expired, even if its clock is as slow as allowed. @internal */
export function hasLeaseExpired(times: LeaseTimes, now: number): boolean {
	if (times.clockMs === undefined) {
		return now > times.previousLeaseExpiresAt;
	}

	const minClockMs = times.clockMs + ((now - times.clockReadAt) / slowClockFactor);
	return minClockMs > times.leaseDeadlineMs + expirySlackMs && now > times.previousLeaseExpiresAt;
}

/** Returns the time at which every lease of a previous owner has expired, for an entry that has held the claim since before `now`: the previous owner may not know of its loss and grant leases up to the end of its permission. @internal */
export function getPreviousLeaseExpiry(now: number): number {
	return now + (orderPermissionMs * slowClockFactor) + expirySlackMs;
}

/** Returns the time at which a lease has expired that an endpoint may have granted at `now` for the deadline of an order that was meant for its process before a restart, whose clock was ahead. @internal */
export function getRestartedLeaseExpiry(now: number): number {
	return now + (maxLeaseMs * slowClockFactor) + expirySlackMs;
}

/** Returns the time at which every lease has expired that an endpoint may grant for an order that was sent to a process before a restart at `now` or earlier, and that is still on its way. @internal */
export function getLateOrderExpiry(now: number): number {
	return getRestartedLeaseExpiry(now + maxOrderDelayMs);
}

/** Returns the time from which the claim has to be confirmed before a task is started on an endpoint that has restarted: a next owner that loads the pool later waits beyond every lease that the endpoint was granted until `lastGrantAt`. @internal */
export function getRestartedStartTime(lastGrantAt: number): number {
	return lastGrantAt + getRestartedLeaseExpiry(0) - getPreviousLeaseExpiry(0);
}
