import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseItem, type VirtualEntry} from '../virtual/simulation.js';

/**
A fault that a randomised run injects.

`start` returns the function that ends the fault, or undefined if it ends by itself or cannot start now.

@public
*/
export type Fault = {
	readonly name: string;
	/** Expected number of starts in 1,000 steps. */
	readonly rate: number;
	/** Not part of `all`, because the failure model of the design page excludes it. */
	readonly isOptIn?: boolean;
	/** Limits of the time in virtual ms until the fault ends. */
	readonly minDurationMs: number;
	readonly maxDurationMs: number;
	start(cluster: VirtualCluster): (() => void) | undefined;
};

/** Lists the entries that are running. */
export function listAliveEntries({simulation}: VirtualCluster): VirtualEntry[] {
	return [...simulation.entries.values()].filter(entry => entry.isAlive);
}

/** Draws a running entry; undefined if none is running. */
export function chooseEntry(cluster: VirtualCluster): VirtualEntry | undefined {
	const alive = listAliveEntries(cluster);
	return alive.length === 0 ? undefined : chooseItem(cluster.simulation.random, alive);
}

/** Draws the id of an instance. */
export function chooseInstanceId({simulation}: VirtualCluster): string {
	return chooseItem(simulation.random, [...simulation.fleet.endpoints.keys()]);
}
