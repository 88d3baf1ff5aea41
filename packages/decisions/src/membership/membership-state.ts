import {
	type EntryId, type EpochRecord, type Member, type PoolName,
} from '@pistachiogauge/model';

/** What a member last said about the others. */
export type SuspicionReport = {
	readonly suspects: readonly EntryId[];
	readonly at: number;
};

/** An operator's forced epoch on its way through the store. */
export type PendingForce = {
	readonly callId: string;
	readonly operator: string;
	readonly record: EpochRecord;
	readonly askedAt: number;
};

/**
State of the membership filter. Times are monotonic milliseconds of this process.

@public
*/
export type MembershipState = {
	/** The epoch that this entry has adopted. */
	record: EpochRecord | undefined;
	/** Whether the adopted epoch directly follows the one that this entry had adopted before. */
	isDirectSuccessor: boolean;
	/** Revision of the epoch record in the store, as last read; 0 when the key is absent, undefined before the first read. */
	storeRevision: number | undefined;
	/** The members of the epoch before, whose vouchers still cover pools that keep their owner. */
	formerMembers: readonly EntryId[];
	/** Vouchers for the adopted epoch: member and the time it was asked. */
	vouchers: Map<EntryId, number>;
	/** Vouchers for the epoch before. */
	formerVouchers: Map<EntryId, number>;
	/** Highest epoch that each entry has said it adopted. */
	readonly adoptedBy: Map<EntryId, number>;
	/** Proposal of the epoch in `adoptedBy`. */
	readonly proposalOf: Map<EntryId, string | undefined>;
	readonly lastHeardAt: Map<EntryId, number>;
	readonly reports: Map<EntryId, SuspicionReport>;
	/** Entries registered in the store. */
	readonly registered: Map<EntryId, Member>;
	/** Revision of the last change of each registration. */
	readonly registrationRevisions: Map<EntryId, number>;
	/** Whether the store has confirmed this entry's own registration. */
	isRegistered: boolean;
	nextRegistrationAt: number;
	/** When the records are read again because a read has failed; undefined while none has. */
	readAgainAt: number | undefined;
	/** Entries known to have ended. */
	readonly departed: Set<EntryId>;
	/** Entries that have said that they shut down. */
	readonly leaving: Set<EntryId>;
	readonly links: Set<EntryId>;
	/** Links that were asked for, with the address. */
	readonly wantedLinks: Map<EntryId, string>;
	/** When it became known that a majority of the former members has adopted the epoch. */
	majorityAdoptedAt: number | undefined;
	/** Whether no owner of the epoch before can act any more. */
	isActive: boolean;
	/** Pools for which this entry has taken over. */
	readonly acquiredPools: Set<PoolName>;
	nextHeartbeatAt: number;
	/** When the wish to change the epoch was first noticed. */
	changeWantedAt: number | undefined;
	proposalOperation: string | undefined;
	/** When the pending proposal was written. */
	proposedAt: number;
	nextProposalAt: number;
	/** The newest read of the epoch record; answers to earlier reads no longer set the revision. */
	readOperation: string | undefined;
	nextReadAt: number;
	/** Operator's call that waits for the forced epoch to be read back. */
	pendingForce: PendingForce | undefined;
	isStoreReached: boolean;
	startedAt: number | undefined;
	lastTickAt: number | undefined;
	isLeaving: boolean;
	/** When the shutdown was requested. */
	leavingAt: number | undefined;
	operationCount: number;
	/** Proposals made; part of their identifiers. */
	proposalCount: number;
};

/** @internal */
export function createMembershipState(): MembershipState {
	return {
		record: undefined,
		isDirectSuccessor: false,
		storeRevision: undefined,
		formerMembers: [],
		vouchers: new Map(),
		formerVouchers: new Map(),
		adoptedBy: new Map(),
		proposalOf: new Map(),
		lastHeardAt: new Map(),
		reports: new Map(),
		registered: new Map(),
		registrationRevisions: new Map(),
		isRegistered: false,
		nextRegistrationAt: 0,
		readAgainAt: undefined,
		departed: new Set(),
		leaving: new Set(),
		links: new Set(),
		wantedLinks: new Map(),
		majorityAdoptedAt: undefined,
		isActive: false,
		acquiredPools: new Set(),
		nextHeartbeatAt: 0,
		changeWantedAt: undefined,
		proposalOperation: undefined,
		proposedAt: 0,
		nextProposalAt: 0,
		readOperation: undefined,
		nextReadAt: 0,
		pendingForce: undefined,
		isStoreReached: false,
		startedAt: undefined,
		lastTickAt: undefined,
		isLeaving: false,
		leavingAt: undefined,
		operationCount: 0,
		proposalCount: 0,
	};
}
