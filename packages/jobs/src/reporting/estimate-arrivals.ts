/** Windows in ms over which arriving work is measured: the short one shows the beginning of a turn, the long one tells more about its rate. */
const windowsMs = [400, 1200] as const;

/** Time in ms that a job may wait for a machine and still be in time: the way of a machine and some of its tasks' way. Machines for those are asked for once they have come. */
const patienceLimitMs = 2500;

/** Share of the spread that is taken off: a machine that comes a second late costs about twice what one costs that comes for nothing. */
const spreadShare = 0.5;

/** Work that has arrived, in thousandths of a core times ms, and its age in ms. @internal */
export type Arrival = {
	readonly work: number;
	readonly ageMs: number;
	/** Time in ms that the job could wait when it came. */
	readonly patienceMs: number;
};

/**
Thousandths of a core that work keeps busy if it goes on arriving as it does.

Arrivals of a few large jobs tell little about a rate. The sum of n arrivals varies by the root of the sum of their squares (a compound Poisson process), so a share of that is taken off.

@internal
*/
export function estimateArrivals(arrivals: readonly Arrival[]): number {
	let best = 0;
	for (const windowMs of windowsMs) {
		let sum = 0;
		let squares = 0;
		for (const {work, ageMs, patienceMs} of arrivals) {
			if (patienceMs < patienceLimitMs && ageMs >= 0 && ageMs < windowMs) {
				sum += work;
				squares += work ** 2;
			}
		}

		best = Math.max(best, (sum - (spreadShare * Math.sqrt(squares))) / windowMs);
	}

	return best;
}
