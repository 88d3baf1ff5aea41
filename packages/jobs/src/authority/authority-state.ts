import {type Claim, type Clocks, type Member} from '../model/index.js';

/** A claim that this entry holds. @internal */
export type HeldClaim = {
	readonly token: number;
	/** Both clocks when the last call was sent whose answer confirmed that the claim is in the store; undefined if none has confirmed it yet, or since a pause of the process. */
	confirmedAt: Clocks | undefined;
	/** When a confirmation was requested for a decision that waits for it, in monotonic ms; undefined if none waits. */
	confirmationRequestedAt: number | undefined;
	/** Whether the pool's records have been loaded. Another load under the same claim would undo what was recorded since. */
	isLoaded: boolean;
	/** When loading the pool's records is retried after a failure, in monotonic ms; undefined if none is due. */
	loadRetryAt: number | undefined;
};

/** The members, and the claims that each of them holds. @public */
export type AuthorityState = {
	readonly node: string;
	readonly incarnation: string;
	readonly members: Map<string, Member>;
	readonly claims: Map<string, Claim>;
	/** Claims that have ended, by name, until somebody makes them again. */
	readonly endedClaims: Map<string, Claim>;
	/** Entry that held a claim last, and the revision of the record that says so; kept for claims whose next holder has to wait until the last one can no longer send orders. */
	readonly lastHolders: Map<string, {readonly node: string; readonly revision: number}>;
	/** When each vacant claim became vacant, in monotonic ms, by name. */
	readonly vacantSince: Map<string, number>;
	readonly heldClaims: Map<string, HeldClaim>;
	/** When a claim was requested, by name, while the answer is outstanding. */
	readonly claimRequestedAt: Map<string, number>;
	claimNames: readonly string[];
	areMembersListed: boolean;
	areClaimsListed: boolean;
	sessionOpenedAt: number | undefined;
	/** Monotonic ms until which the lease is certain to hold. */
	validUntil: number;
	/** The same as Unix ms. A suspended process finds only its wall clock advanced, so both have to be in the future. */
	wallValidUntil: number;
	/** When the process was last resumed after a pause that may have lasted beyond its lease, in monotonic ms. Answers to earlier calls confirm no claim. */
	resumedAt: number;
	isStopping: boolean;
};

/** Read-only view of the authority state for other filters. @public */
export type AuthorityView = {
	readonly authority: {
		readonly node: string;
		readonly heldClaims: ReadonlyMap<string, Readonly<Pick<HeldClaim, 'token' | 'confirmedAt'>>>;
		readonly validUntil: number;
		readonly wallValidUntil: number;
		readonly isStopping: boolean;
	};
};

/** @public */
export function createAuthorityState(node: string, incarnation: string): AuthorityState {
	return {
		node,
		incarnation,
		members: new Map(),
		claims: new Map(),
		endedClaims: new Map(),
		lastHolders: new Map(),
		vacantSince: new Map(),
		heldClaims: new Map(),
		claimRequestedAt: new Map(),
		claimNames: [],
		areMembersListed: false,
		areClaimsListed: false,
		sessionOpenedAt: undefined,
		validUntil: 0,
		wallValidUntil: 0,
		resumedAt: Number.NEGATIVE_INFINITY,
		isStopping: false,
	};
}
