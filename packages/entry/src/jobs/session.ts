import {setTimeout as delay} from 'node:timers/promises';
import {type PeerServer} from '@pistachiogauge/jobs';
import {type StoreClient} from '@pistachiogauge/platform';
import {createGuardedWriter} from './guard-writes.js';
import {encodeRecord, recordKeys} from './job-records.js';
import {readClocks} from './read-clocks.js';

/** @internal */
export type SessionOptions = {
	readonly store: StoreClient;
	readonly node: string;
	readonly incarnation: string;
	readonly weight: number;
	/** Where this process takes relayed requests; undefined if it takes none. */
	readonly peerServer: PeerServer | undefined;
	readonly leaseMinMs: number;
	readonly handleOpened: () => void;
	/** Receives the time until which the lease is certain to hold, in monotonic ms and in Unix ms. */
	readonly handleRenewed: (validUntil: number, wallValidUntil: number) => void;
	readonly handleLost: (reason: string) => void;
	readonly handleError: (error: unknown) => void;
};

/** The entry's lease in the store, under which it is registered and holds its claims. @internal */
export type Session = {
	start(): void;
	/** Lease for records that are to be deleted when this process ends; undefined while there is none. */
	getLease(): number | undefined;
	/** Drops the lease and opens another, for when records under the present one are missing. */
	reopen(reason: string): void;
	/** Ends the lease, which deletes all records under it. */
	close(): Promise<void>;
};

/** Time after which a dead process loses its claims: enough for three renewals when the store answers in 250 ms, and longer than a pause of the event loop. */
const leaseTtlMs = 1500;
const renewIntervalMs = 350;
/** Bounds of the random pause before a retry; it is random so that entries do not reconnect all at once. */
const retryPausesMs = {min: 60, max: 300} as const;

/** @internal */
export function createSession(options: SessionOptions): Session {
	const {store, node, incarnation} = options;
	const writeGuarded = createGuardedWriter(store);
	let lease: number | undefined;
	const stopping = new AbortController();

	async function openLease(): Promise<void> {
		const requestedAt = readClocks();
		const granted = await store.createLease(Math.max(leaseTtlMs, options.leaseMinMs));
		const key = `${recordKeys.entryPrefix}${node}`;
		const result = await writeGuarded(key, {
			conditions: [],
			puts: [{key, value: encodeRecord({incarnation, weight: options.weight, peerServer: options.peerServer}), lease: granted.lease}],
		});
		if (result.kind !== 'applied' || stopping.signal.aborted) {
			throw new Error(`registering the entry failed: ${result.kind}`);
		}

		lease = granted.lease;
		reportRenewal(requestedAt, granted.ttlMs);
		options.handleOpened();
	}

	async function renewLease(heldLease: number): Promise<void> {
		const requestedAt = readClocks();
		const renewal = await store.renewLease(heldLease);
		if (lease !== heldLease) {
			return;
		}

		if (renewal === undefined) {
			dropLease('the lease has expired');
			return;
		}

		reportRenewal(requestedAt, renewal.ttlMs);
	}

	/** The lease runs from the arrival of the call, so counting from before it was sent is on the safe side. */
	function reportRenewal({now, wallTime}: ReturnType<typeof readClocks>, ttlMs: number): void {
		options.handleRenewed(now + ttlMs, wallTime + ttlMs);
	}

	function dropLease(reason: string): void {
		lease = undefined;
		options.handleLost(reason);
	}

	async function runRenewals(): Promise<void> {
		while (!stopping.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await (lease === undefined ? openLease() : renewLease(lease));
				if (lease !== undefined) {
					// eslint-disable-next-line no-await-in-loop
					await delay(renewIntervalMs);
				}
			} catch (error) {
				options.handleError(error);
				// eslint-disable-next-line no-await-in-loop
				await delay(retryPausesMs.min + (Math.random() * (retryPausesMs.max - retryPausesMs.min)));
			}
		}
	}

	return {
		start() {
			void runRenewals();
		},
		getLease: () => lease,
		reopen(reason) {
			if (lease !== undefined) {
				dropLease(reason);
			}
		},
		async close() {
			stopping.abort();
			const heldLease = lease;
			lease = undefined;
			if (heldLease !== undefined) {
				await store.endLease(heldLease);
			}
		},
	};
}
