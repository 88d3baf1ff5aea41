import {
	type EntryId, type PoolName, type RequestId, type RequestResult, type ServiceName, type ServiceRequest,
} from '@pistachiogauge/model';

/**
Stage of a key.

- `reserving`: the standby has not acknowledged the reservation; the request was not sent to an endpoint.
- `reserved`: the request may have been sent to an endpoint.
- `settled`: the result is known.

@public
*/
export type KeyStage = 'reserving' | 'reserved' | 'settled';

/** A request that waits for the result of a key. */
export type KeyWaiter = {
	/** Entry that received the request from its caller. */
	readonly receiver: EntryId;
	readonly requestId: RequestId;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
};

/** Record of one key at an owner or standby. @public */
export type KeyRecord = {
	readonly pool: PoolName;
	readonly key: string;
	stage: KeyStage;
	readonly fingerprint: string;
	/** Identifier of the reservation, unique across all entries. */
	reservation: string;
	/** The request that runs under this key; undefined at a standby. */
	request: ServiceRequest | undefined;
	/** Requests that receive the result; the first one is the request that runs. */
	readonly waiters: KeyWaiter[];
	result: RequestResult | undefined;
	/** Former owner at which the request may still be running, as long as that entry is linked. */
	runningEntryId: EntryId | undefined;
	/** Monotonic time at which the reservation was last sent to the standby. */
	reservationSentAt: number;
	/** Monotonic time after which the request is refused unless the standby has acknowledged the reservation. */
	reservationDeadlineAt: number;
};

/** A non-idempotent request that was submitted to this entry as the owner of its pool. */
export type SubmittedRequest = {
	readonly request: ServiceRequest;
	readonly receiver: EntryId;
	readonly deadlineAt: number;
};

/**
Role of this entry for the keys of a pool.

- `owner`: it reserves keys and passes requests on to run.
- `standby`: it acknowledges the reservations of `replicationPeer`, or is assigned to take the pool over from it.
- `none`: it is neither.

@public
*/
export type KeyRole = 'none' | 'standby' | 'owner';

/** A transfer of keys from another entry to this one. */
export type IncomingTransfer = {
	readonly from: EntryId;
	/** Identifier that the sender has given the transfer. */
	readonly id: number;
	nextChunkIndex: number;
	isComplete: boolean;
	/** In a handover, the reserved keys that were known here before and that the transfer has not contained so far. */
	readonly unconfirmedKeys: Set<string>;
};

/** Keys of one pool. @public */
export type PoolKeys = {
	/** Unix time in milliseconds since which this entry knows every key that can have run; undefined while there is no such time. */
	coverageSince: number | undefined;
	readonly keys: Map<string, KeyRecord>;
	/** Keys grouped by the minute of their issue time, so that expiry need not scan all keys. */
	readonly keysByMinute: Map<number, Set<string>>;
	role: KeyRole;
	/** At a standby, the owner whose reservations it acknowledges; at an owner, the standby that has a full copy of the keys. */
	replicationPeer: EntryId | undefined;
	/** At a standby, whether it has received a full copy of the keys. */
	hasFullCopy: boolean;
	/** Monotonic time until which requests wait for the former owner's keys; undefined when none are expected. */
	handoverUntil: number | undefined;
	waitingForHandover: SubmittedRequest[];
	incomingTransfer: IncomingTransfer | undefined;
};

/** A transfer of keys to another entry, one chunk at a time. */
export type OutgoingTransfer = {
	readonly id: number;
	readonly to: EntryId;
	readonly epoch: number;
	readonly pool: PoolName;
	readonly isHandover: boolean;
	readonly coverageSince: number;
	readonly allKeys: readonly string[];
	readonly startedAt: number;
	/** Position of the current chunk. */
	chunkIndex: number;
	/** Number of keys in the chunks before the current one. */
	offset: number;
	/** Keys of the current chunk, which is not acknowledged yet. */
	chunk: readonly string[];
	/** Monotonic time at which the current chunk was last sent. */
	sentAt: number;
	/** Requests that return to their receivers once the next owner has released their keys. */
	readonly requestsToReturn: KeyWaiter[];
};

/** A service that a bundle has moved to another pool. */
export type ServiceMove = {
	/** Version of that bundle. */
	readonly version: number;
	/** Unix time in milliseconds since which every member has applied that bundle; undefined until then. */
	since: number | undefined;
};

/** State of the idempotency filter. @public */
export type IdempotencyState = {
	readonly pools: Map<PoolName, PoolKeys>;
	/** Key record of each waiting or running non-idempotent request. */
	readonly recordsByRequest: Map<RequestId, KeyRecord>;
	/** Records that wait for another entry: for the standby's acknowledgement, or for the result at a former owner. Checked on every tick. */
	readonly awaitingPeer: Set<KeyRecord>;
	readonly transfers: Set<OutgoingTransfer>;
	/** Requests that are held back until the next owner has released their keys. */
	readonly awaitingKeyRelease: Set<RequestId>;
	/** Settled keys whose results are kept, oldest first. */
	readonly keptResults: Set<KeyRecord>;
	keptResultBytes: number;
	/** Pool of each service according to the bundles applied so far. */
	readonly servicePools: Map<ServiceName, PoolName>;
	readonly serviceMoves: Map<ServiceName, ServiceMove>;
	/** Bundle version that each entry last reported. */
	readonly bundleVersions: Map<EntryId, number>;
	/** Highest Unix time in milliseconds seen so far; setting the clock back must not extend the coverage. */
	latestWallTime: number;
	/** Number of reservations so far; part of their identifiers. */
	reservationCount: number;
	/** Number of outgoing transfers so far; their identifiers. */
	transferCount: number;
	nextExpiryAt: number;
};

/** @internal */
export function createIdempotencyState(): IdempotencyState {
	return {
		pools: new Map(),
		recordsByRequest: new Map(),
		awaitingPeer: new Set(),
		transfers: new Set(),
		awaitingKeyRelease: new Set(),
		keptResults: new Set(),
		keptResultBytes: 0,
		servicePools: new Map(),
		serviceMoves: new Map(),
		bundleVersions: new Map(),
		latestWallTime: Number.NEGATIVE_INFINITY,
		reservationCount: 0,
		transferCount: 0,
		nextExpiryAt: 0,
	};
}
