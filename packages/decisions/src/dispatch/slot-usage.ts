/** Exponentially decaying average of a number of slots. @internal */
export type SlotUsage = {
	/** Slots in use now. */
	busy: number;
	/** Decayed average at `updatedAt`. */
	average: number;
	/** Monotonic milliseconds. */
	updatedAt: number;
	/** Time constant of the decay: an old value keeps about a third of its weight after it. */
	readonly windowMs: number;
};

/** @internal */
export function createSlotUsage(now: number, windowMs: number, average = 0): SlotUsage {
	return {
		busy: 0, average, updatedAt: now, windowMs,
	};
}

/** Computes the average number of slots over about the window. @internal */
export function computeAverageUsage(usage: SlotUsage, now: number): number {
	const retainedWeight = Math.exp(-(now - usage.updatedAt) / usage.windowMs);
	return (usage.average * retainedWeight) + (usage.busy * (1 - retainedWeight));
}

/** Records a change of the number of slots in use. @internal */
export function updateSlotUsage(usage: SlotUsage, change: number, now: number): void {
	usage.average = computeAverageUsage(usage, now);
	usage.updatedAt = now;
	usage.busy = Math.max(0, usage.busy + change);
}

/** Adds a request with the given service time to an average of offered load. @internal */
export function addOfferedLoad(usage: SlotUsage, serviceTimeMs: number, now: number): void {
	usage.average = computeAverageUsage(usage, now) + (serviceTimeMs / usage.windowMs);
	usage.updatedAt = now;
}
