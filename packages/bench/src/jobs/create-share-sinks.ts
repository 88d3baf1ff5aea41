import {
	poolClaimPrefix, type JobEvent, type JobEventOf, type OwnedPool,
} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {startWallTime} from '../virtual/virtual-clock.js';
import {type StoreCaller} from './call-store.js';
import {type VirtualSinks} from './create-virtual-sinks.js';
import {type EventDelivery} from './event-delivery.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';
import {type VirtualShareRecords} from './virtual-share-records.js';

export type ShareSinkTools = {
	readonly queue: EventQueue;
	readonly delivery: EventDelivery;
	readonly callStore: StoreCaller;
	readonly shareRecords: VirtualShareRecords;
};

/** Pause before a list that could not be read is read again. */
const retryMs = 200;

/** Creates the sinks for the shares of the accounts' caps. */
export function createShareSinks({
	queue, delivery, callStore, shareRecords,
}: ShareSinkTools): Pick<VirtualSinks, 'follow-shares' | 'read-shares' | 'write-shares'> {
	/** Reads the list until that succeeds or another list is to be read. */
	function listShares(entry: VirtualJobsEntry, owned: readonly OwnedPool[]): void {
		const {incarnation} = entry;
		callStore(entry, {
			isWrite: false,
			run: () => shareRecords.listShares(),
			onAnswer(shares) {
				delivery.deliver(entry, {kind: 'shares-listed', owned, shares});
			},
			onFailure() {
				queue.add(retryMs, () => {
					delivery.runInProcess(entry, () => {
						if (entry.state.quota.followed === owned) {
							listShares(entry, owned);
						}
					}, incarnation);
				});
			},
		});
	}

	return {
		'follow-shares'(entry, {owned}) {
			if (owned.length > 0) {
				listShares(entry, owned);
			}
		},
		'read-shares'(entry, {accounts}) {
			for (const account of accounts) {
				callStore(entry, {
					isWrite: false,
					run: () => shareRecords.readShares(account),
					onAnswer(shares) {
						delivery.deliver(entry, {kind: 'shares-read', shares});
					},
					onFailure: () => undefined,
				});
			}
		},
		'write-shares'(entry, effect) {
			const {pool, token, writeId} = effect;
			const requestedAt = {now: queue.now, wallTime: startWallTime + queue.now};
			const deliverResult = (event: JobEventOf<'shares-written'>) => {
				const confirmation: JobEvent = {
					kind: 'claim-confirmed', name: `${poolClaimPrefix}${pool}`, token, requestedAt,
				};
				for (const each of event.result === 'applied' ? [confirmation, event] : [event]) {
					delivery.deliver(entry, each);
				}
			};

			callStore(entry, {
				isWrite: true,
				run: () => shareRecords.writeShares(effect),
				onAnswer: deliverResult,
				onFailure(result) {
					deliverResult({
						kind: 'shares-written', pool, token, writeId, result, revision: 0, presentRevisions: new Map(), isClaimLost: false,
					});
				},
			});
		},
	};
}
