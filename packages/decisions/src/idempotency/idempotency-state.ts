import {
	type EntryId, type PoolName, type RequestId, type RequestResult, type ServiceName, type ServiceRequest,
} from '@pistachiogauge/model';

/**
Stage of a key.

- `reserving`: the standby has not acknowledged it; nothing was sent.
- `reserved`: it may have been sent to an endpoint.
- `settled`: its result is known.

@public
*/
export type KeyStage = 'reserving' | 'reserved' | 'settled';

/** A caller's request that waits for the result of a key. */
export type KeyWaiter = {
	readonly receiver: EntryId;
	readonly requestId: RequestId;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
};

/** What an owner or standby knows of one key. @public */
export type KeyRecord = {
	readonly pool: PoolName;
	readonly key: string;
	stage: KeyStage;
	readonly fingerprint: string;
	/** Identifies the reservation, unique over all entries. */
	reservation: string;
	/** The request that runs under this key; undefined at a standby. */
	request: ServiceRequest | undefined;
	/** Requests that get the result; the first one is the request that runs. */
	readonly waiters: KeyWaiter[];
	result: RequestResult | undefined;
	/** Living former owner at which the request still runs. */
	runsAt: EntryId | undefined;
	/** Monotonic time of the last message to the standby. */
	reserveSentAt: number;
	/** Monotonic time at which a reservation that is not acknowledged is given up. */
	refuseAt: number;
};

/** A request that waits for the former owner's keys. */
export type ParkedOffer = {
	readonly request: ServiceRequest;
	readonly receiver: EntryId;
	readonly deadlineAt: number;
};

/**
What this entry is for a pool's keys.

- `owner`: it reserves keys and lets requests run.
- `standby`: it acknowledges the reservations of `partner`, or has been named to follow it.

@public
*/
export type KeyRole = 'none' | 'standby' | 'owner';

/** A transfer of keys that is arriving. */
export type IncomingTransfer = {
	readonly from: EntryId;
	readonly transfer: number;
	nextIndex: number;
	isComplete: boolean;
	/** Keys held before a handover that it has not mentioned so far. */
	readonly unconfirmed: Set<string>;
};

/** Keys of one pool. @public */
export type PoolKeys = {
	/** Unix time in milliseconds since which every key that can have run is known here; undefined while that is not so. */
	coverageSince: number | undefined;
	readonly keys: Map<string, KeyRecord>;
	/** Keys by the minute of their issue time, for cheap expiry. */
	readonly buckets: Map<number, Set<string>>;
	role: KeyRole;
	/** At a standby, the owner whose reservations it acknowledges; at an owner, the standby that has a full copy. */
	partner: EntryId | undefined;
	/** Whether a full copy has arrived at this standby. */
	isCopied: boolean;
	/** Monotonic time until which requests wait for the former owner's keys. */
	handoverUntil: number | undefined;
	parked: ParkedOffer[];
	incoming: IncomingTransfer | undefined;
};

/** A transfer of keys to another entry, one chunk at a time. */
export type OutgoingTransfer = {
	readonly id: number;
	readonly to: EntryId;
	readonly epoch: number;
	readonly pool: PoolName;
	readonly isHandover: boolean;
	readonly coverageSince: number;
	readonly names: readonly string[];
	readonly startedAt: number;
	/** Position of the current chunk. */
	index: number;
	/** Names sent up to and without the current chunk. */
	offset: number;
	/** Names in the chunk that waits for its acknowledgement. */
	chunk: readonly string[];
	sentAt: number;
	/** Requests that go back to their receivers when the next owner has freed their keys. */
	readonly returns: KeyWaiter[];
};

/** A service that a bundle has moved to another pool. */
export type ServiceMove = {
	readonly version: number;
	/** Unix time in milliseconds at which every member had applied that bundle; undefined before. */
	since: number | undefined;
};

/** State of the idempotency filter. @public */
export type IdempotencyState = {
	readonly pools: Map<PoolName, PoolKeys>;
	/** Key of each waiting or running non-idempotent request. */
	readonly keyByRequest: Map<RequestId, KeyRecord>;
	/** Records that need attention on every tick: unacknowledged ones, and ones that run at a former owner. */
	readonly attended: Set<KeyRecord>;
	readonly transfers: Set<OutgoingTransfer>;
	/** Requests that are held back until their key is free at the next owner. */
	readonly awaitingKeyRelease: Set<RequestId>;
	/** Settled keys whose result is kept, oldest first. */
	readonly results: Set<KeyRecord>;
	resultBytes: number;
	/** Pool of each service in the bundles seen so far. */
	readonly servicePools: Map<ServiceName, PoolName>;
	readonly serviceMoves: Map<ServiceName, ServiceMove>;
	/** Bundle version that each entry has last reported. */
	readonly bundleVersions: Map<EntryId, number>;
	/** Highest Unix time seen; a clock that is set back must not widen what counts as covered. */
	latestWallTime: number;
	reservationCount: number;
	transferCount: number;
	nextExpiryAt: number;
};

/** @internal */
export function createIdempotencyState(): IdempotencyState {
	return {
		pools: new Map(),
		keyByRequest: new Map(),
		attended: new Set(),
		transfers: new Set(),
		awaitingKeyRelease: new Set(),
		results: new Set(),
		resultBytes: 0,
		servicePools: new Map(),
		serviceMoves: new Map(),
		bundleVersions: new Map(),
		latestWallTime: Number.NEGATIVE_INFINITY,
		reservationCount: 0,
		transferCount: 0,
		nextExpiryAt: 0,
	};
}
