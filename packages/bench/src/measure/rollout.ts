import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {applyBundle, getHighestBundleVersion} from '../faults/index.js';
import {createVirtualCluster, type VirtualCluster} from '../virtual/virtual-cluster.js';
import {roundValue, type Measure, type MeasureLine} from './measure.js';

const entryCount = 8;
const startupMs = 6000;
const timeoutMs = 60_000;
/** Baseline: each entry polls the head record at this interval and receives nothing from its peers. */
const pollMs = 2000;
const outageMs = 30_000;
/** Draws to skip, because the first random numbers of small seeds are close together. */
const skippedDraws = 100;
const poolNames = ['badge-desk', 'host-approval', 'pre-registration', 'identity-verification', 'admin'];

function startCluster(seed: number): VirtualCluster {
	const cluster = createVirtualCluster({
		seed,
		zones: ['a', 'b', 'c'],
		entryCount,
		pools: poolNames.map(name => ({
			name, instanceCount: 7, budget: 1, isSpare: name === 'admin',
		})),
		services: poolNames.map(name => ({name, pool: name, queueLimit: 50})),
	}, () => () => undefined);
	cluster.run(1000);
	applyBundle(cluster);
	cluster.run(startupMs);
	return cluster;
}

/** Virtual milliseconds from an operator's call until the bundle is in force at every entry. */
function measureRollout(seed: number, hasOutage: boolean): number {
	const cluster = startCluster(seed);
	const {simulation} = cluster;
	const targetVersion = getHighestBundleVersion(cluster) + 1;
	const startedAt = simulation.queue.now;
	applyBundle(cluster);
	while (simulation.queue.now - startedAt < timeoutMs) {
		cluster.run(1);
		const versions = [...simulation.entries.values()].map(entry => entry.state.bundle.current?.version ?? 0);
		if (versions.every(version => version >= targetVersion)) {
			return simulation.queue.now - startedAt;
		}

		// The store outage starts as soon as the bundle is in force at one entry.
		simulation.conditions.isStoreDown ||= hasOutage && versions.includes(targetVersion);
	}

	return Number.POSITIVE_INFINITY;
}

function computePollingRollout(random: RandomSource, hasOutage: boolean): number {
	const draws = Array.from({length: skippedDraws + entryCount}, () => random.getFraction() * pollMs);
	const pollDelays = draws.slice(skippedDraws);
	return Math.max(...pollDelays) + (hasOutage ? outageMs : 0);
}

/** Roll-out time of a bundle to 8 entries, with the store available and with a store outage right after the bundle is accepted. */
export const rolloutMeasure: Measure = {
	name: 'rollout',
	description: 'time until a bundle is in force at 8 entries, against entries that poll the store',
	run(seed) {
		return [false, true].map((hasOutage): MeasureLine => ({
			measure: hasOutage ? 'rollout-in-outage' : 'rollout',
			unit: 'ms',
			policy: 'store-watch-and-peers',
			baseline: `poll-every-${pollMs}-ms`,
			value: roundValue(measureRollout(seed, hasOutage)),
			baselineValue: roundValue(computePollingRollout(createRandomSource(seed), hasOutage)),
			seed,
		}));
	},
};
