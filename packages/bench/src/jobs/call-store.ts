import {type RandomSource} from '@pistachiogauge/chain';
import {type EventQueue} from '../virtual/event-queue.js';
import {type EventDelivery} from './event-delivery.js';
import {type VirtualJobsEntry} from './virtual-jobs-entry.js';

/** Why a call to the store has no answer: `refused` if nothing was done, `unknown` if it may have been or may still be carried out. */
export type StoreCallFailure = 'refused' | 'unknown';

/** A call to the store. */
export type StoreCall<Answer> = {
	/** Whether it changes records. Only such calls may be carried out late. */
	readonly isWrite: boolean;
	/** Carries the call out in the store, possibly after the caller has given up. */
	readonly run: () => Answer;
	readonly onAnswer: (answer: Answer) => void;
	readonly onFailure: (failure: StoreCallFailure) => void;
};

export type StoreCaller = <Answer>(entry: VirtualJobsEntry, call: StoreCall<Answer>) => void;

export type StoreCallerTools = {
	readonly queue: EventQueue;
	readonly random: RandomSource;
	readonly delivery: EventDelivery;
	readonly chooseDelayMs: () => number;
	readonly isStoreUp: () => boolean;
	/** Whether a message between an entry and the store arrives. */
	readonly canReachStore: (entry: VirtualJobsEntry, direction: 'request' | 'answer') => boolean;
	/** Share of writes that are not answered: half of them are done at once, the others seconds later. */
	readonly getUnansweredWriteShare: () => number;
};

/** Time after which the caller gives up, as in the platform's store client. */
const callTimeoutMs = 1200;
/** Bounds of the delay of a write that is carried out late. */
const lateWriteMs = {min: 1000, max: 6000} as const;

/** Creates the function through which entries call the store: requests and answers take time and may be lost. */
export function createStoreCaller({
	queue, random, delivery, chooseDelayMs, isStoreUp, canReachStore, getUnansweredWriteShare,
}: StoreCallerTools): StoreCaller {
	return (entry, {isWrite, run, onAnswer, onFailure}) => {
		const {incarnation} = entry;
		let isFinished = false;
		const finish = (handleResult: () => void) => {
			if (!isFinished) {
				isFinished = true;
				delivery.runInProcess(entry, handleResult, incarnation);
			}
		};

		queue.add(callTimeoutMs, () => {
			finish(() => {
				onFailure('unknown');
			});
		});
		queue.add(chooseDelayMs(), () => {
			if (!canReachStore(entry, 'request')) {
				return;
			}

			if (!isStoreUp()) {
				queue.add(chooseDelayMs(), () => {
					finish(() => {
						onFailure('refused');
					});
				});
				return;
			}

			if (isWrite && random.getFraction() < getUnansweredWriteShare()) {
				const delayMs = random.getInteger(2) === 0 ? 0 : lateWriteMs.min + (random.getFraction() * (lateWriteMs.max - lateWriteMs.min));
				queue.add(delayMs, () => {
					if (isStoreUp()) {
						run();
					}
				});
				return;
			}

			const answer = run();
			queue.add(chooseDelayMs(), () => {
				if (isStoreUp() && canReachStore(entry, 'answer')) {
					finish(() => {
						entry.storeAnsweredAt = queue.now;
						onAnswer(answer);
					});
				}
			});
		});
	};
}
