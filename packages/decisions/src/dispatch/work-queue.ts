import {type PoolWork} from '@pistachiogauge/model';
import {type Flow} from './dispatch-state.js';

/** A request that waits in a flow or for the end of its backoff. */
export type WaitingWork = {
	readonly work: PoolWork;
	readonly flow: Flow;
	/** Whether its backoff has not ended, so that it is not in its flow's queue. */
	isDelayed: boolean;
	/** Set when the request has been started, cancelled or has expired; its place is dropped later. */
	isGone: boolean;
};

/** First-in-first-out queue; cancelled items stay in place until they reach the head or outnumber the others. @internal */
export type WorkQueue = {
	items: WaitingWork[];
	/** Index of the first item. */
	head: number;
	/** Items that still wait. */
	size: number;
};

/** Cancelled items below this number are not worth a pass over the queue. */
const minGoneItems = 64;

/** @internal */
export function createWorkQueue(): WorkQueue {
	return {items: [], head: 0, size: 0};
}

/** Adds an item behind all others. @internal */
export function addLast(queue: WorkQueue, item: WaitingWork): void {
	queue.items.push(item);
	queue.size += 1;
}

/** Adds an item before all others: a retry has waited its turn already. @internal */
export function addFirst(queue: WorkQueue, item: WaitingWork): void {
	queue.size += 1;
	if (queue.head === 0) {
		queue.items.unshift(item);
		return;
	}

	queue.head -= 1;
	queue.items[queue.head] = item;
}

/** The item that has waited longest. @internal */
export function getFirst(queue: WorkQueue): WaitingWork | undefined {
	while (queue.head < queue.items.length && queue.items[queue.head]!.isGone) {
		queue.head += 1;
	}

	return queue.items[queue.head];
}

/** Takes an item out. Costs O(1) on average: places are freed together once most of them are empty. @internal */
export function removeItem(queue: WorkQueue, item: WaitingWork): void {
	item.isGone = true;
	queue.size -= 1;
	if (queue.items.length > (2 * queue.size) + minGoneItems) {
		queue.items = queue.items.slice(queue.head).filter(kept => !kept.isGone);
		queue.head = 0;
	}
}
