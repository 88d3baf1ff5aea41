import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseItem, type VirtualEntry} from '../virtual/world.js';

/**
A fault of a randomised run.

`start` returns how to end it, or nothing when it ends by itself or cannot begin now.

@public
*/
export type Fault = {
	readonly name: string;
	/** Expected starts in 1,000 steps. */
	readonly rate: number;
	/** Left out of `all`: outside the failure model of the design page. */
	readonly isOptIn?: boolean;
	readonly minMs: number;
	readonly maxMs: number;
	start(cluster: VirtualCluster): (() => void) | undefined;
};

/** Entries that run now. */
export function listAlive({simulation: world}: VirtualCluster): VirtualEntry[] {
	return [...world.entries.values()].filter(entry => entry.isAlive);
}

/** Draws a running entry; undefined when none runs. */
export function chooseEntry(cluster: VirtualCluster): VirtualEntry | undefined {
	const alive = listAlive(cluster);
	return alive.length === 0 ? undefined : chooseItem(cluster.simulation.random, alive);
}

/** Draws an instance. */
export function chooseInstance({simulation: world}: VirtualCluster): string {
	return chooseItem(world.random, [...world.fleet.endpoints.keys()]);
}
