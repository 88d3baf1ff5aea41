import {
	storeKeys, type EffectOf, type KeyValue, type StoreResult,
} from '@pistachiogauge/model';
import {
	getBetween, type StoreEffect, type VirtualEntry, type VirtualStore, type Simulation,
} from './world.js';

type Stored = {
	readonly value: string;
	readonly revision: number;
	/** Entry under whose lease the key stands. */
	readonly leaseOf: string | undefined;
};

type Client = {
	readonly entry: VirtualEntry;
	isWatching: boolean;
	watchedSince: number | undefined;
	/** Changes arrive in order. */
	nextDeliveryAt: number;
	leaseUntil: number;
	/** Revision up to which the watch has delivered or missed changes. */
	hasMissed: boolean;
};

type Applied = {readonly result: StoreResult; readonly entries: readonly KeyValue[]};

const callTimeoutMs = 1000;
const leaseMs = 5000;
const pollMs = 2000;
const lateWriteMaxMs = 6000;
const snapshotMs = 1000;
const keptSnapshots = 30;

/**
Creates the platform's key-value service of a run, together with each entry's client for it.

@public
*/
export function createVirtualStore(world: Simulation): VirtualStore {
	const {queue, random, conditions} = world;
	const data = new Map<string, Stored>();
	const clients = new Map<VirtualEntry, Client>();
	const snapshots: Array<{readonly at: number; readonly data: ReadonlyMap<string, Stored>}> = [];
	let revision = 0;

	function getDelay(): number {
		return (conditions.storeDelayMs * getBetween(random, 0.5, 1.5)) + 0.5;
	}

	function setKey(key: string, stored: Stored | undefined, cause: 'entry' | 'lease' | 'restore' = 'entry'): void {
		if (stored === undefined) {
			data.delete(key);
		} else {
			data.set(key, stored);
		}

		world.trace.addLine(`${queue.now.toFixed(2)} store ${key} ${stored === undefined ? 'deleted' : `revision ${stored.revision}`}`);
		world.observe({
			kind: 'store-written', key, value: stored?.value, cause,
		});
		if (key.startsWith(storeKeys.auditPrefix)) {
			return;
		}

		for (const client of clients.values()) {
			notifyClient(client, key, stored, revision);
		}
	}

	function notifyClient(client: Client, key: string, stored: Stored | undefined, changeRevision: number): void {
		const {entry} = client;
		if (!client.isWatching || !entry.isAlive) {
			return;
		}

		if (conditions.silentWatches.has(entry.name)) {
			client.hasMissed = true;
			return;
		}

		client.nextDeliveryAt = Math.max(client.nextDeliveryAt, queue.now + (conditions.watchDelayMs * getBetween(random, 0.5, 1.5)));
		queue.add(client.nextDeliveryAt - queue.now, () => {
			if (client.isWatching) {
				world.deliver(entry, {
					kind: 'store-changed', key, value: stored?.value, revision: changeRevision,
				});
			}
		});
	}

	const operations: {readonly [Kind in StoreEffect['kind']]: (entry: VirtualEntry, effect: EffectOf<Kind>) => Applied} = {
		'read-store'(_entry, {key, isPrefix}) {
			const entries: KeyValue[] = [];
			for (const [name, stored] of data) {
				if (isPrefix ? name.startsWith(key) : name === key) {
					entries.push({key: name, value: stored.value, revision: stored.revision});
				}
			}

			return {result: 'applied', entries};
		},
		'write-store'(entry, effect) {
			if (!isConditionMet(data.get(effect.key), effect.condition)) {
				return {result: 'conflict', entries: []};
			}

			if (effect.isLeased && (clients.get(entry)?.leaseUntil ?? 0) <= queue.now) {
				return {result: 'failed', entries: []};
			}

			revision += 1;
			setKey(effect.key, {value: effect.value, revision, leaseOf: effect.isLeased ? entry.id : undefined});
			return {result: 'applied', entries: [{key: effect.key, value: effect.value, revision}]};
		},
		'delete-store'(_entry, {key}) {
			if (data.has(key)) {
				revision += 1;
				setKey(key, undefined);
			}

			return {result: 'applied', entries: []};
		},
	};

	function runOperation(entry: VirtualEntry, effect: StoreEffect): void {
		const apply = operations[effect.kind] as (caller: VirtualEntry, value: StoreEffect) => Applied;
		const isLate = effect.kind !== 'read-store' && random.getFraction() < conditions.lateWriteShare;
		const isLost = random.getFraction() < conditions.lostAnswerShare;
		const outwardMs = isLate ? getBetween(random, callTimeoutMs, lateWriteMaxMs) : getDelay();
		const totalMs = outwardMs + getDelay();
		const isAnswered = !isLost && totalMs < callTimeoutMs;
		let applied: Applied = {result: 'failed', entries: []};
		queue.add(outwardMs, () => {
			if (!conditions.isStoreDown) {
				applied = apply(entry, effect);
			}
		});
		queue.add(isAnswered ? totalMs : callTimeoutMs, () => {
			const {result, entries} = isAnswered ? applied : {result: 'failed' as const, entries: []};
			world.deliver(entry, {
				kind: 'store-answered', operationId: effect.operationId, result, entries,
			});
		});
	}

	function loseWatch(client: Client): void {
		if (client.isWatching) {
			client.isWatching = false;
			client.watchedSince = undefined;
			world.deliver(client.entry, {kind: 'store-lost'});
			queue.add(getBetween(random, 100, 3000), () => {
				openWatch(client);
			});
		}
	}

	function openWatch(client: Client): void {
		if (!client.entry.isAlive) {
			return;
		}

		if (conditions.isStoreDown || client.entry.isPaused) {
			queue.add(getBetween(random, 100, 3000), () => {
				openWatch(client);
			});
			return;
		}

		client.isWatching = true;
		client.hasMissed = false;
		client.watchedSince = queue.now;
		world.deliver(client.entry, {kind: 'store-reached'});
	}

	/** The production client reveals a silent watch by a read that shows newer revisions twice in a row. */
	function pollClient(client: Client): void {
		queue.add(pollMs * getBetween(random, 0.75, 1.25), () => {
			if (!client.entry.isAlive) {
				return;
			}

			if (client.isWatching && !client.entry.isPaused && (conditions.isStoreDown || client.hasMissed)) {
				loseWatch(client);
			}

			pollClient(client);
		});
	}

	function keepLease(client: Client): void {
		if (!client.entry.isAlive) {
			return;
		}

		if (!client.entry.isPaused && !conditions.isStoreDown) {
			const hasLapsed = client.leaseUntil <= queue.now;
			client.leaseUntil = queue.now + leaseMs;
			if (hasLapsed && client.isWatching) {
				world.deliver(client.entry, {kind: 'store-reached'});
			}
		}

		queue.add(leaseMs / 3, () => {
			keepLease(client);
		});
	}

	function removeLeased(entryId: string): void {
		for (const [key, stored] of data) {
			if (stored.leaseOf === entryId) {
				revision += 1;
				setKey(key, undefined, 'lease');
			}
		}
	}

	function endLeases(): void {
		queue.add(snapshotMs, () => {
			if (!conditions.isStoreDown) {
				for (const [entry, client] of clients) {
					if (client.leaseUntil <= queue.now) {
						removeLeased(entry.id);
					}
				}
			}

			snapshots.push({at: queue.now, data: new Map(data)});
			if (snapshots.length > keptSnapshots) {
				snapshots.shift();
			}

			endLeases();
		});
	}

	endLeases();
	return {
		keyValues: data,
		runOperation,
		addClient(entry) {
			const client: Client = {
				entry, isWatching: false, watchedSince: undefined, nextDeliveryAt: 0, leaseUntil: queue.now + leaseMs, hasMissed: false,
			};
			clients.set(entry, client);
			keepLease(client);
			pollClient(client);
			queue.add(getBetween(random, 1, 20), () => {
				openWatch(client);
			});
		},
		breakWatches() {
			for (const client of clients.values()) {
				loseWatch(client);
			}
		},
		expireLeases() {
			for (const client of clients.values()) {
				client.leaseUntil = 0;
			}
		},
		restoreState(ageMs, prefix = '') {
			const snapshot = snapshots.findLast(item => item.at <= queue.now - ageMs) ?? snapshots[0];
			const older = snapshot?.data ?? new Map<string, Stored>();
			for (const client of clients.values()) {
				loseWatch(client);
			}

			for (const key of [...data.keys()].filter(name => name.startsWith(prefix) && !older.has(name))) {
				setKey(key, undefined, 'restore');
			}

			for (const [key, stored] of older) {
				if (key.startsWith(prefix) && data.get(key) !== stored) {
					setKey(key, stored, 'restore');
				}
			}
		},
		getWatchedSince(entry) {
			const client = clients.get(entry);
			return client === undefined || conditions.isStoreDown || conditions.silentWatches.has(entry.name) ? undefined : client.watchedSince;
		},
	};
}

function isConditionMet(stored: Stored | undefined, condition: EffectOf<'write-store'>['condition']): boolean {
	const tests = {
		always: () => true,
		absent: () => stored === undefined,
		unchanged: () => condition.kind === 'unchanged' && stored?.revision === condition.revision,
	} as const;
	return tests[condition.kind]();
}
