import {storeKeys} from '@pistachiogauge/model';
import {getRandomBetween, type FaultConditions} from '../virtual/simulation.js';
import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseEntry, type Fault} from './fault.js';

type SettableCondition = 'isStoreDown' | 'storeDelayMs' | 'lostAnswerShare' | 'lateWriteShare' | 'watchDelayMs' | 'isListDown' | 'listLagMs';

/** Sets a condition; returns the function that restores its previous value. */
export function setCondition<Name extends SettableCondition>({simulation}: VirtualCluster, name: Name, value: FaultConditions[Name]): () => void {
	const previous = simulation.conditions[name];
	simulation.conditions[name] = value;
	return () => {
		simulation.conditions[name] = previous;
	};
}

export const storeFaults: readonly Fault[] = [
	{
		name: 'store-outage',
		rate: 2,
		minDurationMs: 200,
		maxDurationMs: 15_000,
		start(cluster) {
			if (cluster.simulation.conditions.isStoreDown) {
				return undefined;
			}

			if (cluster.simulation.random.getFraction() < 0.5) {
				cluster.simulation.store.breakWatches();
			}

			return setCondition(cluster, 'isStoreDown', true);
		},
	},
	{
		name: 'store-slow',
		rate: 1.5,
		minDurationMs: 500,
		maxDurationMs: 6000,
		start: cluster => setCondition(cluster, 'storeDelayMs', getRandomBetween(cluster.simulation.random, 100, 900)),
	},
	{
		name: 'store-lost-answer',
		rate: 2,
		minDurationMs: 200,
		maxDurationMs: 5000,
		start: cluster => setCondition(cluster, 'lostAnswerShare', getRandomBetween(cluster.simulation.random, 0.2, 1)),
	},
	{
		name: 'store-late-write',
		rate: 2,
		minDurationMs: 200,
		maxDurationMs: 5000,
		start: cluster => setCondition(cluster, 'lateWriteShare', getRandomBetween(cluster.simulation.random, 0.2, 1)),
	},
	{
		name: 'watch-late',
		rate: 1.5,
		minDurationMs: 500,
		maxDurationMs: 6000,
		start: cluster => setCondition(cluster, 'watchDelayMs', getRandomBetween(cluster.simulation.random, 200, 4000)),
	},
	{
		name: 'watch-silent',
		rate: 2,
		minDurationMs: 500,
		maxDurationMs: 10_000,
		start(cluster) {
			const {silentWatches} = cluster.simulation.conditions;
			const name = chooseEntry(cluster)?.name;
			if (name === undefined || silentWatches.has(name)) {
				return undefined;
			}

			silentWatches.add(name);
			return () => {
				silentWatches.delete(name);
			};
		},
	},
	{
		name: 'lease-lapse',
		rate: 1,
		minDurationMs: 0,
		maxDurationMs: 0,
		start({simulation}) {
			simulation.store.expireLeases();
			return undefined;
		},
	},
	{
		name: 'bundle-restore',
		rate: 1,
		minDurationMs: 0,
		maxDurationMs: 0,
		start({simulation}) {
			simulation.store.restoreState(getRandomBetween(simulation.random, 1000, 20_000), storeKeys.bundleHead);
			return undefined;
		},
	},
	{
		// This reverts the epoch and the instance records too, which breaks the compare-and-swap that the proofs rely on.
		name: 'store-restore',
		isOptIn: true,
		rate: 0.3,
		minDurationMs: 0,
		maxDurationMs: 0,
		start({simulation}) {
			simulation.store.restoreState(getRandomBetween(simulation.random, 1000, 20_000));
			return undefined;
		},
	},
];
