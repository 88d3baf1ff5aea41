import {endEntry, pauseEntry, resumeEntry} from '../virtual/virtual-entry.js';
import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseEntry, listAlive, type Fault} from './fault.js';

/** Kills of entries: each comes back as another incarnation. */
function killEntry(cluster: VirtualCluster): (() => void) | undefined {
	const entry = chooseEntry(cluster);
	if (entry === undefined) {
		return undefined;
	}

	endEntry(cluster.simulation, entry);
	return () => {
		restartEntry(cluster, entry.name);
	};
}

function restartEntry(cluster: VirtualCluster, name: string): void {
	if (cluster.findEntry(name) === undefined) {
		cluster.startEntry(name);
	}
}

export const entryFaults: readonly Fault[] = [
	{
		name: 'entry-kill', rate: 3, minMs: 100, maxMs: 8000, start: killEntry,
	},
	{
		name: 'entry-pause',
		rate: 5,
		minMs: 20,
		maxMs: 6000,
		start(cluster) {
			const entry = chooseEntry(cluster);
			if (entry === undefined || entry.isPaused) {
				return undefined;
			}

			pauseEntry(entry);
			return () => {
				resumeEntry(cluster.simulation, entry);
			};
		},
	},
	{
		name: 'entry-stop',
		rate: 1,
		minMs: 35_000,
		maxMs: 45_000,
		start(cluster) {
			const entry = chooseEntry(cluster);
			if (entry === undefined || listAlive(cluster).length < 2) {
				return undefined;
			}

			cluster.simulation.deliver(entry, {kind: 'shutdown-requested'});
			return () => {
				endEntry(cluster.simulation, entry);
				restartEntry(cluster, entry.name);
			};
		},
	},
	{
		name: 'zone-loss',
		rate: 0.3,
		minMs: 1000,
		maxMs: 10_000,
		start(cluster) {
			const zone = chooseEntry(cluster)?.zone;
			const lost = listAlive(cluster).filter(entry => entry.zone === zone);
			for (const entry of lost) {
				endEntry(cluster.simulation, entry);
			}

			return () => {
				for (const {name} of lost) {
					restartEntry(cluster, name);
				}
			};
		},
	},
];
