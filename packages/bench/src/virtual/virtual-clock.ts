import {type RandomSource} from '@pistachiogauge/decisions';

/** Clocks of one process, computed from the virtual time of the run. */
export type VirtualClock = {
	/** Monotonic milliseconds. */
	getNow(time: number): number;
	/** Unix milliseconds. */
	getWallTime(time: number): number;
	/** Virtual milliseconds that a time of this process's monotonic clock takes. */
	getDuration(localMs: number): number;
};

/** Unix time of the start of every run: 1 January 2026. */
export const startWallTime = 1_767_225_600_000;
/** Two clocks run apart by at most twice this; the design allows for 10%. */
const maxDrift = 0.045;
/** The clocks of callers and entries differ by up to 4 s; the design allows for 5 s. */
export const maxWallSkewMs = 2000;
const maxStart = 1_000_000;

/** Creates clocks with a start, rate and skew of their own. */
export function createVirtualClock(random: RandomSource): VirtualClock {
	const start = random.getInteger(maxStart);
	const rate = 1 + (((random.getFraction() * 2) - 1) * maxDrift);
	const skewMs = createSkew(random);
	return {
		getNow: time => start + (time * rate),
		getWallTime: time => Math.floor(startWallTime + time + skewMs),
		getDuration: localMs => localMs / rate,
	};
}

/** Draws the difference of a wall clock from true time. */
export function createSkew(random: RandomSource): number {
	return ((random.getFraction() * 2) - 1) * maxWallSkewMs;
}
