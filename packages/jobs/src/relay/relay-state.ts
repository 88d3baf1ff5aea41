import {type CallerAnswer} from '../model/index.js';

/** A caller's request that peers are asked about. @internal */
export type Relay = {
	readonly startedAt: number;
	/** Peers that were asked, including the one whose answer is awaited. */
	readonly askedNodes: Set<string>;
	awaitedNode: string | undefined;
	/** What this entry can say by itself; undefined while its own store call has not ended. */
	ownAnswer: CallerAnswer | undefined;
	/** Last answer of a peer that did not carry the request out. */
	peerAnswer: CallerAnswer | undefined;
	/** Whether a peer may have carried the request out, or may still do so. */
	mayBeDone: boolean;
};

/** @public */
export type RelayState = {
	/** By request. One whose caller has its answer stays until the peer that was asked has answered or the call has timed out, as it counts towards the limit. */
	readonly relays: Map<string, Relay>;
	/** Monotonic ms until which a peer is not asked, by node. */
	readonly pausedPeers: Map<string, number>;
	/** Monotonic ms at which a peer decided a request last, by node. */
	readonly decidedAt: Map<string, number>;
	/** Number of peers in a row that could not decide a request. */
	failuresInRow: number;
	/** Monotonic ms until which no peer is asked. */
	pausedUntil: number;
};

/** @public */
export function createRelayState(): RelayState {
	return {
		relays: new Map(), pausedPeers: new Map(), decidedAt: new Map(), failuresInRow: 0, pausedUntil: 0,
	};
}
