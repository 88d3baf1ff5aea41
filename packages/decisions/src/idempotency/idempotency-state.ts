import {
	type EntryId, type PoolName, type RequestId, type RequestResult, type ServiceRequest,
} from '@pistachiogauge/model';

/**
Stage of a key.

- `reserving`: the standby has not acknowledged it; nothing was sent.
- `reserved`: it may have been sent to an endpoint.
- `settled`: its result is known.

@public
*/
export type KeyStage = 'reserving' | 'reserved' | 'settled';

/** Where a result goes. */
export type ResultAddress = {
	readonly receiver: EntryId;
	readonly requestId: RequestId;
};

/** What an owner or standby knows of one key. @public */
export type KeyRecord = {
	stage: KeyStage;
	readonly fingerprint: string;
	/** The request that runs under this key; undefined at a standby. */
	request: ServiceRequest | undefined;
	readonly waiters: ResultAddress[];
	result: RequestResult | undefined;
	/** Monotonic time of the last change of stage. */
	changedAt: number;
};

/** Keys of one pool. @public */
export type PoolKeys = {
	/** Unix time in milliseconds since which every key that can have run is known here; undefined while that is not so. */
	coverageSince: number | undefined;
	readonly keys: Map<string, KeyRecord>;
};

/** State of the idempotency filter. @public */
export type IdempotencyState = {
	readonly pools: Map<PoolName, PoolKeys>;
	/** Key of each running non-idempotent request. */
	readonly keyByRequest: Map<RequestId, {readonly pool: PoolName; readonly key: string}>;
};

/** @internal */
export function createIdempotencyState(): IdempotencyState {
	return {pools: new Map(), keyByRequest: new Map()};
}
