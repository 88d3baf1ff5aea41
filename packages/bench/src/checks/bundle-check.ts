import {signedBundleSchema, storeKeys} from '@pistachiogauge/model';
import {type VirtualEntry, type Simulation} from '../virtual/simulation.js';
import {type Check} from './check.js';

/** Bound of section 1.2 of the design page. */
const rolloutBoundMs = 3000;
const maxStoreDelayMs = 100;

type Head = {readonly version: number; readonly at: number};
type History = Head[];

/** A bundle in force at one entry is in force within the bound at every entry connected to it, and no entry returns to a lower version. */
export const bundleForwardCheck: Check = {
	name: 'bundle-forward',
	createHandlers() {
		const histories = new Map<VirtualEntry, History>();
		/** Bundle head in the store; a restore of the store can revert it. */
		let head: Head = {version: 0, at: 0};
		let storeHealthySince = 0;
		return {
			'event-applied'(simulation, {entry}) {
				const version = entry.state.bundle.current?.version ?? 0;
				const history = histories.get(entry) ?? [];
				const previous = history.at(-1)?.version ?? 0;
				if (version !== previous || history.length === 0) {
					history.push({version, at: simulation.queue.now});
					histories.set(entry, history);
				}

				return version < previous ? `${entry.id} went from version ${previous} back to ${version}` : undefined;
			},
			'store-written'(simulation, {key, value}) {
				if (key === storeKeys.bundleHead) {
					head = {version: value === undefined ? 0 : signedBundleSchema.parse(JSON.parse(value)).version, at: simulation.queue.now};
				}

				return undefined;
			},
			'interval-elapsed'(simulation) {
				storeHealthySince = isStoreHealthy(simulation) ? storeHealthySince : simulation.queue.now;
				for (const entry of simulation.entries.values()) {
					const message = isRunningUndisturbed(simulation, entry) ? describeLateBundle(simulation, entry, histories, {head, storeHealthySince}) : undefined;
					if (message !== undefined) {
						return message;
					}
				}

				return undefined;
			},
		};
	},
};

function isStoreHealthy({conditions}: Simulation): boolean {
	return !conditions.isStoreDown && conditions.storeDelayMs < maxStoreDelayMs && conditions.watchDelayMs < maxStoreDelayMs && conditions.lostAnswerShare === 0;
}

function isRunningUndisturbed(simulation: Simulation, entry: VirtualEntry): boolean {
	return entry.isAlive && !entry.isPaused && simulation.queue.now - entry.runningSince > rolloutBoundMs;
}

type StoreStatus = {readonly head: Head; readonly storeHealthySince: number};

function describeLateBundle(simulation: Simulation, entry: VirtualEntry, histories: ReadonlyMap<VirtualEntry, History>, {head, storeHealthySince}: StoreStatus): string | undefined {
	const version = entry.state.bundle.current?.version ?? 0;
	const latestAllowedAt = simulation.queue.now - rolloutBoundMs;
	const watchedSince = Math.max(simulation.store.getWatchedSince(entry) ?? Number.POSITIVE_INFINITY, storeHealthySince);
	if (head.version > version && Math.max(head.at, watchedSince) < latestAllowedAt) {
		return `${entry.id} still has version ${version}; the store has accepted ${head.version} at ${head.at.toFixed(0)}`;
	}

	for (const [holder, history] of histories) {
		const newer = holder === entry || !isRunningUndisturbed(simulation, holder) ? undefined : history.find(item => item.version > version);
		if (newer === undefined) {
			continue;
		}

		const outboundSince = simulation.network.getUnblockedSince(holder, entry) ?? Number.POSITIVE_INFINITY;
		const inboundSince = simulation.network.getUnblockedSince(entry, holder) ?? Number.POSITIVE_INFINITY;
		if (Math.max(outboundSince, inboundSince, newer.at) < latestAllowedAt) {
			return `${entry.id} still has version ${version}; ${holder.id} has had ${newer.version} since ${newer.at.toFixed(0)}`;
		}
	}

	return undefined;
}
