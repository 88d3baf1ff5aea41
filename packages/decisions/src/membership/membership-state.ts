import {
	type EntryId, type EpochRecord, type Member, type PoolName,
} from '@pistachiogauge/model';

/** The last report of a member about which other members it suspects to have failed. */
export type SuspicionReport = {
	readonly suspects: readonly EntryId[];
	/** When the report arrived. */
	readonly receivedAt: number;
};

/** An epoch forced by an operator whose write to the store is not confirmed yet. */
export type PendingForcedEpoch = {
	readonly callId: string;
	readonly operator: string;
	readonly record: EpochRecord;
	readonly requestedAt: number;
};

/**
State of the membership filter. Times are monotonic milliseconds of this process.

A voucher is a lease that one member grants another: for the voucher time it supports the other in acting for the pools that the epoch assigns to it.

@public
*/
export type MembershipState = {
	/** Record of the epoch that this entry has adopted. */
	record: EpochRecord | undefined;
	/** Whether the adopted epoch directly follows the one that this entry had adopted before. */
	isDirectSuccessor: boolean;
	/** Revision of the epoch record in the store, as last read; 0 when the key is absent, undefined before the first read. */
	storeRevision: number | undefined;
	/** Members of the epoch that was adopted before; their vouchers stay valid for pools that keep their owner. */
	formerMembers: readonly EntryId[];
	/** Vouchers for the adopted epoch: when this entry asked each member for the latest one. */
	vouchers: Map<EntryId, number>;
	/** Vouchers for the epoch that was adopted before. */
	formerVouchers: Map<EntryId, number>;
	/** Highest epoch that each entry has reported as adopted. */
	readonly adoptedEpochs: Map<EntryId, number>;
	/** Identifier of the proposal that wrote each epoch in `adoptedEpochs`; tells apart two records with the same epoch number. */
	readonly adoptedProposals: Map<EntryId, string | undefined>;
	/** When the latest message from each entry arrived. */
	readonly lastHeardAt: Map<EntryId, number>;
	readonly suspicionReports: Map<EntryId, SuspicionReport>;
	/** Entries registered in the store. */
	readonly registrations: Map<EntryId, Member>;
	/** Revision of the last change of each registration. */
	readonly registrationRevisions: Map<EntryId, number>;
	/** Whether the store has confirmed this entry's own registration. */
	isRegistered: boolean;
	nextRegistrationAt: number;
	/** When the records are read again after a failed read; undefined when no read has failed. */
	retryReadsAt: number | undefined;
	/** Entries known to have ended. */
	readonly departed: Set<EntryId>;
	/** Entries that have reported that they are shutting down. */
	readonly leaving: Set<EntryId>;
	/** Entries to which a link is up. */
	readonly links: Set<EntryId>;
	/** Addresses of the entries to which this entry has requested a link. */
	readonly requestedLinks: Map<EntryId, string>;
	/** When this entry learned that a majority of the previous epoch's members has adopted the epoch. */
	majorityAdoptedAt: number | undefined;
	/** Whether the adopted epoch is active: no owner of the previous epoch can act any more. */
	isActive: boolean;
	/** Pools that this entry has taken over and still owns. */
	readonly acquiredPools: Set<PoolName>;
	nextHeartbeatAt: number;
	/** When this entry first noticed that the epoch has to change; undefined while it does not. */
	changeNeededAt: number | undefined;
	/** Store write of the pending proposal; undefined when none is pending. */
	proposalOperationId: string | undefined;
	/** When the pending proposal was written. */
	proposedAt: number;
	nextProposalAt: number;
	/** The latest read of the epoch record; answers to earlier reads do not set the revision. */
	epochReadOperationId: string | undefined;
	nextReadAt: number;
	/** Forced epoch whose operator waits until the record has been read back. */
	pendingForcedEpoch: PendingForcedEpoch | undefined;
	isStoreReached: boolean;
	startedAt: number | undefined;
	lastTickAt: number | undefined;
	isLeaving: boolean;
	/** When the shutdown was requested. */
	leavingAt: number | undefined;
	/** Number of store operations so far; part of their identifiers. */
	operationCount: number;
	/** Number of proposals so far; part of their identifiers. */
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
		adoptedEpochs: new Map(),
		adoptedProposals: new Map(),
		lastHeardAt: new Map(),
		suspicionReports: new Map(),
		registrations: new Map(),
		registrationRevisions: new Map(),
		isRegistered: false,
		nextRegistrationAt: 0,
		retryReadsAt: undefined,
		departed: new Set(),
		leaving: new Set(),
		links: new Set(),
		requestedLinks: new Map(),
		majorityAdoptedAt: undefined,
		isActive: false,
		acquiredPools: new Set(),
		nextHeartbeatAt: 0,
		changeNeededAt: undefined,
		proposalOperationId: undefined,
		proposedAt: 0,
		nextProposalAt: 0,
		epochReadOperationId: undefined,
		nextReadAt: 0,
		pendingForcedEpoch: undefined,
		isStoreReached: false,
		startedAt: undefined,
		lastTickAt: undefined,
		isLeaving: false,
		leavingAt: undefined,
		operationCount: 0,
		proposalCount: 0,
	};
}
