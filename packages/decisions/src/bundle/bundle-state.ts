import {type Bundle, type EntryId, type SignedBundle} from '@pistachiogauge/model';

/** An operator's bundle whose acceptance by the store is pending. */
export type PendingAcceptance = {
	readonly callId: string;
	readonly operator: string;
	readonly signed: SignedBundle;
	readonly nonce: string;
	/** Revision of the head record that the write replaces; 0 when there is none. */
	readonly headRevision: number;
	/** Number of times that the write was sent. */
	writeCount: number;
};

/** State of the bundle filter. @public */
export type BundleState = {
	/** The applied bundle; undefined until the first one is applied. */
	current: Bundle | undefined;
	/** The applied bundle as signed text, in which form it is sent to other entries. */
	signed: SignedBundle | undefined;
	/** Monotonic time at which this entry applied the bundle. */
	appliedAt: number;
	/** Revision of the head record in the store, which holds the latest accepted bundle; 0 when absent, undefined before the first read. */
	headRevision: number | undefined;
	nextHeadReadAt: number;
	/** Version that each entry last announced in a heartbeat, with the monotonic time at which it was received. */
	readonly peerVersions: Map<EntryId, {readonly version: number; readonly receivedAt: number}>;
	/** Monotonic time before which no further entry is asked for its bundle. */
	nextBundleRequestAt: number;
	readonly pendingAcceptances: Map<string, PendingAcceptance>;
	/** History records that the store has not confirmed yet, by store key. */
	readonly unwrittenHistory: Map<string, string>;
	/** Operator calls that wait for a read of the history, by operation id. */
	readonly historyCalls: Map<string, {readonly callId: string; readonly version: number | undefined}>;
	nextHistoryWriteAt: number;
	operationCount: number;
};

/** @internal */
export function createBundleState(): BundleState {
	return {
		current: undefined,
		signed: undefined,
		appliedAt: 0,
		headRevision: undefined,
		nextHeadReadAt: 0,
		peerVersions: new Map(),
		nextBundleRequestAt: 0,
		pendingAcceptances: new Map(),
		unwrittenHistory: new Map(),
		historyCalls: new Map(),
		nextHistoryWriteAt: 0,
		operationCount: 0,
	};
}
