import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {applyBundle, getHighestVersion} from '../faults/index.js';
import {createVirtualCluster, type VirtualCluster} from '../virtual/virtual-cluster.js';
import {formatFigure, type Measure, type MeasureLine} from './measure.js';

const entryCount = 8;
const startMs = 6000;
const limitMs = 60_000;
/** Baseline: each entry reads the head record at this interval and hears nothing from its peers. */
const pollMs = 2000;
const outageMs = 30_000;
/** The first numbers from small seeds lie close together. */
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
	cluster.run(startMs);
	return cluster;
}

/** Time from an operator's call until every entry has the bundle in force, in virtual milliseconds. */
function measureRollout(seed: number, hasOutage: boolean): number {
	const cluster = startCluster(seed);
	const {simulation} = cluster;
	const target = getHighestVersion(cluster) + 1;
	const startAt = simulation.queue.now;
	applyBundle(cluster);
	while (simulation.queue.now - startAt < limitMs) {
		cluster.run(1);
		const versions = [...simulation.entries.values()].map(entry => entry.state.bundle.current?.version ?? 0);
		if (versions.every(version => version >= target)) {
			return simulation.queue.now - startAt;
		}

		// The outage begins as soon as one entry holds the bundle.
		simulation.conditions.isStoreDown ||= hasOutage && versions.includes(target);
	}

	return Number.POSITIVE_INFINITY;
}

function measurePolling(random: RandomSource, hasOutage: boolean): number {
	const draws = Array.from({length: skippedDraws + entryCount}, () => random.getFraction() * pollMs);
	const delays = draws.slice(skippedDraws);
	return Math.max(...delays) + (hasOutage ? outageMs : 0);
}

/** Roll-out time of a bundle to 8 entries, with the store up and with an outage right after the acceptance. */
export const rolloutMeasure: Measure = {
	name: 'rollout',
	description: 'time until a bundle is in force at 8 entries, against entries that poll the store',
	run(seed) {
		return [false, true].map((hasOutage): MeasureLine => ({
			measure: hasOutage ? 'rollout-in-outage' : 'rollout',
			unit: 'ms',
			policy: 'store-watch-and-peers',
			baseline: `poll-every-${pollMs}-ms`,
			value: formatFigure(measureRollout(seed, hasOutage)),
			baselineValue: formatFigure(measurePolling(createRandomSource(seed), hasOutage)),
			seed,
		}));
	},
};
