import {type Claim, type Member} from '../model/index.js';

/** A claim that this entry holds. @internal */
export type OwnClaim = {
	readonly token: number;
	/** When a failed load is tried again; undefined while none has failed. */
	retryAt: number | undefined;
};

/** Who takes part, and who may act for what. @public */
export type AuthorityState = {
	readonly node: string;
	readonly incarnation: string;
	readonly members: Map<string, Member>;
	readonly claims: Map<string, Claim>;
	/** Holders of claims that have ended, for as long as nobody holds them. */
	readonly formerHolders: Map<string, Claim>;
	/** Entry that held a claim last and the revision of that record, for claims whose next holder waits for orders of the last one to be over. */
	readonly lastHolders: Map<string, {readonly node: string; readonly revision: number}>;
	readonly vacantSince: Map<string, number>;
	readonly heldClaims: Map<string, OwnClaim>;
	/** When a claim was asked for, by name, while the answer is out. */
	readonly asked: Map<string, number>;
	claimNames: readonly string[];
	areMembersListed: boolean;
	areClaimsListed: boolean;
	sessionOpenedAt: number | undefined;
	/** Monotonic ms up to which the lease holds for certain. */
	validUntil: number;
	isStopping: boolean;
};

/** What other filters may ask about authority. @public */
export type AuthorityView = {
	readonly authority: {
		readonly node: string;
		readonly heldClaims: ReadonlyMap<string, {readonly token: number}>;
		readonly validUntil: number;
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
		formerHolders: new Map(),
		lastHolders: new Map(),
		vacantSince: new Map(),
		heldClaims: new Map(),
		asked: new Map(),
		claimNames: [],
		areMembersListed: false,
		areClaimsListed: false,
		sessionOpenedAt: undefined,
		validUntil: 0,
		isStopping: false,
	};
}
