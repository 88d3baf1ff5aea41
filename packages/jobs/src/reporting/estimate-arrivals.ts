/** Window that detects the start of a burst. */
const shortWindowMs = 400;
/** Window that gives a better estimate of a steady rate. */
const longWindowMs = 1200;

/** Age up to which an arrival is measured. @internal */
export const arrivalWindowMs = longWindowMs;

/** Slack from which a job can wait for a machine and still meet its objective: the time in which a machine is moved, and some time for its tasks. Machines for such jobs are requested once the jobs have arrived. */
const slackLimitMs = 2500;

/** Share of the standard deviation that is subtracted: a machine that arrives a second late costs about twice as much as one that is moved for nothing. */
const spreadShare = 0.5;

/** Multiple of the rise from the long to the short window that is added. The middles of the windows are 0.4 s apart; a rate that rises does so for one or two seconds, and machines arrive after two. */
const riseFactor = 1.5;

/** Work of a job as it arrived, in thousandths of a core times ms, and its age. Work that has been done since counts as well: otherwise the rate of arrival would seem to fall as soon as a pool keeps up with it. @internal */
export type Arrival = {
	readonly work: number;
	readonly ageMs: number;
	/** Time that the job could wait when it arrived. */
	readonly initialSlackMs: number;
};

/**
Estimates the thousandths of a core that work will keep busy by the time a machine could be there.

Arrivals of a few large jobs say little about a rate. The standard deviation of the sum of n arrivals is the root of the sum of their squares (a compound Poisson process), so a share of it is subtracted, and a rise counts only as far as it exceeds one standard deviation.

@internal
*/
export function estimateArrivingMillis(arrivals: readonly Arrival[]): number {
	const short = measureRate(arrivals, shortWindowMs);
	const long = measureRate(arrivals, longWindowMs);
	const rise = Math.max(0, short.mean - long.mean - short.deviation);
	return Math.max(0, short.mean - (spreadShare * short.deviation), long.mean - (spreadShare * long.deviation)) + (riseFactor * rise);
}

/** Mean rate of the arriving work in a window, in thousandths of a core, and its standard deviation. */
function measureRate(arrivals: readonly Arrival[], windowMs: number): {readonly mean: number; readonly deviation: number} {
	let sum = 0;
	let squares = 0;
	for (const {work, ageMs, initialSlackMs} of arrivals) {
		if (initialSlackMs < slackLimitMs && ageMs >= 0 && ageMs < windowMs) {
			sum += work;
			squares += work ** 2;
		}
	}

	return {mean: sum / windowMs, deviation: Math.sqrt(squares) / windowMs};
}
