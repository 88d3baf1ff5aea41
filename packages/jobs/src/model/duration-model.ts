/**
How the measured durations of a queue's tasks relate to their estimates: exponentially weighted moments of the logarithms of both.

Callers' estimates can be off by a constant factor, at random, or both. A straight line through the logarithms covers all of these: its offset is the constant factor, and its slope falls to 0 as the estimates say less about the durations.

@public
*/
export type DurationModel = {
	/** Number of measurements. */
	count: number;
	meanLogEstimate: number;
	meanLogDuration: number;
	variance: number;
	covariance: number;
};
