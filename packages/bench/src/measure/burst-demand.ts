import {type RandomSource} from '@pistachiogauge/decisions';

const burstFactor = 5;
const quietFactor = 0.05;

export const burstSeconds = 5;
/** Share of a cycle that is a burst, so that the mean over the cycle is 1: `5 d + 0.05 (1 - d) = 1`. */
const burstShare = (1 - quietFactor) / (burstFactor - quietFactor);
export const cycleSeconds = Math.round(burstSeconds / burstShare);

/**
Demand of a queue in one second as a multiple of its mean. The queues burst one after the other, and a tenth of the demand is random.

@param index Position of the queue in the order of bursts.
*/
export function computeBurstDemand(second: number, index: number, random: RandomSource): number {
	const phase = (second + cycleSeconds - (index * burstSeconds % cycleSeconds)) % cycleSeconds;
	const factor = phase < burstSeconds ? burstFactor : quietFactor;
	return factor * (0.95 + (random.getFraction() / 10));
}
