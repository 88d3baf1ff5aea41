import {type Bundle, type EntryId, type SignedBundle} from '@pistachiogauge/model';

/** An operator's call that waits for the store to decide. */
export type PendingAcceptance = {
	readonly callId: string;
	readonly operator: string;
	readonly signed: SignedBundle;
	readonly nonce: string;
	/** Revision of the head record that the write replaces; 0 when there is none. */
	readonly headRevision: number;
	/** Times that the write was sent. */
	writeCount: number;
};

/** State of the bundle filter. @public */
export type BundleState = {
	/** The bundle in force. */
	current: Bundle | undefined;
	signed: SignedBundle | undefined;
	/** Monotonic time at which the bundle came into force here. */
	appliedAt: number;
	/** Revision of the head record in the store; 0 when absent, undefined before the first read. */
	headRevision: number | undefined;
	nextHeadReadAt: number;
	/** Version that each entry has last named in a heartbeat, with the monotonic time. */
	readonly peerVersions: Map<EntryId, {readonly version: number; readonly heardAt: number}>;
	/** Monotonic time before which no other entry is asked for its bundle. */
	nextAskAt: number;
	readonly pending: Map<string, PendingAcceptance>;
	/** Records of the history that the store has not confirmed, by key. */
	readonly unwrittenTexts: Map<string, string>;
	/** Calls that wait for the history, by operation id. */
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
		nextAskAt: 0,
		pending: new Map(),
		unwrittenTexts: new Map(),
		historyCalls: new Map(),
		nextHistoryWriteAt: 0,
		operationCount: 0,
	};
}
