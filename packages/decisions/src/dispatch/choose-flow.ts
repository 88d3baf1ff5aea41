import {type RequestClass} from '@pistachiogauge/model';
import {getServiceTimes, getTeamServiceTimes} from '../admission/index.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type Flow, type PoolQueue} from './dispatch-state.js';
import {getEntitledSlots, isFlood} from './flows.js';
import {getAverageUse} from './usage.js';

/** Order in which flows below their minimum get slots. */
const urgencyRanks: Readonly<Record<RequestClass, number>> = {urgent: 0, normal: 1, deferrable: 2};
/** Part of other flows' unused minimum that long-running work of each class leaves free. */
const keptBackParts: Readonly<Record<RequestClass, number>> = {urgent: 0.25, normal: 0.5, deferrable: 1};
/** Shorter work gives its slots back within the time in which urgent work must start. */
const longRunMs = 1000;
/** A flow that asked for nothing for this long has no slots kept back; the urgent class always has. */
const flowQuietMs = 60_000;
/** Part of its minimum that every flow gets at once; with a larger part a flood lengthens the waits of other flows' bursts. */
const floorPart = 0.1;
/** A flood claims its whole minimum at once only when it has had a tenth less over the last minute; a claim at the least deficit would take its slots in the middle of a burst. */
const floodClaimGain = 10;

type FlowRank = {
	readonly flow: Flow;
	/** 0: below its minimum; 1: below its floor; 2: lent slots; 3: lent slots of a flood. */
	readonly tier: number;
	readonly order: number;
};

/**
Chooses the flow that gets the next free slot.

Flows below their minimum come first, the most urgent one of them leading. A flow that has held more than its share over the last seconds has no claim but a small floor. Slots that nobody claims are lent to the flow that asks least against its share. A flood, which asks for more than the whole pool holds, gets its share over a minute instead of at once and is lent what others leave, so it takes nothing from their bursts.

@internal
*/
export function chooseFlow(state: EntryState, queue: PoolQueue, freeSlots: number, context: DecisionContext): Flow | undefined {
	let best: FlowRank | undefined;
	for (const flow of queue.flows.values()) {
		if (flow.waiting.size === 0) {
			continue;
		}

		const rank = computeFlowRank(queue, flow, context);
		if ((best === undefined || isBefore(rank, best)) && mayTakeSlot(state, queue, flow, freeSlots, context)) {
			best = rank;
		}
	}

	return best?.flow;
}

function computeFlowRank(queue: PoolQueue, flow: Flow, context: DecisionContext): FlowRank {
	const entitled = getEntitledSlots(queue, flow);
	const isFlooding = isFlood(queue, flow, context);
	const {busy} = flow.usage;
	if (busy < countClaimedSlots(flow, entitled, isFlooding, context)) {
		return {flow, tier: 0, order: urgencyRanks[flow.requestClass] + (0.99 * busy / entitled)};
	}

	const ratio = getAverageUse(isFlooding ? flow.usage : flow.offered, context.now) / Math.max(entitled, Number.EPSILON);
	if (busy < entitled * floorPart) {
		return {flow, tier: 1, order: ratio};
	}

	return {flow, tier: isFlooding ? 3 : 2, order: ratio};
}

/** Slots that a flow may claim before any are lent. */
function countClaimedSlots(flow: Flow, entitled: number, isFlooding: boolean, context: DecisionContext): number {
	if (isFlooding) {
		const deficit = 1 - (getAverageUse(flow.longUsage, context.now) / Math.max(entitled, Number.EPSILON));
		return entitled * Math.min(1, Math.max(0, deficit * floodClaimGain));
	}

	return getAverageUse(flow.usage, context.now) <= entitled ? entitled : 0;
}

function isBefore(left: FlowRank, right: FlowRank): boolean {
	return left.tier === right.tier ? left.order < right.order : left.tier < right.tier;
}

/** Long-running work above its minimum leaves the slots free that other flows are promised. */
function mayTakeSlot(state: EntryState, queue: PoolQueue, flow: Flow, freeSlots: number, context: DecisionContext): boolean {
	if (flow.usage.busy < Math.max(1, Math.floor(getEntitledSlots(queue, flow))) || !isLongRunning(state, flow, context)) {
		return true;
	}

	return freeSlots > countKeptBack(queue, flow, context);
}

function isLongRunning(state: EntryState, flow: Flow, context: DecisionContext): boolean {
	// Until a team's run times are known its deferrable work counts as long, whatever the others' takes.
	const times = flow.requestClass === 'deferrable' ? getTeamServiceTimes(state, flow, context) : getServiceTimes(state, flow, context);
	return times === undefined ? flow.requestClass === 'deferrable' : times.p90Ms > longRunMs;
}

function countKeptBack(queue: PoolQueue, flow: Flow, context: DecisionContext): number {
	let kept = 0;
	let hasUrgentFlow = false;
	for (const other of queue.flows.values()) {
		hasUrgentFlow ||= other.requestClass === 'urgent';
		if (other !== flow && (other.requestClass === 'urgent' || context.now - other.askedAt < flowQuietMs)) {
			kept += Math.max(0, getEntitledSlots(queue, other) - other.usage.busy);
		}
	}

	const urgentSlots = hasUrgentFlow ? 0 : queue.slotCount * queue.classShares.urgent;
	return (kept + urgentSlots) * keptBackParts[flow.requestClass];
}
