import {signedBundleSchema, storeKeys} from '@pistachiogauge/model';
import {type VirtualEntry, type Simulation} from '../virtual/world.js';
import {type Check} from './check.js';

/** Bound of section 1.2. */
const rolloutBoundMs = 3000;
const slowStoreMs = 100;

type Head = {readonly version: number; readonly at: number};
type History = Head[];

/** A bundle in force at one entry is in force at every entry that it reaches within the bound, and no entry goes back. */
export const bundleForwardCheck: Check = {
	name: 'bundle-forward',
	createHandlers() {
		const histories = new Map<VirtualEntry, History>();
		/** Head of the store; a restore of the store can take it back. */
		let head: Head = {version: 0, at: 0};
		let storeGoodSince = 0;
		return {
			'entry-stepped'(world, {entry}) {
				const version = entry.state.bundle.current?.version ?? 0;
				const history = histories.get(entry) ?? [];
				const former = history.at(-1)?.version ?? 0;
				if (version !== former || history.length === 0) {
					history.push({version, at: world.queue.now});
					histories.set(entry, history);
				}

				return version < former ? `${entry.id} went from version ${former} back to ${version}` : undefined;
			},
			'store-written'(world, {key, value}) {
				if (key === storeKeys.bundleHead) {
					head = {version: value === undefined ? 0 : signedBundleSchema.parse(JSON.parse(value)).version, at: world.queue.now};
				}

				return undefined;
			},
			'time-passed'(world) {
				storeGoodSince = isStoreGood(world) ? storeGoodSince : world.queue.now;
				for (const entry of world.entries.values()) {
					const late = isSteady(world, entry) ? findLate(world, entry, histories, {head, storeGoodSince}) : undefined;
					if (late !== undefined) {
						return late;
					}
				}

				return undefined;
			},
		};
	},
};

function isStoreGood({conditions}: Simulation): boolean {
	return !conditions.isStoreDown && conditions.storeDelayMs < slowStoreMs && conditions.watchDelayMs < slowStoreMs && conditions.lostAnswerShare === 0;
}

function isSteady(world: Simulation, entry: VirtualEntry): boolean {
	return entry.isAlive && !entry.isPaused && world.queue.now - entry.runningSince > rolloutBoundMs;
}

type StoreView = {readonly head: Head; readonly storeGoodSince: number};

function findLate(world: Simulation, entry: VirtualEntry, histories: ReadonlyMap<VirtualEntry, History>, {head, storeGoodSince}: StoreView): string | undefined {
	const version = entry.state.bundle.current?.version ?? 0;
	const before = world.queue.now - rolloutBoundMs;
	const watchedSince = Math.max(world.store.getWatchedSince(entry) ?? Number.POSITIVE_INFINITY, storeGoodSince);
	if (head.version > version && Math.max(head.at, watchedSince) < before) {
		return `${entry.id} still has version ${version}; the store has accepted ${head.version} at ${head.at.toFixed(0)}`;
	}

	for (const [holder, history] of histories) {
		const held = holder === entry || !isSteady(world, holder) ? undefined : history.find(item => item.version > version);
		if (held === undefined) {
			continue;
		}

		const there = world.network.getPassingSince(holder, entry) ?? Number.POSITIVE_INFINITY;
		const back = world.network.getPassingSince(entry, holder) ?? Number.POSITIVE_INFINITY;
		if (Math.max(there, back, held.at) < before) {
			return `${entry.id} still has version ${version}; ${holder.id} has had ${held.version} since ${held.at.toFixed(0)}`;
		}
	}

	return undefined;
}
