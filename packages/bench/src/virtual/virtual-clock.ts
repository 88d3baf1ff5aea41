import {type RandomSource} from '@pistachiogauge/decisions';

/** Clocks of one process, computed from virtual time. */
export type VirtualClock = {
	/** Returns the monotonic time in ms. */
	getNow(time: number): number;
	/** Returns the Unix time in ms. */
	getWallTime(time: number): number;
	/** Converts a duration on this process's monotonic clock to virtual time. */
	computeVirtualMs(localMs: number): number;
};

/** Unix time in ms at the start of every run: 1 January 2026. */
export const startWallTime = 1_767_225_600_000;
/** The rates of two clocks differ by at most twice this value; the design tolerates 10%. */
const maxClockDrift = 0.045;
/** Two wall clocks, as of a caller and an entry, differ by up to 4 s; the design tolerates 5 s. */
export const maxWallSkewMs = 2000;
const maxClockStartMs = 1_000_000;

/** Creates clocks with a random start, rate and skew. */
export function createVirtualClock(random: RandomSource): VirtualClock {
	const startMs = random.getInteger(maxClockStartMs);
	const rate = 1 + (((random.getFraction() * 2) - 1) * maxClockDrift);
	const skewMs = chooseSkewMs(random);
	return {
		getNow: time => startMs + (time * rate),
		getWallTime: time => Math.floor(startWallTime + time + skewMs),
		computeVirtualMs: localMs => localMs / rate,
	};
}

/** Draws the offset of a wall clock from true time. */
export function chooseSkewMs(random: RandomSource): number {
	return ((random.getFraction() * 2) - 1) * maxWallSkewMs;
}
