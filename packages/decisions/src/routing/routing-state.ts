import {
	type EntryId, type PoolName, type RequestId, type ServiceRequest,
} from '@pistachiogauge/model';

/** A request that this entry has received from a caller. @public */
export type RoutedRequest = {
	readonly request: ServiceRequest;
	/** Pool of the service according to the newest bundle. */
	pool: PoolName;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
	/** Entry that holds the request now; undefined while no owner is known or reachable. */
	heldBy: EntryId | undefined;
	/** Entries that held the request and were lost; a complete answer from them is still valid. */
	readonly formerHolders: EntryId[];
	/** Whether an entry that held the request was lost, so that the request may have run there. */
	mayHaveRun: boolean;
};

/** State of the routing filter: requests received from callers and not answered yet. @public */
export type RoutingState = {
	readonly requests: Map<RequestId, RoutedRequest>;
};

/** @internal */
export function createRoutingState(): RoutingState {
	return {requests: new Map()};
}
