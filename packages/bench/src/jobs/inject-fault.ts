import {type JobsSimulation} from './jobs-simulation.js';
import {virtualMoveOutcomes} from './virtual-machine-service.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {type CutDirection} from './virtual-network.js';
import {muteWatches} from './virtual-watches.js';

type FaultInjector = (simulation: JobsSimulation) => void;

/** Upper bound of a fault's duration; longer than the leases, so that some of them expire. */
const maxOutageMs = 9000;
/** Bounds of a cut's duration: from the length of an endpoint's lease to twice that. */
const splitMs = {min: 5000, max: 12_000} as const;
/** Directions of a cut; one that loses messages both ways is the most frequent. */
const cutDirections: readonly CutDirection[] = ['both', 'both', 'inbound', 'outbound'];

export function chooseItem<Item>(simulation: JobsSimulation, items: readonly Item[]): Item | undefined {
	return items.length === 0 ? undefined : items[simulation.random.getInteger(items.length)];
}

function chooseDurationMs(simulation: JobsSimulation, maxMs = maxOutageMs): number {
	return 200 + simulation.random.getInteger(maxMs);
}

export function listRunningEntries(simulation: JobsSimulation): VirtualJobsEntry[] {
	return simulation.entries.filter(entry => entry.isUp);
}

/** Chooses an entry that holds a claim, if there is one. */
function chooseClaimHolder(simulation: JobsSimulation): VirtualJobsEntry | undefined {
	const claim = chooseItem(simulation, [...simulation.store.claims.values()]);
	return simulation.entries.find(entry => entry.isUp && entry.node === claim?.node);
}

/** Chooses the holder of a claim, some of the other entries and some of the endpoints. */
function chooseSplitNodes(simulation: JobsSimulation): ReadonlySet<string> {
	const {random, entries, endpoints} = simulation;
	const holder = chooseClaimHolder(simulation);
	return new Set([
		...(holder === undefined ? [] : [holder.node]),
		...entries.filter(() => random.getInteger(4) === 0).map(({node}) => node),
		...[...endpoints.values()].filter(({isUp}) => isUp && random.getInteger(3) === 0).map(({registration}) => registration.id),
	]);
}

/** Cuts the named nodes off from the store and all others for some seconds; they reach each other. */
function startSplit(simulation: JobsSimulation, nodes: ReadonlySet<string>): void {
	const cut = {nodes, direction: chooseItem(simulation, cutDirections)!};
	const durationMs = splitMs.min + simulation.random.getInteger(splitMs.max - splitMs.min);
	simulation.logFault(`cut ${cut.direction} of ${[...nodes].join(', ')} for ${durationMs} ms`);
	simulation.network.startCut(cut);
	simulation.queue.add(durationMs, () => {
		simulation.network.endCut(cut);
	});
}

const faultInjectors: Readonly<Record<string, FaultInjector>> = {
	'entry-killed'(simulation) {
		const entry = chooseItem(simulation, listRunningEntries(simulation));
		if (entry !== undefined) {
			simulation.killEntry(entry, chooseDurationMs(simulation));
		}
	},
	'all-entries-killed'(simulation) {
		for (const entry of listRunningEntries(simulation)) {
			simulation.killEntry(entry, 500 + simulation.random.getInteger(2500));
		}
	},
	'entry-paused'(simulation) {
		const entry = chooseItem(simulation, listRunningEntries(simulation));
		if (entry !== undefined) {
			entry.pausedUntil = simulation.queue.now + chooseDurationMs(simulation, 6000);
		}
	},
	'entry-without-store'(simulation) {
		const entry = chooseItem(simulation, listRunningEntries(simulation));
		if (entry !== undefined) {
			entry.isStoreReachable = false;
			simulation.queue.add(chooseDurationMs(simulation), () => {
				simulation.reconnectStore(entry);
			});
		}
	},
	'store-down'(simulation) {
		simulation.isStoreUp = false;
		simulation.queue.add(chooseDurationMs(simulation, 5000), () => {
			simulation.isStoreUp = true;
			simulation.loseWatchHistory();
		});
	},
	'history-lost'(simulation) {
		simulation.loseWatchHistory();
	},
	'endpoint-crashed'(simulation) {
		const endpoint = chooseItem(simulation, [...simulation.endpoints.values()].filter(each => each.isUp));
		if (endpoint !== undefined) {
			simulation.crashEndpoint(endpoint, chooseDurationMs(simulation, 5000));
		}
	},
	'endpoint-cut'(simulation) {
		const endpoint = chooseItem(simulation, [...simulation.endpoints.values()].filter(each => each.isUp));
		if (endpoint !== undefined) {
			endpoint.isReachable = false;
			simulation.queue.add(chooseDurationMs(simulation, 12_000), () => {
				endpoint.isReachable = true;
			});
		}
	},
	'orders-late'(simulation) {
		simulation.lateOrderShare = 0.15;
		simulation.queue.add(chooseDurationMs(simulation, 5000), () => {
			simulation.lateOrderShare = 0;
		});
	},
	split(simulation) {
		startSplit(simulation, chooseSplitNodes(simulation));
	},
	'claims-revoked'(simulation) {
		const holder = chooseClaimHolder(simulation);
		if (holder === undefined) {
			return;
		}

		if (simulation.random.getInteger(2) === 0) {
			startSplit(simulation, new Set([...chooseSplitNodes(simulation), holder.node]));
		}

		const lease = holder.session?.getLease();
		if (lease !== undefined && simulation.random.getInteger(2) === 0) {
			simulation.logFault(`lease of ${holder.node} ended`);
			simulation.store.endLease(lease);
		} else {
			simulation.logFault(`records of ${holder.node} removed`);
			simulation.store.revokeRecords(holder.node);
		}
	},
	'watch-deaf'(simulation) {
		const entry = chooseItem(simulation, listRunningEntries(simulation));
		if (entry !== undefined) {
			muteWatches(entry, simulation.queue.now + 1000 + simulation.random.getInteger(5000));
		}
	},
	'writes-unanswered'(simulation) {
		simulation.unansweredWriteShare = 0.2;
		simulation.queue.add(chooseDurationMs(simulation, 5000), () => {
			simulation.unansweredWriteShare = 0;
		});
	},
	'advice-lost'(simulation) {
		simulation.advice.lostShare = 0.5;
		simulation.queue.add(chooseDurationMs(simulation, 5000), () => {
			simulation.advice.lostShare = 0;
		});
	},
	'moves-changed'(simulation) {
		// Goes on until the next such fault.
		simulation.machineService.outcome = chooseItem(simulation, virtualMoveOutcomes)!;
		simulation.logFault(`moves of machines are ${simulation.machineService.outcome}`);
	},
	'endpoint-reborn'(simulation) {
		const endpoint = chooseItem(simulation, [...simulation.endpoints.values()].filter(each => each.isUp));
		if (endpoint !== undefined) {
			startSplit(simulation, simulation.random.getInteger(2) === 0
				? new Set([endpoint.registration.id])
				: new Set([...chooseSplitNodes(simulation), endpoint.registration.id]));
			simulation.queue.add(simulation.random.getInteger(3000), () => {
				if (endpoint.isUp) {
					simulation.restartEndpoint(endpoint, chooseDurationMs(simulation, 3000));
				}
			});
		}
	},
};

/** Names of the faults that the command line accepts. */
export const jobFaults: readonly string[] = Object.keys(faultInjectors);

/** Injects the fault with a given name; an unknown name has no effect. */
export function injectFault(simulation: JobsSimulation, fault: string): void {
	faultInjectors[fault]?.(simulation);
}
