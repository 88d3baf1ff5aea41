import {
	type StoreClient, type StoreItem, type StoreTransaction, type TransactionResult,
} from '@pistachiogauge/platform';

/** The platform's store in memory, with leases that end only when a test ends them. @internal */
export type TestStore = {
	readonly client: StoreClient;
	readonly items: ReadonlyMap<string, StoreItem>;
	/** Number of calls since the store was created. */
	getCallCount(): number;
	/** Leaves the next transaction unanswered; it is carried out when the returned function is called, if its conditions hold then. */
	holdNextWrite(): () => void;
	/** Ends the oldest lease, which deletes its records, and returns its time to live in ms. */
	endOldestLease(): number | undefined;
};

const maxTransactionEntries = 32;

/** @internal */
export function createTestStore(): TestStore {
	const items = new Map<string, StoreItem>();
	const leases = new Map<number, {readonly ttlMs: number; readonly keys: Set<string>}>();
	let revision = 100;
	let callCount = 0;
	let holdWrite: ((transaction: StoreTransaction) => void) | undefined;

	function carryOut({conditions, puts, deletes = []}: StoreTransaction): TransactionResult {
		if (conditions.length + puts.length + deletes.length > maxTransactionEntries) {
			return {kind: 'refused'};
		}

		const present = new Map(conditions.map(({key}) => [key, items.get(key)]));
		if (puts.some(({lease}) => lease !== undefined && !leases.has(lease))) {
			return {kind: 'lease-gone'};
		}

		if (conditions.some(condition => (present.get(condition.key)?.revision ?? 0) !== condition.revision)) {
			return {
				kind: 'conflict',
				revisions: new Map([...present].map(([key, item]) => [key, item?.revision ?? 0])),
				values: new Map([...present].flatMap(([key, item]) => item?.value === undefined ? [] : [[key, item.value]])),
			};
		}

		revision += 1;
		for (const {key, value, lease} of puts) {
			items.set(key, {key, value, revision});
			for (const {keys} of leases.values()) {
				keys.delete(key);
			}

			if (lease !== undefined) {
				leases.get(lease)!.keys.add(key);
			}
		}

		for (const key of deletes) {
			items.delete(key);
		}

		return {kind: 'applied', revision};
	}

	return {
		items,
		getCallCount: () => callCount,
		holdNextWrite() {
			let held: StoreTransaction | undefined;
			holdWrite = transaction => {
				held = transaction;
			};

			return () => {
				if (held !== undefined) {
					carryOut(held);
				}
			};
		},
		endOldestLease() {
			const [oldest] = leases;
			if (oldest === undefined) {
				return undefined;
			}

			const [id, {ttlMs, keys}] = oldest;
			leases.delete(id);
			for (const key of keys) {
				items.delete(key);
			}

			return ttlMs;
		},
		client: {
			async readItem(key) {
				callCount += 1;
				return items.get(key);
			},
			async listItems(prefix) {
				callCount += 1;
				return {items: [...items.values()].filter(({key}) => key.startsWith(prefix)), revision};
			},
			async watchItems() {
				return undefined;
			},
			async applyTransaction(transaction) {
				callCount += 1;
				if (holdWrite !== undefined) {
					holdWrite(transaction);
					holdWrite = undefined;
					return {kind: 'unknown'};
				}

				return carryOut(transaction);
			},
			async createLease(ttlMs) {
				callCount += 1;
				revision += 1;
				leases.set(revision, {ttlMs, keys: new Set()});
				return {lease: revision, ttlMs};
			},
			async renewLease(lease) {
				callCount += 1;
				return leases.get(lease);
			},
			async endLease(lease) {
				callCount += 1;
				leases.delete(lease);
			},
		},
	};
}
