/** A value that becomes due at a monotonic time in milliseconds. */
type HeapItem<Value> = {
	readonly dueAt: number;
	readonly value: Value;
};

/** Binary heap ordered by due time; adding and removing cost O(log n). @internal */
export type TimeHeap<Value> = Array<HeapItem<Value>>;

/** Adds a value that becomes due at the given monotonic time. @internal */
export function addToHeap<Value>(heap: TimeHeap<Value>, dueAt: number, value: Value): void {
	heap.push({dueAt, value});
	let index = heap.length - 1;
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		if (heap[parent]!.dueAt <= heap[index]!.dueAt) {
			return;
		}

		[heap[parent], heap[index]] = [heap[index]!, heap[parent]!];
		index = parent;
	}
}

/** Removes and returns the earliest value that is due, or undefined. @internal */
export function removeDue<Value>(heap: TimeHeap<Value>, now: number): Value | undefined {
	const [first] = heap;
	if (first === undefined || first.dueAt > now) {
		return undefined;
	}

	const last = heap.pop()!;
	if (heap.length > 0) {
		heap[0] = last;
		siftDown(heap);
	}

	return first.value;
}

/** Removes the values that are no longer wanted. Takes O(n log n), so callers should do it only after about n changes. @internal */
export function removeUnwanted<Value>(heap: TimeHeap<Value>, isWanted: (value: Value) => boolean): void {
	const kept = heap.filter(item => isWanted(item.value));
	// A sorted array is a valid heap.
	kept.sort((left, right) => left.dueAt - right.dueAt);
	heap.length = 0;
	for (const item of kept) {
		heap.push(item);
	}
}

function siftDown<Value>(heap: TimeHeap<Value>): void {
	for (let index = 0; ;) {
		const left = (2 * index) + 1;
		const right = left + 1;
		let least = index;
		if (left < heap.length && heap[left]!.dueAt < heap[least]!.dueAt) {
			least = left;
		}

		if (right < heap.length && heap[right]!.dueAt < heap[least]!.dueAt) {
			least = right;
		}

		if (least === index) {
			return;
		}

		[heap[least], heap[index]] = [heap[index]!, heap[least]!];
		index = least;
	}
}
