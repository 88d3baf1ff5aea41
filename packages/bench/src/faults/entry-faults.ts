import {endEntry, pauseEntry, resumeEntry} from '../virtual/virtual-entry.js';
import {type VirtualCluster} from '../virtual/virtual-cluster.js';
import {chooseEntry, listAliveEntries, type Fault} from './fault.js';

/** Kills an entry; the end of the fault starts a new incarnation. */
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
		name: 'entry-kill', rate: 3, minDurationMs: 100, maxDurationMs: 8000, start: killEntry,
	},
	{
		name: 'entry-pause',
		rate: 5,
		minDurationMs: 20,
		maxDurationMs: 6000,
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
		minDurationMs: 35_000,
		maxDurationMs: 45_000,
		start(cluster) {
			const entry = chooseEntry(cluster);
			if (entry === undefined || listAliveEntries(cluster).length < 2) {
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
		minDurationMs: 1000,
		maxDurationMs: 10_000,
		start(cluster) {
			const zone = chooseEntry(cluster)?.zone;
			const zoneEntries = listAliveEntries(cluster).filter(entry => entry.zone === zone);
			for (const entry of zoneEntries) {
				endEntry(cluster.simulation, entry);
			}

			return () => {
				for (const {name} of zoneEntries) {
					restartEntry(cluster, name);
				}
			};
		},
	},
];
