import {
	type EntryId, type PoolName, type RequestId, type ServiceRequest,
} from '@pistachiogauge/model';

/** A request of one of this entry's own callers. @public */
export type RoutedRequest = {
	readonly request: ServiceRequest;
	/** Pool of the service in the newest bundle. */
	pool: PoolName;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
	/** Entry that has the request now; undefined while no owner is known or reachable. */
	heldBy: EntryId | undefined;
	/** Entries that had the request and were lost; a whole answer of theirs still counts. */
	readonly formerHolders: EntryId[];
	/** Whether an entry that had the request was lost, so that it may have run there. */
	mayHaveRun: boolean;
};

/** State of the routing filter: requests received from callers and not yet answered. @public */
export type RoutingState = {
	readonly requests: Map<RequestId, RoutedRequest>;
};

/** @internal */
export function createRoutingState(): RoutingState {
	return {requests: new Map()};
}
