import {storeKeys} from '@pistachiogauge/model';
import {getBetween, type FaultConditions} from '../virtual/world.js';
import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseEntry, type Fault} from './fault.js';

type Switchable = 'isStoreDown' | 'storeDelayMs' | 'lostAnswerShare' | 'lateWriteShare' | 'watchDelayMs' | 'isListDown' | 'listLagMs';

/** Sets one condition for the length of the fault. */
export function setCondition<Name extends Switchable>({simulation: world}: VirtualCluster, name: Name, value: FaultConditions[Name]): () => void {
	const former = world.conditions[name];
	world.conditions[name] = value;
	return () => {
		world.conditions[name] = former;
	};
}

export const storeFaults: readonly Fault[] = [
	{
		name: 'store-outage',
		rate: 2,
		minMs: 200,
		maxMs: 15_000,
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
		minMs: 500,
		maxMs: 6000,
		start: cluster => setCondition(cluster, 'storeDelayMs', getBetween(cluster.simulation.random, 100, 900)),
	},
	{
		name: 'store-lost-answer',
		rate: 2,
		minMs: 200,
		maxMs: 5000,
		start: cluster => setCondition(cluster, 'lostAnswerShare', getBetween(cluster.simulation.random, 0.2, 1)),
	},
	{
		name: 'store-late-write',
		rate: 2,
		minMs: 200,
		maxMs: 5000,
		start: cluster => setCondition(cluster, 'lateWriteShare', getBetween(cluster.simulation.random, 0.2, 1)),
	},
	{
		name: 'watch-late',
		rate: 1.5,
		minMs: 500,
		maxMs: 6000,
		start: cluster => setCondition(cluster, 'watchDelayMs', getBetween(cluster.simulation.random, 200, 4000)),
	},
	{
		name: 'watch-silent',
		rate: 2,
		minMs: 500,
		maxMs: 10_000,
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
		minMs: 0,
		maxMs: 0,
		start({simulation: world}) {
			world.store.expireLeases();
			return undefined;
		},
	},
	{
		name: 'bundle-restore',
		rate: 1,
		minMs: 0,
		maxMs: 0,
		start({simulation: world}) {
			world.store.restoreState(getBetween(world.random, 1000, 20_000), storeKeys.bundleHead);
			return undefined;
		},
	},
	{
		// The epoch and the instance records go back too, which breaks the compare-and-swap that the proofs rest on.
		name: 'store-restore',
		isOptIn: true,
		rate: 0.3,
		minMs: 0,
		maxMs: 0,
		start({simulation: world}) {
			world.store.restoreState(getBetween(world.random, 1000, 20_000));
			return undefined;
		},
	},
];
