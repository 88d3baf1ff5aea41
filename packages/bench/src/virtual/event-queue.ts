/** Queue of scheduled actions in virtual time. Actions with the same time run in the order in which they were added. */
export type EventQueue = {
	/** Virtual time in ms since the start of the run. */
	readonly now: number;
	/** Schedules an action after a delay in virtual ms; a negative delay counts as 0. */
	add(delayMs: number, run: () => void): void;
	/** Runs all actions up to a time; stops early once `isEnded` returns true. */
	runUntil(time: number, isEnded?: () => boolean): void;
};

type QueuedEvent = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

/** Creates an empty queue at time 0. */
export function createEventQueue(): EventQueue {
	const heap: QueuedEvent[] = [];
	let now = 0;
	let order = 0;
	return {
		get now() {
			return now;
		},
		add(delayMs, run) {
			order += 1;
			addToHeap(heap, {at: now + Math.max(0, delayMs), order, run});
		},
		runUntil(time, isEnded = () => false) {
			while (heap.length > 0 && heap[0]!.at <= time && !isEnded()) {
				const event = removeFirst(heap);
				now = event.at;
				event.run();
			}

			if (!isEnded()) {
				now = Math.max(now, time);
			}
		},
	};
}

function isBefore(left: QueuedEvent, right: QueuedEvent): boolean {
	return left.at < right.at || (left.at === right.at && left.order < right.order);
}

function addToHeap(heap: QueuedEvent[], event: QueuedEvent): void {
	let index = heap.length;
	heap.push(event);
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		if (!isBefore(event, heap[parent]!)) {
			break;
		}

		heap[index] = heap[parent]!;
		index = parent;
	}

	heap[index] = event;
}

function removeFirst(heap: QueuedEvent[]): QueuedEvent {
	const first = heap[0]!;
	const last = heap.pop()!;
	if (heap.length === 0) {
		return first;
	}

	let index = 0;
	for (let child = 1; child < heap.length; child = (index * 2) + 1) {
		if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
			child += 1;
		}

		if (!isBefore(heap[child]!, last)) {
			break;
		}

		heap[index] = heap[child]!;
		index = child;
	}

	heap[index] = last;
	return first;
}
