/** Average number of slots that a flow has held, with old use forgotten exponentially. @internal */
export type SlotUsage = {
	/** Slots held now. */
	busy: number;
	/** Decayed average at `at`. */
	average: number;
	/** Monotonic milliseconds. */
	at: number;
};

/** Bursts last a few seconds; a flow that was quiet before stays below its share throughout one. */
export const usageWindowMs = 10_000;

/** @internal */
export function createUsage(now: number): SlotUsage {
	return {busy: 0, average: 0, at: now};
}

/** Average slots held over about the last ten seconds. @internal */
export function getAverageUse(usage: SlotUsage, now: number): number {
	const kept = Math.exp(-(now - usage.at) / usageWindowMs);
	return (usage.average * kept) + (usage.busy * (1 - kept));
}

/** Records that a flow has taken or given back slots. @internal */
export function updateUsage(usage: SlotUsage, change: number, now: number): void {
	usage.average = getAverageUse(usage, now);
	usage.at = now;
	usage.busy = Math.max(0, usage.busy + change);
}
