import {poolClaimPrefix} from '@pistachiogauge/jobs';
import {type JobsSimulation} from './jobs-simulation.js';
import {chooseBetween, type OrderDisturbance} from './order-routes.js';
import {virtualMoveOutcomes} from './virtual-machine-service.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {type CutDirection} from './virtual-network.js';
import {type VirtualTaskEndpoint} from './virtual-task-endpoint.js';
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

/** Times of a recut. */
const recutMs = {
	loss: {min: 500, max: 1400},
	dark: 600,
	cutAfterReturn: {min: 150, max: 2000},
	cut: {min: 8500, max: 9500},
	killAfterReturn: {min: -500, max: 2500},
} as const;

/** Draws some of the endpoints of a pool that are up and not part of a recut. */
function chooseRecutEndpoints(simulation: JobsSimulation): VirtualTaskEndpoint[] {
	const free = [...simulation.endpoints.values()].filter(({isUp, registration}) => isUp && !simulation.orderDisturbances.has(registration.id));
	const pool = chooseItem(simulation, free)?.registration.pool;
	const inPool = free.filter(({registration}) => registration.pool === pool);
	const chosen = inPool.filter(() => simulation.random.getInteger(3) > 0);
	return chosen.length > 0 ? chosen : inPool.slice(0, 1);
}

/** Lets endpoints lose answers, restart under their ids and be cut off soon afterwards; in some draws the owner of their pool is killed around their return. */
function startRecut(simulation: JobsSimulation, endpoints: readonly VirtualTaskEndpoint[]): void {
	const {queue, random, orderDisturbances} = simulation;
	const ids = endpoints.map(({registration}) => registration.id);
	const setDisturbance = (disturbance: OrderDisturbance) => {
		for (const id of ids) {
			orderDisturbances.set(id, disturbance);
		}
	};

	const lossMs = chooseBetween(random, recutMs.loss);
	const returnMs = lossMs + recutMs.dark;
	const cutMs = returnMs + chooseBetween(random, recutMs.cutAfterReturn);
	const endMs = cutMs + chooseBetween(random, recutMs.cut);
	simulation.logFault(`recut of ${ids.join(', ')}: crash in ${lossMs.toFixed(0)} ms, return in ${returnMs.toFixed(0)} ms, cut in ${cutMs.toFixed(0)} ms until ${endMs.toFixed(0)} ms`);
	setDisturbance('answers-lost');
	queue.add(lossMs, () => {
		setDisturbance('answers-slow');
		for (const endpoint of endpoints.filter(({isUp}) => isUp)) {
			endpoint.isDark = true;
			simulation.restartEndpoint(endpoint, recutMs.dark);
		}
	});
	const cut = {nodes: new Set(ids), direction: chooseItem(simulation, cutDirections)!};
	queue.add(cutMs, () => {
		simulation.network.startCut(cut);
	});
	queue.add(endMs, () => {
		simulation.network.endCut(cut);
		for (const id of ids) {
			orderDisturbances.delete(id);
		}
	});
	if (random.getInteger(2) === 0) {
		queue.add(returnMs + chooseBetween(random, recutMs.killAfterReturn), () => {
			killOwner(simulation, endpoints[0]!.registration.pool);
		});
	}
}

function killOwner(simulation: JobsSimulation, pool: string): void {
	const owner = simulation.entries.find(({isUp, node}) => isUp && node === simulation.store.claims.get(`${poolClaimPrefix}${pool}`)?.node);
	if (owner !== undefined) {
		simulation.logFault(`owner ${owner.node} of ${pool} killed`);
		simulation.killEntry(owner, chooseDurationMs(simulation));
	}
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
	'endpoints-recut'(simulation) {
		const endpoints = chooseRecutEndpoints(simulation);
		if (endpoints.length > 0) {
			startRecut(simulation, endpoints);
		}
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
