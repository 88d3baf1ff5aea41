import {type PoolWork} from '@pistachiogauge/model';
import {type Flow} from './dispatch-state.js';

/** A request that waits in its flow's queue or for the end of its backoff. */
export type WaitingRequest = {
	readonly work: PoolWork;
	readonly flow: Flow;
	/** Whether its backoff lasts, so that it is not yet in its flow's queue. */
	isDelayed: boolean;
	/** Set when the request has started, expired or been cancelled; its item is deleted later. */
	isRemoved: boolean;
};

/** First-in-first-out queue; removed items stay in place until they reach the head or outnumber the others. @internal */
export type RequestQueue = {
	items: WaitingRequest[];
	/** Index of the first item. */
	head: number;
	/** Items that have not been removed. */
	size: number;
};

/** With fewer removed items, a pass over the queue that deletes them costs more than it saves. */
const minRemovedItems = 64;

/** @internal */
export function createRequestQueue(): RequestQueue {
	return {items: [], head: 0, size: 0};
}

/** Adds an item behind all others. @internal */
export function addLast(queue: RequestQueue, item: WaitingRequest): void {
	queue.items.push(item);
	queue.size += 1;
}

/** Adds an item before all others; for retries, which have waited in the queue before. @internal */
export function addFirst(queue: RequestQueue, item: WaitingRequest): void {
	queue.size += 1;
	if (queue.head === 0) {
		queue.items.unshift(item);
		return;
	}

	queue.head -= 1;
	queue.items[queue.head] = item;
}

/** Returns the item that has waited longest. @internal */
export function getFirst(queue: RequestQueue): WaitingRequest | undefined {
	while (queue.head < queue.items.length && queue.items[queue.head]!.isRemoved) {
		queue.head += 1;
	}

	return queue.items[queue.head];
}

/** Removes an item. Takes O(1) on average: removed items are deleted together once they are the majority. @internal */
export function removeItem(queue: RequestQueue, item: WaitingRequest): void {
	item.isRemoved = true;
	queue.size -= 1;
	if (queue.items.length > (2 * queue.size) + minRemovedItems) {
		queue.items = queue.items.slice(queue.head).filter(kept => !kept.isRemoved);
		queue.head = 0;
	}
}
