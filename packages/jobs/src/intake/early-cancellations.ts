import {type DecisionContext} from '@pistachiogauge/chain';
import {type EarlyCancellations} from './intake-state.js';

/** Interval in which early cancellations are counted; each leaves a record in the store for some minutes. */
const intervalMs = 60_000;
/** Maximum number of early cancellations in an interval. */
const maxCount = 300;
/** The same for one client account, so that others can cancel as well. */
const maxAccountCount = 100;

/** @internal */
export function createEarlyCancellations(): EarlyCancellations {
	return {startedAt: 0, count: 0, countsByAccount: new Map()};
}

/**
Counts a cancellation of a job that is not stored.

@returns 0 if it may be recorded, else the time in ms after which it may be sent again.
@internal
*/
export function countEarlyCancellation(cancellations: EarlyCancellations, account: string | undefined, {now}: DecisionContext): number {
	if (now >= cancellations.startedAt + intervalMs) {
		cancellations.startedAt = now;
		cancellations.count = 0;
		cancellations.countsByAccount.clear();
	}

	const accountCount = account === undefined ? 0 : cancellations.countsByAccount.get(account) ?? 0;
	if (cancellations.count >= maxCount || accountCount >= maxAccountCount) {
		return cancellations.startedAt + intervalMs - now;
	}

	cancellations.count += 1;
	if (account !== undefined) {
		cancellations.countsByAccount.set(account, accountCount + 1);
	}

	return 0;
}
