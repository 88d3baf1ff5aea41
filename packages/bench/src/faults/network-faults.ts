import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {getBetween, type VirtualEntry} from '../virtual/world.js';
import {chooseEntry, listAlive, type Fault} from './fault.js';

function choosePair(cluster: VirtualCluster): readonly [VirtualEntry, VirtualEntry] | undefined {
	const left = chooseEntry(cluster);
	const right = chooseEntry(cluster);
	return left === undefined || right === undefined || left === right ? undefined : [left, right];
}

/** Blocks paths; returns how to open them again. */
function closePaths({simulation: world}: VirtualCluster, paths: readonly string[]): () => void {
	const {blockedPaths} = world.conditions;
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
		minMs: 0,
		maxMs: 0,
		start(cluster) {
			const pair = choosePair(cluster);
			if (pair !== undefined) {
				cluster.simulation.network.cutLinks(pair[0].name, pair[1].name);
			}

			return undefined;
		},
	},
	{
		name: 'link-one-way',
		rate: 3,
		minMs: 100,
		maxMs: 8000,
		start(cluster) {
			const pair = choosePair(cluster);
			return pair === undefined ? undefined : closePaths(cluster, [`${pair[0].name}>${pair[1].name}`]);
		},
	},
	{
		name: 'link-silence',
		rate: 3,
		minMs: 100,
		maxMs: 8000,
		start(cluster) {
			const pair = choosePair(cluster);
			return pair === undefined
				? undefined
				: closePaths(cluster, [`${pair[0].name}>${pair[1].name}`, `${pair[1].name}>${pair[0].name}`]);
		},
	},
	{
		name: 'entry-isolated',
		rate: 1.5,
		minMs: 500,
		maxMs: 8000,
		start(cluster) {
			const entry = chooseEntry(cluster);
			const others = listAlive(cluster).filter(other => other !== entry);
			return entry === undefined
				? undefined
				: closePaths(cluster, others.flatMap(other => [`${entry.name}>${other.name}`, `${other.name}>${entry.name}`]));
		},
	},
	{
		name: 'link-slow',
		rate: 1,
		minMs: 500,
		maxMs: 5000,
		start({simulation: world}) {
			const former = world.conditions.linkDelayMs;
			world.conditions.linkDelayMs = getBetween(world.random, 20, 400);
			return () => {
				world.conditions.linkDelayMs = former;
			};
		},
	},
];
