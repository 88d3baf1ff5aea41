import {
	type PoolName, type RequestClass, type ServiceRequest,
} from '@pistachiogauge/model';
import {getServiceTimes} from '../admission/index.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getServingInstances} from '../fleet/index.js';
import {getFlowKey, type Flow, type PoolQueue} from './dispatch-state.js';
import {addOfferedWork, createUsage, getAverageUse} from './usage.js';
import {createWorkQueue} from './work-queue.js';

const defaultWeight = 1;
const sweepIntervalMs = 5000;
/** A flow without requests for this long has no use left to remember. */
const flowIdleMs = 60_000;
/** Bursts last a few seconds; a flow that was quiet before stays below its share throughout one. */
const usageWindowMs = 10_000;
/** Time over which a flood gets its share: longer than a burst of the other flows. */
const longUsageWindowMs = 60_000;
const recentWindowMs = 1000;
/** Requests of one second that would fill the pool twice are a flood, too; the average over ten seconds shows it only after four. */
const recentFloodFactor = 2;
/** Assumed run time until enough runs have ended; with none, a flood at the start of an owner is seen a second later. */
const unknownRunMs = 100;
const equalShares: Readonly<Record<RequestClass, number>> = {urgent: 1 / 3, normal: 1 / 3, deferrable: 1 / 3};

/** @internal */
export function getQueue(state: EntryState, pool: PoolName): PoolQueue {
	const known = state.dispatch.queues.get(pool);
	const version = state.bundle.current?.version ?? 0;
	if (known !== undefined) {
		if (known.sharesVersion !== version) {
			known.classShares = computeClassShares(state, pool);
			known.sharesVersion = version;
		}

		return known;
	}

	const created: PoolQueue = {
		flows: new Map(),
		classWeights: {urgent: 0, normal: 0, deferrable: 0},
		classShares: computeClassShares(state, pool),
		sharesVersion: version,
		slotCount: getServingInstances(state, pool).length * (state.bundle.current?.pools[pool]?.slotsPerInstance ?? 0),
		waitingCount: 0,
		deadlines: [],
		delayed: [],
		nextSweepAt: 0,
	};
	state.dispatch.queues.set(pool, created);
	return created;
}

/** Flow of a request; it is made with the first one. @internal */
export function getFlow(state: EntryState, queue: PoolQueue, request: ServiceRequest, context: DecisionContext): Flow {
	const key = getFlowKey(state, request);
	const known = queue.flows.get(key);
	if (known !== undefined) {
		return known;
	}

	const {service, requestClass, team} = request;
	const weight = getWeight(state, request);
	queue.classWeights[requestClass] += weight;
	const share = queue.classShares[requestClass] * weight / queue.classWeights[requestClass];
	const flow: Flow = {
		key,
		service,
		requestClass,
		team,
		weight,
		waiting: createWorkQueue(),
		delayedCount: 0,
		usage: createUsage(context.now, usageWindowMs),
		// A flow that begins as a flood has no claim to the share of the minute before.
		longUsage: createUsage(context.now, longUsageWindowMs, queue.slotCount * share),
		offered: createUsage(context.now, usageWindowMs),
		recentOffered: createUsage(context.now, recentWindowMs),
		askedAt: context.now,
	};
	queue.flows.set(key, flow);
	return flow;
}

/** Slots that a flow may hold at any time: its part of its class's minimum. @internal */
export function getEntitledSlots(queue: PoolQueue, flow: Flow): number {
	const classWeight = queue.classWeights[flow.requestClass];
	return queue.slotCount * queue.classShares[flow.requestClass] * (classWeight > 0 ? flow.weight / classWeight : 1);
}

/** Requests of a flow and the slots that can serve them. @internal */
export type FlowBacklog = {
	readonly length: number;
	readonly slots: number;
};

/** Backlog of the flow that a request belongs to, and the slots that it holds or can expect among the flows that wait now. @internal */
export function getFlowBacklog(state: EntryState, pool: PoolName, request: ServiceRequest, context: DecisionContext): FlowBacklog | undefined {
	const queue = state.dispatch.queues.get(pool);
	const flow = queue?.flows.get(getFlowKey(state, request));
	if (queue === undefined || flow === undefined || flow.waiting.size === 0) {
		return undefined;
	}

	const length = flow.waiting.size + flow.delayedCount;
	if (isFlood(queue, flow, context)) {
		return {length, slots: Math.max(flow.usage.busy, getAverageUse(flow.longUsage, context.now))};
	}

	let promised = 0;
	for (const other of queue.flows.values()) {
		promised += other.waiting.size > 0 ? getEntitledSlots(queue, other) : 0;
	}

	const part = promised > 0 ? getEntitledSlots(queue, flow) / promised : 1;
	return {length, slots: Math.max(flow.usage.busy, part * queue.slotCount)};
}

/** Forgets flows that have been empty for long, so callers cannot fill the memory with team names. @internal */
export function dropIdleFlows(queue: PoolQueue, context: DecisionContext): void {
	if (context.now < queue.nextSweepAt) {
		return;
	}

	queue.nextSweepAt = context.now + sweepIntervalMs;
	for (const [key, flow] of queue.flows) {
		const isEmpty = flow.waiting.size === 0 && flow.delayedCount === 0 && flow.usage.busy === 0;
		if (isEmpty && context.now - flow.askedAt > flowIdleMs) {
			queue.flows.delete(key);
			queue.classWeights[flow.requestClass] = Math.max(0, queue.classWeights[flow.requestClass] - flow.weight);
		}
	}
}

/** Whether a flow has asked over the last seconds for more than the whole pool holds. @internal */
export function isFlood(queue: PoolQueue, flow: Flow, context: DecisionContext): boolean {
	return getAverageUse(flow.offered, context.now) > queue.slotCount
		|| getAverageUse(flow.recentOffered, context.now) > recentFloodFactor * queue.slotCount;
}

/** Records that a request was asked for, whether or not it is admitted. @internal */
export function recordOffer(state: EntryState, pool: PoolName, request: ServiceRequest, context: DecisionContext): void {
	const flow = getFlow(state, getQueue(state, pool), request, context);
	const times = getServiceTimes(state, request, context);
	flow.askedAt = context.now;
	const runMs = times?.meanMs ?? unknownRunMs;
	addOfferedWork(flow.offered, runMs, context.now);
	addOfferedWork(flow.recentOffered, runMs, context.now);
}

function getWeight(state: EntryState, request: ServiceRequest): number {
	const {current} = state.bundle;
	const share = current?.services[request.service]?.shares[request.requestClass] ?? defaultWeight;
	const teamWeight = current?.teams[request.team]?.weight ?? defaultWeight;
	return Math.max(share * teamWeight, Number.EPSILON);
}

/** Mean of the shares that the pool's services declare, scaled down when they promise more than the whole. */
function computeClassShares(state: EntryState, pool: PoolName): Readonly<Record<RequestClass, number>> {
	const services = Object.values(state.bundle.current?.services ?? {}).filter(service => service.pool === pool);
	if (services.length === 0) {
		return equalShares;
	}

	const shares = {urgent: 0, normal: 0, deferrable: 0};
	for (const service of services) {
		shares.urgent += service.shares.urgent / services.length;
		shares.normal += service.shares.normal / services.length;
		shares.deferrable += service.shares.deferrable / services.length;
	}

	const scale = Math.max(1, shares.urgent + shares.normal + shares.deferrable);
	return {urgent: shares.urgent / scale, normal: shares.normal / scale, deferrable: shares.deferrable / scale};
}
