import {
	type AccountDemand, type OwnedPool, type Resources, type ShareRecord,
} from '../model/index.js';
import {type ShareDecision, type ShareInput} from './decide-share.js';

/** Lets the owned pools look at an account in their next review. @internal */
export function markDue({ownedPools}: QuotaState, account: string): void {
	for (const {dueAccounts} of ownedPools.values()) {
		dueAccounts.add(account);
	}
}

/** A write of an account's shares that has been sent. @internal */
export type SentShare = {
	readonly writeId: number;
	readonly pool: string;
	readonly share: Resources;
	readonly record: ShareRecord;
	/** Whether its result is awaited; otherwise it was not answered and may still be carried out. */
	isPending: boolean;
};

/** The shares of an account, as far as this entry knows them. @public */
export type AccountShares = {
	record: ShareRecord;
	/** Revision of the record in the store; 0 for none. */
	revision: number;
	/** Writes on condition of this revision. As long as it is the newest one known, each of them may have been carried out. */
	sent: SentShare[];
	/** Whether the record has to be read, as a newer revision exists or a write was not answered. */
	isOutdated: boolean;
	/** When the record was last requested, in monotonic ms. */
	readAt: number;
	/** Monotonic ms before which no share grows: the owners of other pools may not have recorded yet what runs there. */
	takesFrom: number;
	/** Limits on the shares of pools whose entry another writer has changed, by pool, until this entry has written it again. */
	readonly held: Map<string, Resources>;
	/** Limits on what may be running by pool, for pools whose share other pools are due. */
	readonly limits: Map<string, Resources>;
};

/** What a pool wants of an account's cap, over time. @internal */
export type DemandHistory = {
	/** Maximum of what was wanted in the current period and in the one before. */
	peak: Resources;
	previousPeak: Resources;
	periodStartedAt: number;
	/** Since when other pools are due a part of the share; undefined while they are not. */
	yieldingSince: number | undefined;
	/** What the first waiting task or gang takes, and since when it waits. */
	unit: ShareInput['unit'];
	unitStepId: string | undefined;
	/** The last decision, and what it was made from. */
	lastInput: ShareInput | undefined;
	lastDecision: ShareDecision | undefined;
	/** When idle share was last looked for. */
	idleCheckedAt: number;
};

/** @internal */
export type PoolQuota = {
	readonly pool: string;
	readonly token: number;
	/** Whether all shares have been listed since the claim was made. Before that, the pool's share may be less than the record known here says. */
	isListed: boolean;
	nextWriteAt: number;
	/** What waits only because of the shares, by account, in the last search for tasks to start. */
	demands: ReadonlyMap<string, AccountDemand>;
	demandsMeasuredAt: number;
	readonly histories: Map<string, DemandHistory>;
	/** Accounts to look at in the next review, beside those that run or want something: their record or cap has changed, or a change of the share waits to be written. */
	readonly dueAccounts: Set<string>;
	/** When all accounts were last looked at, in monotonic ms. */
	sweptAt: number;
	logAt: number;
};

/** @public */
export type QuotaState = {
	/** Caps of the accounts in the configuration, and the last ones of accounts that have left it and have a record. */
	caps: ReadonlyMap<string, Resources>;
	/** Accounts in the configuration. */
	configuredAccounts: ReadonlySet<string>;
	/** Pools in the configuration, and those that left it with the time in monotonic ms. */
	readonly pools: Map<string, {removedAt: number | undefined}>;
	readonly accounts: Map<string, AccountShares>;
	readonly ownedPools: Map<string, PoolQuota>;
	/** Pools for which the watch of the shares was started. */
	followed: readonly OwnedPool[];
	isStoreLost: boolean;
	nextWriteId: number;
};

/** Read-only view of the shares for other filters. @public */
export type QuotaView = {
	readonly quota: {
		readonly caps: ReadonlyMap<string, Resources>;
		readonly configuredAccounts: ReadonlySet<string>;
		readonly accounts: ReadonlyMap<string, Readonly<AccountShares>>;
		readonly ownedPools: ReadonlyMap<string, Readonly<PoolQuota>>;
	};
};

/** @public */
export function createQuotaState(): QuotaState {
	return {
		caps: new Map(), configuredAccounts: new Set(), pools: new Map(), accounts: new Map(), ownedPools: new Map(), followed: [], isStoreLost: false, nextWriteId: 1,
	};
}

/** Returns what is known of an account's shares, or creates it empty. @internal */
export function getAccount({accounts}: QuotaState, account: string): AccountShares {
	const known = accounts.get(account);
	if (known !== undefined) {
		return known;
	}

	const created: AccountShares = {
		record: {cap: {cpuMillis: 0, memoryMb: 0, gpus: 0}, pools: {}}, revision: 0, sent: [], isOutdated: false, readAt: Number.NEGATIVE_INFINITY, takesFrom: 0, held: new Map(), limits: new Map(),
	};
	accounts.set(account, created);
	return created;
}
