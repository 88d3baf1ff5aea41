import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Seeded random number generator. @public */
export type RandomSource = {
	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	getFraction(): number;
	/** Returns an integer from 0 to `limit - 1`. */
	getInteger(limit: number): number;
};

/** Clock readings and random numbers that every handler receives, so that its decisions are reproducible. @public */
export type DecisionContext = {
	/** Monotonic time in milliseconds. */
	readonly now: number;
	/** Unix time in milliseconds. */
	readonly wallTime: number;
	readonly random: RandomSource;
};

const fractionSteps = 2 ** 30;

/** Creates a seeded random number generator. @public */
export function createRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return {
		getFraction: () => uniformInt(generator, 0, fractionSteps - 1) / fractionSteps,
		getInteger: (limit: number) => uniformInt(generator, 0, limit - 1),
	};
}
