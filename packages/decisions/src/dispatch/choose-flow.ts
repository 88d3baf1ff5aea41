import {type RequestClass} from '@pistachiogauge/model';
import {getServiceTimes, getTeamServiceTimes} from '../admission/index.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type Flow, type PoolQueue} from './dispatch-state.js';
import {computeGuaranteedSlots, isOverloading} from './flows.js';
import {computeAverageUsage} from './slot-usage.js';

/** Order in which flows below their guaranteed slots get one. */
const urgencyRanks: Readonly<Record<RequestClass, number>> = {urgent: 0, normal: 1, deferrable: 2};
/** Fraction of the other flows' unused guaranteed slots that long-running requests of each class leave free. */
const reservedFractions: Readonly<Record<RequestClass, number>> = {urgent: 0.25, normal: 0.5, deferrable: 1};
/** Requests with a 90th percentile below this release their slots within the time in which urgent requests must start. */
const longRunningThresholdMs = 1000;
/** Slots are reserved for a flow until it has had no request for this long; for the urgent class always. */
const flowInactivityMs = 60_000;
/** Fraction of its guaranteed slots that every flow gets at once. With a larger one, an overloading flow lengthens the waits in other flows' bursts. */
const floorFraction = 0.1;
/** An overloading flow claims all its guaranteed slots only when its use over the last minute was a tenth below them. If the smallest deficit sufficed, it would claim them in the middle of another flow's burst. */
const overloadClaimGain = 10;

type FlowRank = {
	readonly flow: Flow;
	/** 0: below its claimed slots; 1: below its floor; 2: borrows unclaimed slots; 3: borrows them as an overloading flow. */
	readonly tier: number;
	readonly order: number;
};

/**
Chooses the flow that gets the next free slot.

Flows below their guaranteed slots come first, the most urgent one first. A flow whose average use over the last seconds exceeds its guaranteed slots claims only a small floor. Unclaimed slots go to the flow with the lowest offered load in relation to its guaranteed slots. An overloading flow, whose offered load exceeds the whole pool, gets its guaranteed slots as an average over a minute instead of at once, and borrows only what the others leave, so it takes no slots from their bursts.

@internal
*/
export function chooseFlow(state: EntryState, queue: PoolQueue, freeSlots: number, context: DecisionContext): Flow | undefined {
	let best: FlowRank | undefined;
	for (const flow of queue.flows.values()) {
		if (flow.waiting.size === 0) {
			continue;
		}

		const rank = computeFlowRank(queue, flow, context);
		if ((best === undefined || isRankedBefore(rank, best)) && mayTakeSlot(state, queue, flow, freeSlots, context)) {
			best = rank;
		}
	}

	return best?.flow;
}

function computeFlowRank(queue: PoolQueue, flow: Flow, context: DecisionContext): FlowRank {
	const guaranteedSlots = computeGuaranteedSlots(queue, flow);
	const isFlowOverloading = isOverloading(queue, flow, context);
	const {busy} = flow.slotUsage;
	if (busy < computeClaimedSlots(flow, guaranteedSlots, isFlowOverloading, context)) {
		return {flow, tier: 0, order: urgencyRanks[flow.requestClass] + (0.99 * busy / guaranteedSlots)};
	}

	const loadRatio = computeAverageUsage(isFlowOverloading ? flow.slotUsage : flow.offeredLoad, context.now) / Math.max(guaranteedSlots, Number.EPSILON);
	if (busy < guaranteedSlots * floorFraction) {
		return {flow, tier: 1, order: loadRatio};
	}

	return {flow, tier: isFlowOverloading ? 3 : 2, order: loadRatio};
}

/** Computes the slots that a flow may claim before unclaimed ones are lent. */
function computeClaimedSlots(flow: Flow, guaranteedSlots: number, isFlowOverloading: boolean, context: DecisionContext): number {
	if (isFlowOverloading) {
		const deficit = 1 - (computeAverageUsage(flow.longTermSlotUsage, context.now) / Math.max(guaranteedSlots, Number.EPSILON));
		return guaranteedSlots * Math.min(1, Math.max(0, deficit * overloadClaimGain));
	}

	return computeAverageUsage(flow.slotUsage, context.now) <= guaranteedSlots ? guaranteedSlots : 0;
}

function isRankedBefore(left: FlowRank, right: FlowRank): boolean {
	return left.tier === right.tier ? left.order < right.order : left.tier < right.tier;
}

/** Long-running requests above their flow's guaranteed slots leave the slots free that are reserved for other flows. */
function mayTakeSlot(state: EntryState, queue: PoolQueue, flow: Flow, freeSlots: number, context: DecisionContext): boolean {
	if (flow.slotUsage.busy < Math.max(1, Math.floor(computeGuaranteedSlots(queue, flow))) || !isLongRunning(state, flow, context)) {
		return true;
	}

	return freeSlots > countReservedSlots(queue, flow, context);
}

function isLongRunning(state: EntryState, flow: Flow, context: DecisionContext): boolean {
	// Until a team's own service times are known, its deferrable requests count as long-running, whatever those of other teams take.
	const times = flow.requestClass === 'deferrable' ? getTeamServiceTimes(state, flow, context) : getServiceTimes(state, flow, context);
	return times === undefined ? flow.requestClass === 'deferrable' : times.p90Ms > longRunningThresholdMs;
}

function countReservedSlots(queue: PoolQueue, flow: Flow, context: DecisionContext): number {
	let reservedSlots = 0;
	let hasUrgentFlow = false;
	for (const other of queue.flows.values()) {
		hasUrgentFlow ||= other.requestClass === 'urgent';
		if (other !== flow && (other.requestClass === 'urgent' || context.now - other.lastRequestAt < flowInactivityMs)) {
			reservedSlots += Math.max(0, computeGuaranteedSlots(queue, other) - other.slotUsage.busy);
		}
	}

	const urgentSlots = hasUrgentFlow ? 0 : queue.slotCount * queue.classShares.urgent;
	return (reservedSlots + urgentSlots) * reservedFractions[flow.requestClass];
}
