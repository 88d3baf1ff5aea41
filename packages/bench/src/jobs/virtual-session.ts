import {type RandomSource} from '@pistachiogauge/chain';
import {type EventQueue} from '../virtual/event-queue.js';
import {startWallTime} from '../virtual/virtual-clock.js';
import {type StoreCaller} from './call-store.js';
import {type EventDelivery} from './event-delivery.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {type VirtualJobStore} from './virtual-job-store.js';

/** The lease of one incarnation of an entry, renewed as by the entry's process. */
export type VirtualSession = {
	/** Lease for records that are to be deleted when this process ends; undefined while there is none. */
	getLease(): number | undefined;
	/** Drops the lease and opens another, for when records under the present one are missing. */
	reopen(): void;
};

export type VirtualSessionTools = {
	readonly queue: EventQueue;
	readonly random: RandomSource;
	readonly store: VirtualJobStore;
	readonly delivery: EventDelivery;
	readonly callStore: StoreCaller;
};

/** As in the entry's session: duration of a lease, time between renewals, and bounds of the pause before a retry. */
const leaseTtlMs = 1500;
const renewIntervalMs = 350;
const retryPausesMs = {min: 60, max: 300} as const;

/** Opens a session for the entry's present incarnation. */
export function startVirtualSession(entry: VirtualJobsEntry, {
	queue, random, store, delivery, callStore,
}: VirtualSessionTools): VirtualSession {
	const {node, incarnation} = entry;
	let lease: number | undefined;

	function scheduleNext(delayMs: number): void {
		queue.add(delayMs, () => {
			delivery.runInProcess(entry, lease === undefined ? openLease : renewLease, incarnation);
		});
	}

	function retryLater(): void {
		scheduleNext(retryPausesMs.min + (random.getFraction() * (retryPausesMs.max - retryPausesMs.min)));
	}

	/** The lease runs from the arrival of the call, so counting from before it was sent is on the safe side. */
	function reportRenewal(requestedAt: number): void {
		const validUntil = requestedAt + leaseTtlMs;
		delivery.deliver(entry, {kind: 'session-renewed', validUntil, wallValidUntil: startWallTime + validUntil}, incarnation);
	}

	function openLease(): void {
		const requestedAt = queue.now;
		callStore(entry, {
			isWrite: true,
			run: () => store.createLease(queue.now + leaseTtlMs),
			onFailure: retryLater,
			onAnswer(granted) {
				callStore(entry, {
					isWrite: true,
					run: () => store.register({
						node, incarnation, weight: 1, peerServer: {address: node, secret: incarnation},
					}, granted),
					onFailure: retryLater,
					onAnswer(isRegistered) {
						if (!isRegistered) {
							retryLater();
							return;
						}

						lease = granted;
						reportRenewal(requestedAt);
						delivery.deliver(entry, {kind: 'session-opened'}, incarnation);
						scheduleNext(renewIntervalMs);
					},
				});
			},
		});
	}

	function renewLease(): void {
		const heldLease = lease!;
		const requestedAt = queue.now;
		callStore(entry, {
			isWrite: false,
			run: () => store.renewLease(heldLease, queue.now + leaseTtlMs),
			onFailure: retryLater,
			onAnswer(isHeld) {
				if (lease === heldLease && isHeld) {
					reportRenewal(requestedAt);
				} else if (lease === heldLease) {
					dropLease();
				}

				scheduleNext(lease === undefined ? 0 : renewIntervalMs);
			},
		});
	}

	function dropLease(): void {
		lease = undefined;
		delivery.deliver(entry, {kind: 'session-lost'}, incarnation);
	}

	scheduleNext(0);
	return {
		getLease: () => lease,
		reopen() {
			if (lease !== undefined) {
				dropLease();
			}
		},
	};
}
