const retryMinMs = 100;
const retryMaxMs = 3000;

/**
Pause before a call is made again: doubled after each failure up to a limit, with jitter that keeps the entries from returning all at once after an outage.

@param failures - Failures in a row, at least 1.
@param fraction - Random number from 0 to 1.
@internal
*/
export function getRetryPauseMs(failures: number, fraction: number): number {
	const pauseMs = Math.min(retryMinMs * (2 ** failures), retryMaxMs);
	return pauseMs * (0.5 + fraction);
}
