/** A key with its value and revisions. */
export type StoredPair = {
	readonly key: string;
	readonly value: string;
	readonly createRevision: number;
	readonly modRevision: number;
	readonly lease: string | undefined;
};

/** A change of a key as listeners receive it. */
export type StoredChange = {
	readonly type: 'PUT' | 'DELETE';
	readonly pair: StoredPair;
};

type Lease = {
	readonly ttlSeconds: number;
	expiresAt: number;
};

/** In-memory key-value store with revisions, leases and change listeners. */
export class KeyValueStore {
	readonly #pairs = new Map<string, StoredPair>();
	readonly #leases = new Map<string, Lease>();
	readonly #listeners = new Set<(change: StoredChange) => void>();
	#revision = 1;
	#leaseCount = 0;

	get revision(): number {
		return this.#revision;
	}

	getPair(key: string): StoredPair | undefined {
		return this.#pairs.get(key);
	}

	/** Lists the pairs from `key` (inclusive) to `end` (exclusive), or the pair of `key` when there is no end. */
	listPairs(key: string, end?: string): StoredPair[] {
		if (end === undefined) {
			const pair = this.#pairs.get(key);
			return pair === undefined ? [] : [pair];
		}

		return [...this.#pairs.values()].filter(pair => pair.key >= key && pair.key < end).sort((left, right) => left.key < right.key ? -1 : 1);
	}

	putPair(key: string, value: string, lease?: string): void {
		this.#revision += 1;
		const pair: StoredPair = {
			key, value, createRevision: this.#pairs.get(key)?.createRevision ?? this.#revision, modRevision: this.#revision, lease,
		};
		this.#pairs.set(key, pair);
		this.#notify({type: 'PUT', pair});
	}

	deletePair(key: string): void {
		const pair = this.#pairs.get(key);
		if (pair === undefined) {
			return;
		}

		this.#revision += 1;
		this.#pairs.delete(key);
		this.#notify({type: 'DELETE', pair: {...pair, value: '', modRevision: this.#revision}});
	}

	grantLease(ttlSeconds: number, now: number): string {
		this.#leaseCount += 1;
		const id = String(this.#leaseCount);
		this.#leases.set(id, {ttlSeconds, expiresAt: now + (ttlSeconds * 1000)});
		return id;
	}

	/** Renews a lease and returns its time to live in seconds, or 0 when it has expired. */
	renewLease(id: string, now: number): number {
		const lease = this.#leases.get(id);
		if (lease === undefined) {
			return 0;
		}

		lease.expiresAt = now + (lease.ttlSeconds * 1000);
		return lease.ttlSeconds;
	}

	/** Deletes expired leases and the pairs attached to them. */
	expireLeases(now: number): void {
		for (const [id, lease] of this.#leases) {
			if (lease.expiresAt > now) {
				continue;
			}

			this.#leases.delete(id);
			for (const pair of this.#pairs.values()) {
				if (pair.lease === id) {
					this.deletePair(pair.key);
				}
			}
		}
	}

	/** Adds a listener and returns a function that removes it. */
	addListener(listener: (change: StoredChange) => void): () => void {
		this.#listeners.add(listener);
		return () => this.#listeners.delete(listener);
	}

	#notify(change: StoredChange): void {
		for (const listener of this.#listeners) {
			listener(change);
		}
	}
}
