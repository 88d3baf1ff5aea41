import {type OperatorCommand} from '@pistachiogauge/model';
import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseItem} from '../virtual/simulation.js';
import {chooseEntry, chooseInstanceId, type Fault} from './fault.js';

/** Returns the highest bundle version that is in force at any entry. */
export function getHighestBundleVersion({simulation}: VirtualCluster): number {
	return Math.max(0, ...[...simulation.entries.values()].map(entry => entry.state.bundle.current?.version ?? 0));
}

/** Applies the next bundle version through a random entry. */
export function applyBundle(cluster: VirtualCluster, operator = 'ayse'): void {
	const entry = chooseEntry(cluster);
	if (entry !== undefined) {
		const bundle = cluster.simulation.bundles.createBundle(getHighestBundleVersion(cluster) + 1, operator);
		cluster.callOperator(entry, {command: 'bundle-apply', bundle, nonce: `${operator}-${cluster.operatorCalls.length}`}, operator);
	}
}

function createOperatorCallFault(name: string, rate: number, createCommand: (cluster: VirtualCluster) => OperatorCommand): Fault {
	return {
		name,
		rate,
		minDurationMs: 0,
		maxDurationMs: 0,
		start(cluster) {
			const entry = chooseEntry(cluster);
			if (entry !== undefined) {
				cluster.callOperator(entry, createCommand(cluster));
			}

			return undefined;
		},
	};
}

/** Returns the pool that the platform created an instance for. After a move the call names the wrong pool, as an operator may do. */
function getDeliveredPool({simulation}: VirtualCluster, instance: string): string {
	return simulation.fleet.endpoints.get(instance)!.instance.pool;
}

function choosePool({simulation}: VirtualCluster): string {
	return chooseItem(simulation.random, simulation.bundles.poolNames);
}

export const operatorFaults: readonly Fault[] = [
	{
		name: 'operator-bundle',
		rate: 4,
		minDurationMs: 0,
		maxDurationMs: 0,
		start(cluster) {
			applyBundle(cluster);
			return undefined;
		},
	},
	{
		name: 'operator-race',
		rate: 1,
		minDurationMs: 0,
		maxDurationMs: 0,
		start(cluster) {
			applyBundle(cluster, 'ayse');
			applyBundle(cluster, 'mihai');
			return undefined;
		},
	},
	createOperatorCallFault('operator-drain', 4, cluster => {
		const instance = chooseInstanceId(cluster);
		return {command: 'drain', pool: getDeliveredPool(cluster, instance), instance};
	}),
	createOperatorCallFault('operator-undrain', 4, cluster => {
		const instance = chooseInstanceId(cluster);
		return {command: 'undrain', pool: getDeliveredPool(cluster, instance), instance};
	}),
	createOperatorCallFault('operator-move', 2, cluster => {
		const instance = chooseInstanceId(cluster);
		return {
			command: 'move', pool: getDeliveredPool(cluster, instance), instance, targetPool: choosePool(cluster),
		};
	}),
	createOperatorCallFault('operator-wave', 2, cluster => ({command: 'wave-start', pool: choosePool(cluster)})),
	createOperatorCallFault('operator-wave-pause', 0.5, cluster => ({command: 'wave-pause', pool: choosePool(cluster)})),
];
