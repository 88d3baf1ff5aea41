import {
	type EntryId, type EpochRecord, type Member, type PoolName,
} from '@pistachiogauge/model';

/** What a member last said about the others. */
export type SuspicionReport = {
	readonly suspects: readonly EntryId[];
	readonly at: number;
};

/**
State of the membership filter. Times are monotonic milliseconds of this process.

@public
*/
export type MembershipState = {
	/** The epoch that this entry has adopted. */
	record: EpochRecord | undefined;
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
	readonly lastHeard: Map<EntryId, number>;
	readonly reports: Map<EntryId, SuspicionReport>;
	/** Entries registered in the store. */
	readonly registered: Map<EntryId, Member>;
	/** Entries known to have ended. */
	readonly departed: Set<EntryId>;
	readonly links: Set<EntryId>;
	/** Links that were asked for, with the address. */
	readonly wantedLinks: Map<EntryId, string>;
	/** When it became known that a majority of the former members has adopted the epoch. */
	majorityAdoptedAt: number | undefined;
	/** Whether no owner of the epoch before can act any more. */
	isActive: boolean;
	/** Pools for which this entry has taken over. */
	readonly acquired: Set<PoolName>;
	nextHeartbeatAt: number;
	/** When the wish to change the epoch was first noticed. */
	changeWantedAt: number | undefined;
	proposalOperation: string | undefined;
	nextProposalAt: number;
	isStoreReached: boolean;
	startedAt: number | undefined;
	isLeaving: boolean;
	operationCount: number;
};

/** @internal */
export function createMembershipState(): MembershipState {
	return {
		record: undefined,
		storeRevision: undefined,
		formerMembers: [],
		vouchers: new Map(),
		formerVouchers: new Map(),
		adoptedBy: new Map(),
		lastHeard: new Map(),
		reports: new Map(),
		registered: new Map(),
		departed: new Set(),
		links: new Set(),
		wantedLinks: new Map(),
		majorityAdoptedAt: undefined,
		isActive: false,
		acquired: new Set(),
		nextHeartbeatAt: 0,
		changeWantedAt: undefined,
		proposalOperation: undefined,
		nextProposalAt: 0,
		isStoreReached: false,
		startedAt: undefined,
		isLeaving: false,
		operationCount: 0,
	};
}
