import {
	type PoolName, type RequestClass, type ServiceRequest,
} from '@pistachiogauge/model';
import {getServiceTimes} from '../admission/index.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getServingInstances} from '../fleet/index.js';
import {getFlowKey, type Flow, type PoolQueue} from './dispatch-state.js';
import {addOfferedLoad, createSlotUsage, computeAverageUsage} from './slot-usage.js';
import {createRequestQueue} from './request-queue.js';

const defaultWeight = 1;
const sweepIntervalMs = 5000;
/** An empty flow without requests for this long is deleted: its past usage no longer matters. */
const maxIdleFlowMs = 60_000;
/** Longer than a burst of a few seconds, so that a flow that was idle before stays below its guaranteed slots throughout the burst. */
const slotUsageWindowMs = 10_000;
/** Time over which an overloading flow gets its guaranteed slots on average; longer than a burst of the other flows. */
const longTermWindowMs = 60_000;
const recentWindowMs = 1000;
/** A flow is also overloading when its offered load of one second is this many times the pool's slots; the average over ten seconds shows that only after four seconds. */
const recentOverloadFactor = 2;
/** Assumed until enough requests have ended. Without it, an overloading flow is detected a second later on a new owner. */
const defaultServiceTimeMs = 100;
const equalShares: Readonly<Record<RequestClass, number>> = {urgent: 1 / 3, normal: 1 / 3, deferrable: 1 / 3};

/** @internal */
export function getOrCreateQueue(state: EntryState, pool: PoolName): PoolQueue {
	const existing = state.dispatch.queues.get(pool);
	const version = state.bundle.current?.version ?? 0;
	if (existing !== undefined) {
		if (existing.sharesBundleVersion !== version) {
			existing.classShares = computeClassShares(state, pool);
			existing.sharesBundleVersion = version;
		}

		return existing;
	}

	const created: PoolQueue = {
		flows: new Map(),
		classWeights: {urgent: 0, normal: 0, deferrable: 0},
		classShares: computeClassShares(state, pool),
		sharesBundleVersion: version,
		slotCount: getServingInstances(state, pool).length * (state.bundle.current?.pools[pool]?.slotsPerInstance ?? 0),
		waitingCount: 0,
		deadlines: [],
		delayed: [],
		nextSweepAt: 0,
	};
	state.dispatch.queues.set(pool, created);
	return created;
}

/** Returns the flow of a request; the first request creates it. @internal */
export function getOrCreateFlow(state: EntryState, queue: PoolQueue, request: ServiceRequest, context: DecisionContext): Flow {
	const key = getFlowKey(state, request);
	const known = queue.flows.get(key);
	if (known !== undefined) {
		return known;
	}

	const {service, requestClass, team} = request;
	const weight = computeWeight(state, request);
	queue.classWeights[requestClass] += weight;
	const share = queue.classShares[requestClass] * weight / queue.classWeights[requestClass];
	const flow: Flow = {
		key,
		service,
		requestClass,
		team,
		weight,
		waiting: createRequestQueue(),
		delayedCount: 0,
		slotUsage: createSlotUsage(context.now, slotUsageWindowMs),
		// Starts at the guaranteed slots, so that a flow that is overloading from its start cannot claim the minute before.
		longTermSlotUsage: createSlotUsage(context.now, longTermWindowMs, queue.slotCount * share),
		offeredLoad: createSlotUsage(context.now, slotUsageWindowMs),
		recentOfferedLoad: createSlotUsage(context.now, recentWindowMs),
		lastRequestAt: context.now,
	};
	queue.flows.set(key, flow);
	return flow;
}

/** Computes the slots that a flow may claim at any time: its part of its class's guaranteed share. @internal */
export function computeGuaranteedSlots(queue: PoolQueue, flow: Flow): number {
	const classWeight = queue.classWeights[flow.requestClass];
	return queue.slotCount * queue.classShares[flow.requestClass] * (classWeight > 0 ? flow.weight / classWeight : 1);
}

/** Waiting requests of a flow and the number of slots that can serve them. @internal */
export type FlowBacklog = {
	readonly length: number;
	readonly slots: number;
};

/** Returns the backlog of a request's flow, with the slots that the flow holds or, if more, can expect among the flows that have a backlog now. @internal */
export function getFlowBacklog(state: EntryState, pool: PoolName, request: ServiceRequest, context: DecisionContext): FlowBacklog | undefined {
	const queue = state.dispatch.queues.get(pool);
	const flow = queue?.flows.get(getFlowKey(state, request));
	if (queue === undefined || flow === undefined || flow.waiting.size === 0) {
		return undefined;
	}

	const length = flow.waiting.size + flow.delayedCount;
	if (isOverloading(queue, flow, context)) {
		return {length, slots: Math.max(flow.slotUsage.busy, computeAverageUsage(flow.longTermSlotUsage, context.now))};
	}

	let guaranteedSlots = 0;
	for (const other of queue.flows.values()) {
		guaranteedSlots += other.waiting.size > 0 ? computeGuaranteedSlots(queue, other) : 0;
	}

	const fraction = guaranteedSlots > 0 ? computeGuaranteedSlots(queue, flow) / guaranteedSlots : 1;
	return {length, slots: Math.max(flow.slotUsage.busy, fraction * queue.slotCount)};
}

/** Deletes flows that have been empty for some time, so that callers cannot exhaust the memory with new team names. @internal */
export function dropIdleFlows(queue: PoolQueue, context: DecisionContext): void {
	if (context.now < queue.nextSweepAt) {
		return;
	}

	queue.nextSweepAt = context.now + sweepIntervalMs;
	for (const [key, flow] of queue.flows) {
		const isEmpty = flow.waiting.size === 0 && flow.delayedCount === 0 && flow.slotUsage.busy === 0;
		if (isEmpty && context.now - flow.lastRequestAt > maxIdleFlowMs) {
			queue.flows.delete(key);
			queue.classWeights[flow.requestClass] = Math.max(0, queue.classWeights[flow.requestClass] - flow.weight);
		}
	}
}

/** Whether the offered load of a flow over the last seconds exceeds the slots of the whole pool. @internal */
export function isOverloading(queue: PoolQueue, flow: Flow, context: DecisionContext): boolean {
	return computeAverageUsage(flow.offeredLoad, context.now) > queue.slotCount
		|| computeAverageUsage(flow.recentOfferedLoad, context.now) > recentOverloadFactor * queue.slotCount;
}

/** Adds a request to its flow's offered load, whether or not the request is admitted. @internal */
export function recordOfferedLoad(state: EntryState, pool: PoolName, request: ServiceRequest, context: DecisionContext): void {
	const flow = getOrCreateFlow(state, getOrCreateQueue(state, pool), request, context);
	const times = getServiceTimes(state, request, context);
	flow.lastRequestAt = context.now;
	const serviceTimeMs = times?.meanMs ?? defaultServiceTimeMs;
	addOfferedLoad(flow.offeredLoad, serviceTimeMs, context.now);
	addOfferedLoad(flow.recentOfferedLoad, serviceTimeMs, context.now);
}

function computeWeight(state: EntryState, request: ServiceRequest): number {
	const {current} = state.bundle;
	const share = current?.services[request.service]?.shares[request.requestClass] ?? defaultWeight;
	const teamWeight = current?.teams[request.team]?.weight ?? defaultWeight;
	return Math.max(share * teamWeight, Number.EPSILON);
}

/** Computes the mean of the shares that the pool's services declare, scaled down if the sum exceeds 1. */
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
