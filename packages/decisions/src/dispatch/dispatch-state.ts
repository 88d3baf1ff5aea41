import {
	type AttemptId, type InstanceId, type PoolName, type PoolWork, type RequestId, type ServiceRequest,
} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/** Requests of one service, class and team that wait in one pool. */
export type Flow = {
	readonly waiting: PoolWork[];
	readonly weight: number;
	/** Virtual time at which the flow's next request starts; the lowest goes first. */
	virtualTime: number;
};

/** Queue of one pool. @public */
export type PoolQueue = {
	readonly flows: Map<string, Flow>;
	/** Virtual time of the last start. A flow that was empty starts from here, so idle time earns nothing. */
	virtualTime: number;
};

/** A request that was sent to an endpoint and has not ended. @public */
export type RunningAttempt = {
	readonly work: PoolWork;
	readonly instanceId: InstanceId;
	readonly startedAt: number;
};

/** State of the dispatch filter. @public */
export type DispatchState = {
	readonly queues: Map<PoolName, PoolQueue>;
	readonly attempts: Map<AttemptId, RunningAttempt>;
	/** Slots in use for each instance. */
	readonly busySlots: Map<InstanceId, number>;
	/** Requests that are queued or running here. */
	readonly present: Set<RequestId>;
	attemptCount: number;
};

/** @internal */
export function createDispatchState(): DispatchState {
	return {
		queues: new Map(), attempts: new Map(), busySlots: new Map(), present: new Set(), attemptCount: 0,
	};
}

/** Key of the flow that a request belongs to. @internal */
export function getFlowKey(request: ServiceRequest): string {
	return `${request.service}\n${request.requestClass}\n${request.team}`;
}

/** Requests that wait in the flow of the given one. @public */
export function getFlowLength(state: EntryState, pool: PoolName, request: ServiceRequest): number {
	return state.dispatch.queues.get(pool)?.flows.get(getFlowKey(request))?.waiting.length ?? 0;
}
