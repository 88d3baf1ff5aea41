import {createRandomSource} from '@pistachiogauge/decisions';
import {formatFigure, type Measure} from './measure.js';
import {cycleSeconds, getTurnDemand} from './turn-load.js';

const queueCount = 5;
/** Slots that a queue needs on average; its peak needs five times as many. */
const meanSlots = 24;
const slotsPerInstance = 8;
const durationSeconds = 100 * cycleSeconds;
/** Longest time that a request may wait for a slot: the shortest deadline of the example bundles. */
const waitLimitSeconds = 8;

/** Longest wait of any request of a queue with the given slots, in seconds. Each request takes a second of a slot. */
function computeLongestWait(slots: number, index: number, seed: number): number {
	const random = createRandomSource(seed);
	let queued = 0;
	let longest = 0;
	for (let second = 0; second < durationSeconds; second++) {
		queued = Math.max(0, queued + (getTurnDemand(second, index, random) * meanSlots) - slots);
		longest = Math.max(longest, queued / slots);
	}

	return longest;
}

/** Fewest instances with which no request of a queue waits longer than the limit. */
function findInstances(index: number, seed: number, limitSeconds: number): number {
	let instances = Math.ceil(meanSlots / slotsPerInstance);
	while (computeLongestWait(instances * slotsPerInstance, index, seed) > limitSeconds) {
		instances += 1;
	}

	return instances;
}

function computeReserve(seed: number, limitSeconds: number): number {
	const needed = Array.from({length: queueCount}, (_, index) => findInstances(index, seed, limitSeconds));
	return needed.reduce((sum, instances) => sum + instances, 0) - (queueCount * meanSlots / slotsPerInstance);
}

/** Instances beyond the mean need: with bursts absorbed by the queue within the deadline, and sized for each pool's own peak. A model of the load, not a run of entries. */
export const reserveMeasure: Measure = {
	name: 'reserve',
	description: 'instances held in reserve when bursts wait within the deadline, against a reserve for each pool\'s own peak',
	run: seed => [{
		measure: 'reserve',
		unit: 'instances',
		policy: 'queue-within-deadline',
		baseline: 'peak-of-each-pool',
		value: formatFigure(computeReserve(seed, waitLimitSeconds)),
		baselineValue: formatFigure(computeReserve(seed, 0)),
		seed,
	}],
};
