import {type OperatorCommand} from '@pistachiogauge/model';
import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseItem} from '../virtual/world.js';
import {chooseEntry, chooseInstance, type Fault} from './fault.js';

/** Highest version that any entry of the run has in force. */
export function getHighestBundleVersion({simulation: world}: VirtualCluster): number {
	return Math.max(0, ...[...world.entries.values()].map(entry => entry.state.bundle.current?.version ?? 0));
}

/** Sends a new bundle through one entry. */
export function applyBundle(cluster: VirtualCluster, operator = 'ayse'): void {
	const entry = chooseEntry(cluster);
	if (entry !== undefined) {
		const bundle = cluster.simulation.bundles.createBundle(getHighestBundleVersion(cluster) + 1, operator);
		cluster.callOperator(entry, {command: 'bundle-apply', bundle, nonce: `${operator}-${cluster.calls.length}`}, operator);
	}
}

function createCallFault(name: string, rate: number, createCommand: (cluster: VirtualCluster) => OperatorCommand): Fault {
	return {
		name,
		rate,
		minMs: 0,
		maxMs: 0,
		start(cluster) {
			const entry = chooseEntry(cluster);
			if (entry !== undefined) {
				cluster.callOperator(entry, createCommand(cluster));
			}

			return undefined;
		},
	};
}

/** Pool that the platform delivered an instance for; after a move the call names the wrong pool, as operators may. */
function getDeliveredPool({simulation: world}: VirtualCluster, instance: string): string {
	return world.fleet.endpoints.get(instance)!.instance.pool;
}

function choosePool({simulation: world}: VirtualCluster): string {
	return chooseItem(world.random, world.bundles.poolNames);
}

export const operatorFaults: readonly Fault[] = [
	{
		name: 'operator-bundle',
		rate: 4,
		minMs: 0,
		maxMs: 0,
		start(cluster) {
			applyBundle(cluster);
			return undefined;
		},
	},
	{
		name: 'operator-race',
		rate: 1,
		minMs: 0,
		maxMs: 0,
		start(cluster) {
			applyBundle(cluster, 'ayse');
			applyBundle(cluster, 'mihai');
			return undefined;
		},
	},
	createCallFault('operator-drain', 4, cluster => {
		const instance = chooseInstance(cluster);
		return {command: 'drain', pool: getDeliveredPool(cluster, instance), instance};
	}),
	createCallFault('operator-undrain', 4, cluster => {
		const instance = chooseInstance(cluster);
		return {command: 'undrain', pool: getDeliveredPool(cluster, instance), instance};
	}),
	createCallFault('operator-move', 2, cluster => {
		const instance = chooseInstance(cluster);
		return {
			command: 'move', pool: getDeliveredPool(cluster, instance), instance, targetPool: choosePool(cluster),
		};
	}),
	createCallFault('operator-wave', 2, cluster => ({command: 'wave-start', pool: choosePool(cluster)})),
	createCallFault('operator-wave-pause', 0.5, cluster => ({command: 'wave-pause', pool: choosePool(cluster)})),
];
