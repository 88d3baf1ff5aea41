const backoffMinMs = 100;
const backoffMaxMs = 3000;

/**
Computes the delay before the next attempt. It doubles with each failure up to a limit; jitter keeps the entries from reconnecting all at once after an outage.

@param failures - Consecutive failures, at least 1.
@param fraction - Random number from 0 to 1.
@internal
*/
export function computeBackoffMs(failures: number, fraction: number): number {
	const backoffMs = Math.min(backoffMinMs * (2 ** failures), backoffMaxMs);
	return backoffMs * (0.5 + fraction);
}
