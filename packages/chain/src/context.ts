import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Seeded source of random numbers. @public */
export type RandomSource = {
	/** Returns a number in [0, 1). */
	getFraction(): number;
	/** Returns an integer between 0 and `limit - 1`. */
	getInteger(limit: number): number;
};

/** Time and chance, as handed to every handler. @public */
export type DecisionContext = {
	/** Monotonic time in milliseconds. */
	readonly now: number;
	/** Unix time in milliseconds. */
	readonly wallTime: number;
	readonly random: RandomSource;
};

const fractionSteps = 2 ** 30;

/** Creates a seeded source of random numbers. @public */
export function createRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return {
		getFraction: () => uniformInt(generator, 0, fractionSteps - 1) / fractionSteps,
		getInteger: (limit: number) => uniformInt(generator, 0, limit - 1),
	};
}
