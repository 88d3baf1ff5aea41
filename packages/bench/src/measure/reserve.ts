import {createRandomSource} from '@pistachiogauge/decisions';
import {roundValue, type Measure} from './measure.js';
import {cycleSeconds, computeBurstDemand} from './burst-demand.js';

const queueCount = 5;
/** Slots that a queue needs on average; at its peak it needs five times as many. */
const meanSlots = 24;
const slotsPerInstance = 8;
const durationSeconds = 100 * cycleSeconds;
/** Longest time that a request may wait for a slot; equals the shortest deadline of the example bundles. */
const waitLimitSeconds = 8;

/** Longest wait of any request of a queue with the given number of slots. Each request takes a slot for one second. */
function computeLongestWaitSeconds(slots: number, index: number, seed: number): number {
	const random = createRandomSource(seed);
	let queued = 0;
	let longestWaitSeconds = 0;
	for (let second = 0; second < durationSeconds; second++) {
		queued = Math.max(0, queued + (computeBurstDemand(second, index, random) * meanSlots) - slots);
		longestWaitSeconds = Math.max(longestWaitSeconds, queued / slots);
	}

	return longestWaitSeconds;
}

/** Smallest number of instances with which no request of a queue waits longer than the limit. */
function findNeededInstances(index: number, seed: number, limitSeconds: number): number {
	let instances = Math.ceil(meanSlots / slotsPerInstance);
	while (computeLongestWaitSeconds(instances * slotsPerInstance, index, seed) > limitSeconds) {
		instances += 1;
	}

	return instances;
}

function computeReserve(seed: number, limitSeconds: number): number {
	const needed = Array.from({length: queueCount}, (_, index) => findNeededInstances(index, seed, limitSeconds));
	return needed.reduce((sum, instances) => sum + instances, 0) - (queueCount * meanSlots / slotsPerInstance);
}

/** Instances needed above the mean: when queues absorb bursts within the deadline, and when each pool is sized for its own peak. This is a model of the load and runs no entries. */
export const reserveMeasure: Measure = {
	name: 'reserve',
	description: 'instances held in reserve when bursts wait within the deadline, against a reserve for each pool\'s own peak',
	run: seed => [{
		measure: 'reserve',
		unit: 'instances',
		policy: 'queue-within-deadline',
		baseline: 'peak-of-each-pool',
		value: roundValue(computeReserve(seed, waitLimitSeconds)),
		baselineValue: roundValue(computeReserve(seed, 0)),
		seed,
	}],
};
