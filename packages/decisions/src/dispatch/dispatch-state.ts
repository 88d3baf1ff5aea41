import {
	type AttemptId, type InstanceId, type PoolName, type PoolWork, type RequestClass, type RequestId, type ServiceRequest,
} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';
import {type TimeHeap} from './time-heap.js';
import {type SlotUsage} from './usage.js';
import {type WaitingWork, type WorkQueue} from './work-queue.js';

/** Requests of one service, class and team that wait or run in one pool. */
export type Flow = {
	readonly key: string;
	readonly service: string;
	readonly requestClass: RequestClass;
	/** Team of the flow's first request. */
	readonly team: string;
	/** Weight among the flows of the same class. */
	readonly weight: number;
	readonly waiting: WorkQueue;
	/** Requests of the flow that wait for the end of a backoff. */
	delayedCount: number;
	/** Slots held over the last seconds. */
	readonly usage: SlotUsage;
	/** Slots held over the last minute. */
	readonly longUsage: SlotUsage;
	/** Slots that the requests of the last seconds would fill, refused ones included. */
	readonly offered: SlotUsage;
	/** The same over the last second. */
	readonly recentOffered: SlotUsage;
	/** Monotonic time of the last request. */
	askedAt: number;
};

/** Queue of one pool. @public */
export type PoolQueue = {
	readonly flows: Map<string, Flow>;
	/** Sum of the weights of each class's flows. */
	readonly classWeights: Record<RequestClass, number>;
	/** Minimum share of each class, from the bundle. */
	classShares: Readonly<Record<RequestClass, number>>;
	/** Bundle version that shares and weights come from. */
	sharesVersion: number;
	/** Slots of the instances that serve, as of the last start. */
	slotCount: number;
	waitingCount: number;
	/** Waiting requests by deadline; those that no longer wait are skipped. */
	readonly deadlines: TimeHeap<WaitingWork>;
	/** Requests whose backoff has not ended. */
	readonly delayed: TimeHeap<WaitingWork>;
	nextSweepAt: number;
};

/** A request that was sent to an endpoint and has not ended. @public */
export type RunningAttempt = {
	readonly work: PoolWork;
	readonly instanceId: InstanceId;
	readonly startedAt: number;
};

/** A slot that stays in use after its attempt has ended without an answer: the endpoint may still work on it. */
export type HeldSlot = {
	readonly instanceId: InstanceId;
	readonly flow: Flow | undefined;
};

/** State of the dispatch filter. @public */
export type DispatchState = {
	readonly queues: Map<PoolName, PoolQueue>;
	readonly attempts: Map<AttemptId, RunningAttempt>;
	/** Slots in use for each instance, held ones included. */
	readonly busySlots: Map<InstanceId, number>;
	/** Slots whose attempt has ended without an answer, by the time they are counted as free again. */
	readonly heldSlots: TimeHeap<HeldSlot>;
	/** Monotonic time until which an instance that refused for lack of slots gets nothing more. */
	readonly refusingUntil: Map<InstanceId, number>;
	/** Requests that are queued or running here. */
	readonly present: Set<RequestId>;
	readonly waitingRequests: Map<RequestId, WaitingWork>;
	attemptCount: number;
};

/** @internal */
export function createDispatchState(): DispatchState {
	return {
		queues: new Map(),
		attempts: new Map(),
		busySlots: new Map(),
		heldSlots: [],
		refusingUntil: new Map(),
		present: new Set(),
		waitingRequests: new Map(),
		attemptCount: 0,
	};
}

/** Key of the flow that a request belongs to. Teams that the bundle does not declare share one flow, so that invented names earn no share. @internal */
export function getFlowKey(state: EntryState, {service, requestClass, team}: ServiceRequest): string {
	const isDeclared = state.bundle.current !== undefined && Object.hasOwn(state.bundle.current.teams, team);
	return `${service}\n${requestClass}\n${isDeclared ? team : ''}`;
}

/** Requests that wait in the flow of the given one. @public */
export function getFlowLength(state: EntryState, pool: PoolName, request: ServiceRequest): number {
	const flow = state.dispatch.queues.get(pool)?.flows.get(getFlowKey(state, request));
	return flow === undefined ? 0 : flow.waiting.size + flow.delayedCount;
}
