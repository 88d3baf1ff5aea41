import {
	storeKeys, type EffectOf, type KeyValue, type StoreResult,
} from '@pistachiogauge/model';
import {
	getRandomBetween, type StoreEffect, type VirtualEntry, type VirtualStore, type Simulation,
} from './simulation.js';

type StoredValue = {
	readonly value: string;
	readonly revision: number;
	/** Id of the entry with whose lease the key expires; undefined for a key without a lease. */
	readonly leaseHolderId: string | undefined;
};

type StoreClient = {
	readonly entry: VirtualEntry;
	isWatching: boolean;
	watchedSince: number | undefined;
	/** Virtual time in ms before which no further change is delivered, so that changes arrive in order. */
	nextDeliveryAt: number;
	leaseExpiresAt: number;
	/** Whether the watch was silent while keys changed. */
	hasMissedChanges: boolean;
};

type OperationResult = {readonly result: StoreResult; readonly entries: readonly KeyValue[]};

const callTimeoutMs = 1000;
const leaseMs = 5000;
const pollMs = 2000;
const lateWriteMaxMs = 6000;
const snapshotMs = 1000;
const maxKeptSnapshots = 30;

/**
Creates the platform's key-value store of a run, together with the store client of each entry.

@public
*/
export function createVirtualStore(simulation: Simulation): VirtualStore {
	const {queue, random, conditions} = simulation;
	const keyValues = new Map<string, StoredValue>();
	const clients = new Map<VirtualEntry, StoreClient>();
	const snapshots: Array<{readonly at: number; readonly data: ReadonlyMap<string, StoredValue>}> = [];
	let revision = 0;

	function chooseDelayMs(): number {
		return (conditions.storeDelayMs * getRandomBetween(random, 0.5, 1.5)) + 0.5;
	}

	function setKey(key: string, stored: StoredValue | undefined, cause: 'entry' | 'lease' | 'restore' = 'entry'): void {
		if (stored === undefined) {
			keyValues.delete(key);
		} else {
			keyValues.set(key, stored);
		}

		simulation.trace.addLine(`${queue.now.toFixed(2)} store ${key} ${stored === undefined ? 'deleted' : `revision ${stored.revision}`}`);
		simulation.observe({
			kind: 'store-written', key, value: stored?.value, cause,
		});
		if (key.startsWith(storeKeys.auditPrefix)) {
			return;
		}

		for (const client of clients.values()) {
			notifyClient(client, key, stored, revision);
		}
	}

	function notifyClient(client: StoreClient, key: string, stored: StoredValue | undefined, changeRevision: number): void {
		const {entry} = client;
		if (!client.isWatching || !entry.isAlive) {
			return;
		}

		if (conditions.silentWatches.has(entry.name)) {
			client.hasMissedChanges = true;
			return;
		}

		client.nextDeliveryAt = Math.max(client.nextDeliveryAt, queue.now + (conditions.watchDelayMs * getRandomBetween(random, 0.5, 1.5)));
		queue.add(client.nextDeliveryAt - queue.now, () => {
			if (client.isWatching) {
				simulation.deliver(entry, {
					kind: 'store-changed', key, value: stored?.value, revision: changeRevision,
				});
			}
		});
	}

	const operations: {readonly [Kind in StoreEffect['kind']]: (entry: VirtualEntry, effect: EffectOf<Kind>) => OperationResult} = {
		'read-store'(_entry, {key, isPrefix}) {
			const entries: KeyValue[] = [];
			for (const [name, stored] of keyValues) {
				if (isPrefix ? name.startsWith(key) : name === key) {
					entries.push({key: name, value: stored.value, revision: stored.revision});
				}
			}

			return {result: 'applied', entries};
		},
		'write-store'(entry, effect) {
			if (!isConditionMet(keyValues.get(effect.key), effect.condition)) {
				return {result: 'conflict', entries: []};
			}

			if (effect.isLeased && (clients.get(entry)?.leaseExpiresAt ?? 0) <= queue.now) {
				return {result: 'failed', entries: []};
			}

			revision += 1;
			setKey(effect.key, {value: effect.value, revision, leaseHolderId: effect.isLeased ? entry.id : undefined});
			return {result: 'applied', entries: [{key: effect.key, value: effect.value, revision}]};
		},
		'delete-store'(_entry, {key}) {
			if (keyValues.has(key)) {
				revision += 1;
				setKey(key, undefined);
			}

			return {result: 'applied', entries: []};
		},
	};

	function runOperation(entry: VirtualEntry, effect: StoreEffect): void {
		const apply = operations[effect.kind] as (caller: VirtualEntry, value: StoreEffect) => OperationResult;
		const isLate = effect.kind !== 'read-store' && random.getFraction() < conditions.lateWriteShare;
		const isLost = random.getFraction() < conditions.lostAnswerShare;
		const requestMs = isLate ? getRandomBetween(random, callTimeoutMs, lateWriteMaxMs) : chooseDelayMs();
		const totalMs = requestMs + chooseDelayMs();
		const isAnswered = !isLost && totalMs < callTimeoutMs;
		let applied: OperationResult = {result: 'failed', entries: []};
		queue.add(requestMs, () => {
			if (!conditions.isStoreDown) {
				applied = apply(entry, effect);
			}
		});
		queue.add(isAnswered ? totalMs : callTimeoutMs, () => {
			const {result, entries} = isAnswered ? applied : {result: 'failed' as const, entries: []};
			simulation.deliver(entry, {
				kind: 'store-answered', operationId: effect.operationId, result, entries,
			});
		});
	}

	function closeWatch(client: StoreClient): void {
		if (client.isWatching) {
			client.isWatching = false;
			client.watchedSince = undefined;
			simulation.deliver(client.entry, {kind: 'store-lost'});
			queue.add(getRandomBetween(random, 100, 3000), () => {
				openWatch(client);
			});
		}
	}

	function openWatch(client: StoreClient): void {
		if (!client.entry.isAlive) {
			return;
		}

		if (conditions.isStoreDown || client.entry.isPaused) {
			queue.add(getRandomBetween(random, 100, 3000), () => {
				openWatch(client);
			});
			return;
		}

		client.isWatching = true;
		client.hasMissedChanges = false;
		client.watchedSince = queue.now;
		simulation.deliver(client.entry, {kind: 'store-reached'});
	}

	/** Closes a silent watch, as the production client does when two reads in a row show newer revisions than the watch delivered. */
	function scheduleRevisionPoll(client: StoreClient): void {
		queue.add(pollMs * getRandomBetween(random, 0.75, 1.25), () => {
			if (!client.entry.isAlive) {
				return;
			}

			if (client.isWatching && !client.entry.isPaused && (conditions.isStoreDown || client.hasMissedChanges)) {
				closeWatch(client);
			}

			scheduleRevisionPoll(client);
		});
	}

	function renewLease(client: StoreClient): void {
		if (!client.entry.isAlive) {
			return;
		}

		if (!client.entry.isPaused && !conditions.isStoreDown) {
			const hasExpired = client.leaseExpiresAt <= queue.now;
			client.leaseExpiresAt = queue.now + leaseMs;
			if (hasExpired && client.isWatching) {
				simulation.deliver(client.entry, {kind: 'store-reached'});
			}
		}

		queue.add(leaseMs / 3, () => {
			renewLease(client);
		});
	}

	function deleteLeasedKeys(entryId: string): void {
		for (const [key, stored] of keyValues) {
			if (stored.leaseHolderId === entryId) {
				revision += 1;
				setKey(key, undefined, 'lease');
			}
		}
	}

	/** Deletes the keys of expired leases and takes a snapshot, once per `snapshotMs`. */
	function scheduleLeaseExpiry(): void {
		queue.add(snapshotMs, () => {
			if (!conditions.isStoreDown) {
				for (const [entry, client] of clients) {
					if (client.leaseExpiresAt <= queue.now) {
						deleteLeasedKeys(entry.id);
					}
				}
			}

			snapshots.push({at: queue.now, data: new Map(keyValues)});
			if (snapshots.length > maxKeptSnapshots) {
				snapshots.shift();
			}

			scheduleLeaseExpiry();
		});
	}

	scheduleLeaseExpiry();
	return {
		keyValues,
		runOperation,
		addClient(entry) {
			const client: StoreClient = {
				entry, isWatching: false, watchedSince: undefined, nextDeliveryAt: 0, leaseExpiresAt: queue.now + leaseMs, hasMissedChanges: false,
			};
			clients.set(entry, client);
			renewLease(client);
			scheduleRevisionPoll(client);
			queue.add(getRandomBetween(random, 1, 20), () => {
				openWatch(client);
			});
		},
		breakWatches() {
			for (const client of clients.values()) {
				closeWatch(client);
			}
		},
		expireLeases() {
			for (const client of clients.values()) {
				client.leaseExpiresAt = 0;
			}
		},
		restoreState(ageMs, prefix = '') {
			const snapshot = snapshots.findLast(item => item.at <= queue.now - ageMs) ?? snapshots[0];
			const snapshotData = snapshot?.data ?? new Map<string, StoredValue>();
			for (const client of clients.values()) {
				closeWatch(client);
			}

			for (const key of [...keyValues.keys()].filter(name => name.startsWith(prefix) && !snapshotData.has(name))) {
				setKey(key, undefined, 'restore');
			}

			for (const [key, stored] of snapshotData) {
				if (key.startsWith(prefix) && keyValues.get(key) !== stored) {
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

function isConditionMet(stored: StoredValue | undefined, condition: EffectOf<'write-store'>['condition']): boolean {
	const tests = {
		always: () => true,
		absent: () => stored === undefined,
		unchanged: () => condition.kind === 'unchanged' && stored?.revision === condition.revision,
	} as const;
	return tests[condition.kind]();
}
