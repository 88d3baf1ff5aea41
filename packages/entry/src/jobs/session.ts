import {setTimeout as delay} from 'node:timers/promises';
import {type StoreClient} from '@pistachiogauge/platform';
import {encodeRecord, recordKeys} from './job-records.js';

/** @internal */
export type SessionOptions = {
	readonly store: StoreClient;
	readonly node: string;
	readonly incarnation: string;
	readonly weight: number;
	readonly leaseMinMs: number;
	readonly opened: () => void;
	readonly renewed: (validUntil: number) => void;
	readonly lost: (reason: string) => void;
	readonly failed: (error: unknown) => void;
};

/** The entry's lease in the store, under which it is registered and holds its claims. @internal */
export type Session = {
	start(): void;
	/** Lease for records that end with this process; undefined while there is none. */
	getLease(): number | undefined;
	/** Opens another lease, as records under the present one have vanished. */
	reopen(reason: string): void;
	/** Ends the lease, and with it all records under it. */
	close(): Promise<void>;
};

/** Time in ms after which a process that has died loses its claims: three renewals of a store that answers in 250 ms, and longer than a pause of its loop. */
const leaseTtlMs = 1500;
/** Time in ms between two renewals. */
const renewMs = 350;
/** Bounds in ms of the pause after a failure; random, so that entries do not return together. */
const retryPausesMs = {min: 60, max: 300} as const;

/** @internal */
export function createSession(options: SessionOptions): Session {
	const {store, node, incarnation} = options;
	let lease: number | undefined;
	const closing = new AbortController();

	async function open(): Promise<void> {
		const askedAt = performance.now();
		const granted = await store.openLease(Math.max(leaseTtlMs, options.leaseMinMs));
		const result = await store.changeItems({
			conditions: [],
			puts: [{key: `${recordKeys.entryPrefix}${node}`, value: encodeRecord({incarnation, weight: options.weight}), lease: granted.lease}],
		});
		if (result.kind !== 'applied' || closing.signal.aborted) {
			throw new Error(`the entry was not registered: ${result.kind}`);
		}

		lease = granted.lease;
		options.renewed(askedAt + granted.ttlMs);
		options.opened();
	}

	async function renew(held: number): Promise<void> {
		const askedAt = performance.now();
		const kept = await store.keepLease(held);
		if (lease !== held) {
			return;
		}

		if (kept === undefined) {
			lose('the lease has ended');
			return;
		}

		options.renewed(askedAt + kept.ttlMs);
	}

	function lose(reason: string): void {
		lease = undefined;
		options.lost(reason);
	}

	async function run(): Promise<void> {
		while (!closing.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await (lease === undefined ? open() : renew(lease));
				if (lease !== undefined) {
					// eslint-disable-next-line no-await-in-loop
					await delay(renewMs);
				}
			} catch (error) {
				options.failed(error);
				// eslint-disable-next-line no-await-in-loop
				await delay(retryPausesMs.min + (Math.random() * (retryPausesMs.max - retryPausesMs.min)));
			}
		}
	}

	return {
		start() {
			void run();
		},
		getLease: () => lease,
		reopen(reason) {
			if (lease !== undefined) {
				lose(reason);
			}
		},
		async close() {
			closing.abort();
			const held = lease;
			lease = undefined;
			if (held !== undefined) {
				await store.endLease(held);
			}
		},
	};
}
