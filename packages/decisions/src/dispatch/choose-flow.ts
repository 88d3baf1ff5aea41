import {type RequestClass} from '@pistachiogauge/model';
import {getServiceTimes} from '../admission/index.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type Flow, type PoolQueue} from './dispatch-state.js';
import {getEntitledSlots} from './flows.js';
import {getAverageUse} from './usage.js';

/** Order in which flows below their minimum get slots. */
const urgencyRanks: Readonly<Record<RequestClass, number>> = {urgent: 0, normal: 1, deferrable: 2};
/** Part of other classes' unused minimum that long-running work of each class leaves free. */
const keptBackParts: Readonly<Record<RequestClass, number>> = {urgent: 0.25, normal: 0.5, deferrable: 1};
/** Shorter work gives its slots back within the time in which urgent work must start. */
const longRunMs = 1000;
/** A class that asked for nothing for this long has no slots kept back, except the urgent one. */
const classQuietMs = 60_000;
/** Part of its minimum that a flow in excess gets at once; a larger part doubles other flows' waits in a burst. */
const excessFloor = 0.1;

type FlowRank = {
	readonly flow: Flow;
	/** 0: below its minimum; 1: in excess, but without its floor; 2: lent slots. */
	readonly tier: number;
	readonly order: number;
};

/**
Chooses the flow that gets the next free slot.

Flows below their minimum come first, the most urgent one of them leading. A flow that has held more than its share over the last seconds loses that precedence but for a small floor, so a flood leaves bursts of other flows the whole pool. Slots that nobody claims by right go to the flow with the least use against its share.

@internal
*/
export function chooseFlow(state: EntryState, queue: PoolQueue, freeSlots: number, context: DecisionContext): Flow | undefined {
	let best: FlowRank | undefined;
	for (const flow of queue.flows.values()) {
		if (flow.waiting.size === 0) {
			continue;
		}

		const rank = rankFlow(queue, flow, context);
		if ((best === undefined || isBefore(rank, best)) && mayTakeSlot(state, queue, flow, freeSlots, context)) {
			best = rank;
		}
	}

	return best?.flow;
}

function rankFlow(queue: PoolQueue, flow: Flow, context: DecisionContext): FlowRank {
	const entitled = getEntitledSlots(queue, flow);
	const average = getAverageUse(flow.usage, context.now);
	const isExcess = average > entitled;
	const {busy} = flow.usage;
	const ratio = average / Math.max(entitled, Number.EPSILON);
	if (!isExcess && busy < entitled) {
		return {flow, tier: 0, order: urgencyRanks[flow.requestClass] + Math.min(0.99, ratio)};
	}

	return isExcess && busy < entitled * excessFloor ? {flow, tier: 1, order: ratio} : {flow, tier: 2, order: ratio};
}

function isBefore(left: FlowRank, right: FlowRank): boolean {
	return left.tier === right.tier ? left.order < right.order : left.tier < right.tier;
}

/** Long-running work above its minimum leaves the slots free that other classes are promised. */
function mayTakeSlot(state: EntryState, queue: PoolQueue, flow: Flow, freeSlots: number, context: DecisionContext): boolean {
	if (flow.usage.busy < Math.max(1, Math.floor(getEntitledSlots(queue, flow))) || !isLongRunning(state, flow, context)) {
		return true;
	}

	return freeSlots > countKeptBack(queue, flow.requestClass, context);
}

function isLongRunning(state: EntryState, flow: Flow, context: DecisionContext): boolean {
	const times = getServiceTimes(state, flow.service, flow.requestClass, context);
	// Until run times are known, deferrable work counts as long.
	return times === undefined ? flow.requestClass === 'deferrable' : times.p90Ms > longRunMs;
}

function countKeptBack(queue: PoolQueue, requestClass: RequestClass, context: DecisionContext): number {
	const busy = {urgent: 0, normal: 0, deferrable: 0};
	const askedAt = {urgent: context.now, normal: Number.NEGATIVE_INFINITY, deferrable: Number.NEGATIVE_INFINITY};
	for (const flow of queue.flows.values()) {
		busy[flow.requestClass] += flow.usage.busy;
		askedAt[flow.requestClass] = Math.max(askedAt[flow.requestClass], flow.askedAt);
	}

	let kept = 0;
	for (const other of Object.keys(busy) as RequestClass[]) {
		if (other !== requestClass && context.now - askedAt[other] < classQuietMs) {
			kept += Math.max(0, (queue.slotCount * queue.classShares[other]) - busy[other]);
		}
	}

	return kept * keptBackParts[requestClass];
}
