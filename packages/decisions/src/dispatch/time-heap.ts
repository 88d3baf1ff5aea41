/** A value that becomes due at a monotonic time in milliseconds. */
type TimedItem<Value> = {
	readonly at: number;
	readonly value: Value;
};

/** Binary heap ordered by due time; adding and removing cost O(log n). @internal */
export type TimeHeap<Value> = Array<TimedItem<Value>>;

/** Adds a value that becomes due at the given time. @internal */
export function addTimed<Value>(heap: TimeHeap<Value>, at: number, value: Value): void {
	heap.push({at, value});
	let index = heap.length - 1;
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		if (heap[parent]!.at <= heap[index]!.at) {
			return;
		}

		[heap[parent], heap[index]] = [heap[index]!, heap[parent]!];
		index = parent;
	}
}

/** Removes and returns the earliest value that is due, or undefined. @internal */
export function removeDue<Value>(heap: TimeHeap<Value>, now: number): Value | undefined {
	const [first] = heap;
	if (first === undefined || first.at > now) {
		return undefined;
	}

	const last = heap.pop()!;
	if (heap.length > 0) {
		heap[0] = last;
		restoreOrder(heap);
	}

	return first.value;
}

/** Drops the values that are no longer wanted. Costs O(n), so callers do it only after n changes. @internal */
export function dropTimed<Value>(heap: TimeHeap<Value>, isWanted: (value: Value) => boolean): void {
	const kept = heap.filter(item => isWanted(item.value));
	// A sorted array is a valid heap.
	kept.sort((left, right) => left.at - right.at);
	heap.length = 0;
	for (const item of kept) {
		heap.push(item);
	}
}

function restoreOrder<Value>(heap: TimeHeap<Value>): void {
	for (let index = 0; ;) {
		const left = (2 * index) + 1;
		const right = left + 1;
		let least = index;
		if (left < heap.length && heap[left]!.at < heap[least]!.at) {
			least = left;
		}

		if (right < heap.length && heap[right]!.at < heap[least]!.at) {
			least = right;
		}

		if (least === index) {
			return;
		}

		[heap[least], heap[index]] = [heap[index]!, heap[least]!];
		index = least;
	}
}
