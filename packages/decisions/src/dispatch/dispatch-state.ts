import {
	type AttemptId, type InstanceId, type PoolName, type PoolWork, type RequestClass, type RequestId, type ServiceRequest,
} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';
import {type TimeHeap} from './time-heap.js';
import {type SlotUsage} from './slot-usage.js';
import {type WaitingRequest, type RequestQueue} from './request-queue.js';

/** Requests of one service, class and team that wait or run in one pool. */
export type Flow = {
	readonly key: string;
	readonly service: string;
	readonly requestClass: RequestClass;
	/** Team of the flow's first request; teams that the bundle does not declare share one flow. */
	readonly team: string;
	/** Weight among the flows of the same class. */
	readonly weight: number;
	readonly waiting: RequestQueue;
	/** Requests of the flow that wait for the end of their backoff; not in `waiting`. */
	delayedCount: number;
	/** Slots in use, averaged over the last seconds. */
	readonly slotUsage: SlotUsage;
	/** Slots in use, averaged over the last minute. */
	readonly longTermSlotUsage: SlotUsage;
	/** Slots that the requests of the last seconds would fill, rejected ones included. */
	readonly offeredLoad: SlotUsage;
	/** Offered load of the last second. */
	readonly recentOfferedLoad: SlotUsage;
	/** Monotonic milliseconds. */
	lastRequestAt: number;
};

/** Queue of one pool. @public */
export type PoolQueue = {
	readonly flows: Map<string, Flow>;
	/** Sum of the weights of the flows of each class. */
	readonly classWeights: Record<RequestClass, number>;
	/** Guaranteed share of each class, from the bundle. */
	classShares: Readonly<Record<RequestClass, number>>;
	/** Bundle version from which the class shares were computed. */
	sharesBundleVersion: number;
	/** Slots of all usable instances, as of the last time that attempts were started. */
	slotCount: number;
	waitingCount: number;
	/** Waiting requests by deadline; also holds removed ones, which are skipped. */
	readonly deadlines: TimeHeap<WaitingRequest>;
	/** Requests whose backoff has not ended. */
	readonly delayed: TimeHeap<WaitingRequest>;
	nextSweepAt: number;
};

/** An attempt that was sent to an endpoint and has not ended. @public */
export type RunningAttempt = {
	readonly work: PoolWork;
	readonly instanceId: InstanceId;
	readonly startedAt: number;
};

/** A slot that stays in use after its attempt ended without an answer, because the endpoint may still run the request. */
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
	/** Held slots by the time of their release. */
	readonly heldSlots: TimeHeap<HeldSlot>;
	/** Monotonic time until which an instance gets no requests after it refused one for lack of slots. */
	readonly refusalBackoffUntil: Map<InstanceId, number>;
	/** Requests that are queued or running at this entry. */
	readonly queuedOrRunning: Set<RequestId>;
	readonly waitingRequests: Map<RequestId, WaitingRequest>;
	attemptCount: number;
};

/** @internal */
export function createDispatchState(): DispatchState {
	return {
		queues: new Map(),
		attempts: new Map(),
		busySlots: new Map(),
		heldSlots: [],
		refusalBackoffUntil: new Map(),
		queuedOrRunning: new Set(),
		waitingRequests: new Map(),
		attemptCount: 0,
	};
}

/** Returns the key of a request's flow. Teams that the bundle does not declare share one flow, so that a caller gains no share by making up team names. @internal */
export function getFlowKey(state: EntryState, {service, requestClass, team}: ServiceRequest): string {
	const isDeclared = state.bundle.current !== undefined && Object.hasOwn(state.bundle.current.teams, team);
	return `${service}\n${requestClass}\n${isDeclared ? team : ''}`;
}

/** Counts the waiting requests in the flow of a request, including those in backoff. @public */
export function countWaitingInFlow(state: EntryState, pool: PoolName, request: ServiceRequest): number {
	const flow = state.dispatch.queues.get(pool)?.flows.get(getFlowKey(state, request));
	return flow === undefined ? 0 : flow.waiting.size + flow.delayedCount;
}
