import {type Bundle, type SignedBundle} from '@pistachiogauge/model';

/** An operator's call that waits for the store to decide. */
export type PendingAcceptance = {
	readonly callId: string;
	readonly operator: string;
	readonly signed: SignedBundle;
	readonly nonce: string;
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
	readonly pending: Map<string, PendingAcceptance>;
	operationCount: number;
};

/** @internal */
export function createBundleState(): BundleState {
	return {
		current: undefined,
		signed: undefined,
		appliedAt: 0,
		headRevision: undefined,
		pending: new Map(),
		operationCount: 0,
	};
}
