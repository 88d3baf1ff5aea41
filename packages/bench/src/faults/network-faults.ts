import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {getRandomBetween, type VirtualEntry} from '../virtual/simulation.js';
import {chooseEntry, listAliveEntries, type Fault} from './fault.js';

function chooseEntryPair(cluster: VirtualCluster): readonly [VirtualEntry, VirtualEntry] | undefined {
	const left = chooseEntry(cluster);
	const right = chooseEntry(cluster);
	return left === undefined || right === undefined || left === right ? undefined : [left, right];
}

/** Blocks paths; returns the function that unblocks them. */
function blockPaths({simulation}: VirtualCluster, paths: readonly string[]): () => void {
	const {blockedPaths} = simulation.conditions;
	const added = paths.filter(path => !blockedPaths.has(path));
	for (const path of added) {
		blockedPaths.add(path);
	}

	return () => {
		for (const path of added) {
			blockedPaths.delete(path);
		}
	};
}

export const networkFaults: readonly Fault[] = [
	{
		name: 'link-cut',
		rate: 5,
		minDurationMs: 0,
		maxDurationMs: 0,
		start(cluster) {
			const pair = chooseEntryPair(cluster);
			if (pair !== undefined) {
				cluster.simulation.network.cutLinks(pair[0].name, pair[1].name);
			}

			return undefined;
		},
	},
	{
		name: 'link-one-way',
		rate: 3,
		minDurationMs: 100,
		maxDurationMs: 8000,
		start(cluster) {
			const pair = chooseEntryPair(cluster);
			return pair === undefined ? undefined : blockPaths(cluster, [`${pair[0].name}>${pair[1].name}`]);
		},
	},
	{
		name: 'link-silence',
		rate: 3,
		minDurationMs: 100,
		maxDurationMs: 8000,
		start(cluster) {
			const pair = chooseEntryPair(cluster);
			return pair === undefined
				? undefined
				: blockPaths(cluster, [`${pair[0].name}>${pair[1].name}`, `${pair[1].name}>${pair[0].name}`]);
		},
	},
	{
		name: 'entry-isolated',
		rate: 1.5,
		minDurationMs: 500,
		maxDurationMs: 8000,
		start(cluster) {
			const entry = chooseEntry(cluster);
			const others = listAliveEntries(cluster).filter(other => other !== entry);
			return entry === undefined
				? undefined
				: blockPaths(cluster, others.flatMap(other => [`${entry.name}>${other.name}`, `${other.name}>${entry.name}`]));
		},
	},
	{
		name: 'link-slow',
		rate: 1,
		minDurationMs: 500,
		maxDurationMs: 5000,
		start({simulation}) {
			const previous = simulation.conditions.linkDelayMs;
			simulation.conditions.linkDelayMs = getRandomBetween(simulation.random, 20, 400);
			return () => {
				simulation.conditions.linkDelayMs = previous;
			};
		},
	},
];
