/** Average of a number of slots, with old values forgotten exponentially. @internal */
export type SlotUsage = {
	/** Slots now. */
	busy: number;
	/** Decayed average at `at`. */
	average: number;
	/** Monotonic milliseconds. */
	at: number;
	/** Time in which an old value loses all but a third of its weight. */
	readonly windowMs: number;
};

/** @internal */
export function createUsage(now: number, windowMs: number, average = 0): SlotUsage {
	return {
		busy: 0, average, at: now, windowMs,
	};
}

/** Average slots over about the window. @internal */
export function getAverageUse(usage: SlotUsage, now: number): number {
	const kept = Math.exp(-(now - usage.at) / usage.windowMs);
	return (usage.average * kept) + (usage.busy * (1 - kept));
}

/** Records that slots have been taken or given back. @internal */
export function updateUsage(usage: SlotUsage, change: number, now: number): void {
	usage.average = getAverageUse(usage, now);
	usage.at = now;
	usage.busy = Math.max(0, usage.busy + change);
}

/** Adds work of the given length to an average of offered work. @internal */
export function addOfferedWork(usage: SlotUsage, runMs: number, now: number): void {
	usage.average = getAverageUse(usage, now) + (runMs / usage.windowMs);
	usage.at = now;
}
