/** Windows over which arriving work is measured: the short one detects the start of a burst, the long one gives a better estimate of its rate. */
const windowsMs = [400, 1200] as const;

/** Age up to which an arrival is measured. @internal */
export const arrivalWindowMs = Math.max(...windowsMs);

/** Slack from which a job can wait for a machine and still meet its objective: the time in which a machine is moved, and some time for its tasks. Machines for such jobs are requested once the jobs have arrived. */
const slackLimitMs = 2500;

/** Share of the standard deviation that is subtracted: a machine that arrives a second late costs about twice as much as one that is moved for nothing. */
const spreadShare = 0.5;

/** Work of a job as it arrived, in thousandths of a core times ms, and its age. Work that has been done since counts as well: otherwise the rate of arrival would seem to fall as soon as a pool keeps up with it. @internal */
export type Arrival = {
	readonly work: number;
	readonly ageMs: number;
	/** Time that the job could wait when it arrived. */
	readonly initialSlackMs: number;
};

/**
Estimates the thousandths of a core that work would keep busy if it went on arriving at the current rate.

Arrivals of a few large jobs say little about a rate. The standard deviation of the sum of n arrivals is the root of the sum of their squares (a compound Poisson process), so a share of it is subtracted.

@internal
*/
export function estimateArrivingMillis(arrivals: readonly Arrival[]): number {
	let highest = 0;
	for (const windowMs of windowsMs) {
		let sum = 0;
		let squares = 0;
		for (const {work, ageMs, initialSlackMs} of arrivals) {
			if (initialSlackMs < slackLimitMs && ageMs >= 0 && ageMs < windowMs) {
				sum += work;
				squares += work ** 2;
			}
		}

		highest = Math.max(highest, (sum - (spreadShare * Math.sqrt(squares))) / windowMs);
	}

	return highest;
}
