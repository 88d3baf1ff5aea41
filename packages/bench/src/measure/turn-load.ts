import {type RandomSource} from '@pistachiogauge/decisions';

const burstFactor = 5;
const calmFactor = 0.05;

/** Length of a burst in seconds. */
export const burstSeconds = 5;
/** Share of the time in which a queue bursts, so that its mean over a cycle is 1: `5 d + 0.05 (1 - d) = 1`. */
const burstShare = (1 - calmFactor) / (burstFactor - calmFactor);
/** Length of a cycle in seconds. */
export const cycleSeconds = Math.round(burstSeconds / burstShare);

/**
Demand of a queue in one second as a multiple of its mean: the queues burst one after the other, a tenth of it is chance.

@param index Place of the queue in the turn.
*/
export function getTurnDemand(second: number, index: number, random: RandomSource): number {
	const phase = (second + cycleSeconds - (index * burstSeconds % cycleSeconds)) % cycleSeconds;
	const factor = phase < burstSeconds ? burstFactor : calmFactor;
	return factor * (0.95 + (random.getFraction() / 10));
}
