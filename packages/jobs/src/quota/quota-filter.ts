import {
	appendItems, emitEffect, restartEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {type ConfigurationView} from '../configuration/index.js';
import {type DirectoryView} from '../directory/index.js';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {type LedgerView} from '../ledger/index.js';
import {
	hasComponent, noResources, poolClaimPrefix, type Configuration, type JobEventOf, type Resources, type ShareRecord, type StoredShares,
} from '../model/index.js';
import {type SupervisionView} from '../supervision/index.js';
import {getAllowance, getCap} from './account-allowance.js';
import {
	getAccount, markDue, type AccountShares, type PoolQuota, type QuotaState,
} from './quota-state.js';
import {markOutdated, reviewShares} from './review-shares.js';

/** Delay before shares grow after an account has been given a cap, in which the owners of all pools record what runs there. */
const introducedCapDelayMs = 1000;
/** The same after a record was lost: the pool of a lost owner is claimed and loaded within this time. */
const lostRecordDelayMs = 3000;
/** Delay before the next write after one that was refused or not answered. */
const failedWriteDelayMs = 300;
/** Bound of the random delay after a conflict, as the owners of other pools write the same record. */
const conflictDelayMs = 60;
/** Maximum number of accounts whose records are kept, beside those in the configuration. */
const maxAccounts = 2000;
/** Interval between two log lines on the accounts of a pool whose jobs wait for share. */
const waitLogIntervalMs = 5000;
/** Maximum number of accounts that a log line names. */
const maxLoggedAccounts = 5;

type State = {readonly quota: QuotaState} & ConfigurationView & SupervisionView & LedgerView & DirectoryView;

/**
Divides the caps of client accounts among the pools: decides how much of each account's cap the pools that this entry owns may use, and records it in the store.

@public
*/
export const quotaFilter: JobFilter<State> = {
	name: 'quota',
	handlers: {
		'configuration-changed': applyConfiguration,
		'store-lost'({quota}) {
			quota.isStoreLost = true;
			// Nothing can be given back meanwhile, so all of the shares may be used.
			for (const shares of quota.accounts.values()) {
				shares.limits.clear();
			}

			return [];
		},
		'store-reached'({quota}) {
			quota.isStoreLost = false;
			return [];
		},
		'pool-loaded'({quota}, {pool, token}) {
			quota.ownedPools.set(pool, {
				pool, token, isListed: false, nextWriteAt: 0, demands: new Map(), demandsMeasuredAt: 0, histories: new Map(), dueAccounts: new Set(), sweptAt: Number.NEGATIVE_INFINITY, logAt: 0,
			});
			return followShares(quota);
		},
		'pool-lost'({quota}, {pool}) {
			quota.ownedPools.delete(pool);
			for (const shares of quota.accounts.values()) {
				shares.limits.delete(pool);
			}

			return followShares(quota);
		},
		'shares-listed': applyListing,
		'shares-changed'({quota}, {shares}, context) {
			return quota.ownedPools.size > 0 && applyShares(quota, shares, context) ? [...warnOfLoss(shares), restartEvent({kind: 'shares-review-due'})] : [];
		},
		'shares-read'({quota}, {shares}, context) {
			const known = quota.accounts.get(shares.account);
			if (known === undefined) {
				return [];
			}

			const isDeleted = shares.revision === 0 && known.revision > 0 && known.isOutdated;
			if (isDeleted) {
				// Records are written by owners only, and by none before this answer.
				known.revision = 0;
				resetShares(quota, shares.account, context.now);
			}

			const isChanged = applyShares(quota, shares, context) || isDeleted;
			known.isOutdated &&= shares.revision < known.revision;
			return [...(isChanged ? warnOfLoss(shares) : []), restartEvent({kind: 'shares-review-due'})];
		},
		'shares-written': handleWriteResult,
		'account-demand-measured'(state, {pool, demands}, context) {
			const owned = state.quota.ownedPools.get(pool);
			if (owned === undefined) {
				return [];
			}

			owned.demands = demands;
			owned.demandsMeasuredAt = context.now;
			return [...followShares(state.quota), ...reviewShares(state, context)];
		},
		'shares-review-due': (state, _event, context) => reviewShares(state, context),
		tick(state, _event, context) {
			const {quota} = state;
			if (quota.ownedPools.size === 0 || quota.followed.length === 0) {
				return [];
			}

			// Tasks that this tick has placed have to be counted.
			return [
				restartEvent({kind: 'shares-review-due'}),
				...[...quota.ownedPools.values()].flatMap(pool => logWaitingAccounts(state, pool, context)),
			];
		},
	},
};

function applyConfiguration({quota, configuration: {current}}: State, {configuration}: JobEventOf<'configuration-changed'>, context: DecisionContext): JobOutput[] {
	if (current !== configuration) {
		return [];
	}

	const outputs: JobOutput[] = [];
	const caps = new Map((configuration.accounts ?? []).map(({name, cap}) => [name, cap]));
	for (const [account, cap] of caps) {
		appendItems(outputs, applyCap(quota, account, cap, context));
	}

	for (const [account, cap] of quota.caps) {
		if (!caps.has(account) && quota.accounts.has(account)) {
			caps.set(account, cap);
		}
	}

	quota.caps = caps;
	quota.configuredAccounts = new Set((configuration.accounts ?? []).map(({name}) => name));
	applyPools(quota, configuration, context.now);
	return [...outputs, ...followShares(quota)];
}

function applyCap(quota: QuotaState, account: string, cap: Resources, {now}: DecisionContext): JobOutput[] {
	const before = quota.caps.get(account);
	if (before === undefined || !hasComponent(name => before[name] !== cap[name])) {
		return [];
	}

	if (hasComponent(name => before[name] === 0 && cap[name] > 0)) {
		const shares = getAccount(quota, account);
		shares.takesFrom = Math.max(shares.takesFrom, now + introducedCapDelayMs);
	}

	markDue(quota, account);
	return [emitLog('info', 'cap of account changed', {account, before, cap})];
}

function applyPools({pools}: QuotaState, configuration: Configuration, now: number): void {
	const configured = new Set([...configuration.pools.map(({name}) => name), ...configuration.queues.map(({pool}) => pool)]);
	for (const [name, pool] of pools) {
		if (!configured.has(name)) {
			pool.removedAt ??= now;
		}
	}

	for (const name of configured) {
		pools.set(name, {removedAt: undefined});
	}
}

/** Watches the shares while this entry owns a pool and there are caps, and lists them anew for each claim on a pool. */
function followShares(quota: QuotaState): JobOutput[] {
	const isNeeded = [...quota.caps.values()].some(cap => hasComponent(name => cap[name] > 0)) || [...quota.ownedPools.values()].some(({demands}) => demands.size > 0);
	const owned = isNeeded || quota.followed.length > 0 ? [...quota.ownedPools.values()].map(({pool, token}) => ({pool, token})) : [];
	const isNew = owned.some(({pool, token}) => !quota.followed.some(each => each.pool === pool && each.token === token));
	const isEnding = owned.length === 0 && quota.followed.length > 0;
	quota.followed = owned;
	if (isEnding) {
		// Without the watch, the records known here are soon outdated.
		quota.accounts.clear();
	}

	return isNew || isEnding ? [emitEffect({kind: 'follow-shares', owned})] : [];
}

function applyListing({quota}: State, {owned, shares: listed}: JobEventOf<'shares-listed'>, context: DecisionContext): JobOutput[] {
	if (quota.ownedPools.size === 0) {
		return [];
	}

	const outputs: JobOutput[] = [];
	const names = new Set(listed.map(({account}) => account));
	for (const shares of listed) {
		appendItems(outputs, applyShares(quota, shares, context) ? warnOfLoss(shares) : []);
	}

	for (const [account, shares] of quota.accounts) {
		if (!names.has(account) && shares.revision > 0) {
			// It was deleted, or created after the list was read.
			markOutdated(shares, context.now);
		}
	}

	for (const {pool: name, token} of owned) {
		const pool = quota.ownedPools.get(name);
		if (pool?.token === token && !pool.isListed) {
			pool.isListed = true;
			outputs.push(restartEvent({kind: 'placement-due', pool: name}));
		}
	}

	return [...outputs, restartEvent({kind: 'shares-review-due'})];
}

/** Records the shares of an account as read from the store, unless newer ones are known. @returns Whether they were recorded. */
function applyShares(quota: QuotaState, {account, revision, record}: StoredShares, {now}: DecisionContext): boolean {
	const known = quota.accounts.get(account);
	if (revision <= (known?.revision ?? 0) || (known === undefined && quota.accounts.size >= maxAccounts && !quota.configuredAccounts.has(account))) {
		return false;
	}

	if (record === undefined) {
		resetShares(quota, account, now);
	}

	const shares = getAccount(quota, account);
	if (record !== undefined) {
		holdChangedShares(quota, shares, record, now);
	}

	shares.record = record ?? shares.record;
	shares.revision = revision;
	// Writes on condition of an earlier revision have been carried out by now or never will be.
	shares.sent = [];
	shares.isOutdated = false;
	markDue(quota, account);
	return true;
}

/** Obeys the smaller share where another writer has changed that of an owned pool, which only this entry may; and lets the owners record what runs before shares grow. */
function holdChangedShares(quota: QuotaState, shares: AccountShares, record: ShareRecord, now: number): void {
	for (const {pool, isListed} of quota.ownedPools.values()) {
		const before = (shares.record.pools[pool]?.share ?? noResources);
		const after = (record.pools[pool]?.share ?? noResources);
		const isOwnWrite = shares.sent.some(sent => sent.pool === pool && isEqual(sent.share, after));
		if (isOwnWrite) {
			shares.held.delete(pool);
		}

		if (isListed && shares.revision > 0 && !isEqual(before, after) && !isOwnWrite) {
			shares.held.set(pool, before);
			shares.takesFrom = Math.max(shares.takesFrom, now + lostRecordDelayMs);
		}
	}
}

function isEqual(one: Resources, other: Resources): boolean {
	return !hasComponent(name => one[name] !== other[name]);
}

/** Begins anew with an account whose record has been lost: every owner records what runs in its pools before any share grows. */
function resetShares(quota: QuotaState, account: string, now: number): void {
	const shares = getAccount(quota, account);
	shares.record = {cap: getCap({quota}, account) ?? noResources, pools: {}};
	shares.sent = [];
	shares.takesFrom = Math.max(shares.takesFrom, now + lostRecordDelayMs);
	markDue(quota, account);
}

function warnOfLoss({account, revision, record}: StoredShares): JobOutput[] {
	return record === undefined ? [emitLog('warn', 'shares of account lost, as their record is missing or cannot be decoded', {account, revision})] : [];
}

type WriteHandler = (quota: QuotaState, pool: PoolQuota | undefined, event: JobEventOf<'shares-written'>, context: DecisionContext) => JobOutput[];

const writeHandlers: Readonly<Record<JobEventOf<'shares-written'>['result'], WriteHandler>> = {
	applied(quota, _pool, {pool, writeId, revision}) {
		for (const [account, shares] of quota.accounts) {
			const sent = shares.sent.find(each => each.writeId === writeId);
			if (sent !== undefined && revision > shares.revision) {
				shares.record = sent.record;
				shares.held.delete(sent.pool);
				markDue(quota, account);
				shares.revision = revision;
				shares.sent = [];
			}
		}

		return [restartEvent({kind: 'placement-due', pool})];
	},
	conflict(quota, pool, {
		pool: name, writeId, presentRevisions, isClaimLost, token,
	}, context) {
		for (const [account, shares] of quota.accounts) {
			if (removeSent(quota, account, writeId) && presentRevisions.get(account) !== shares.revision) {
				markOutdated(shares, context.now);
			}
		}

		delayWrites(pool, context.now + context.random.getInteger(conflictDelayMs));
		return isClaimLost ? [restartEvent({kind: 'claim-superseded', name: `${poolClaimPrefix}${name}`, token})] : [];
	},
	refused(quota, pool, {writeId}, context) {
		for (const account of quota.accounts.keys()) {
			removeSent(quota, account, writeId);
		}

		delayWrites(pool, context.now + failedWriteDelayMs);
		return [];
	},
	// It may still be carried out, so the smaller share applies until the record has another revision.
	unknown(quota, pool, {writeId}, context) {
		for (const shares of quota.accounts.values()) {
			for (const sent of shares.sent.filter(each => each.writeId === writeId)) {
				sent.isPending = false;
				markOutdated(shares, context.now);
			}
		}

		delayWrites(pool, context.now + failedWriteDelayMs);
		return [];
	},
};

function handleWriteResult({quota}: State, event: JobEventOf<'shares-written'>, context: DecisionContext): JobOutput[] {
	const pool = quota.ownedPools.get(event.pool);
	return [
		emitCount(`account_share_writes_total{result="${event.result}"}`),
		...writeHandlers[event.result](quota, pool?.token === event.token ? pool : undefined, event, context),
	];
}

function delayWrites(pool: PoolQuota | undefined, until: number): void {
	if (pool !== undefined) {
		pool.nextWriteAt = Math.max(pool.nextWriteAt, until);
	}
}

/** Forgets a write that was certainly not carried out. @returns Whether it was known. */
function removeSent(quota: QuotaState, account: string, writeId: number): boolean {
	const shares = getAccount(quota, account);
	const countBefore = shares.sent.length;
	shares.sent = shares.sent.filter(each => each.writeId !== writeId);
	return shares.sent.length < countBefore;
}

function logWaitingAccounts(state: State, pool: PoolQuota, {now}: DecisionContext): JobOutput[] {
	if (pool.demands.size === 0 || now < pool.logAt + waitLogIntervalMs) {
		return [];
	}

	pool.logAt = now;
	const waiting = [...pool.demands].sort(([, one], [, other]) => other.jobCount - one.jobCount);
	return [emitLog('info', 'jobs wait for share of account\'s cap', {
		pool: pool.pool,
		accounts: waiting.length,
		largest: waiting.slice(0, maxLoggedAccounts).map(([account, {resources, jobCount}]) => ({
			account, jobs: jobCount, wanted: resources, cap: getCap(state, account), allowance: getAllowance(state, pool.pool, account), share: state.quota.accounts.get(account)?.record.pools[pool.pool]?.share, pools: Object.keys(state.quota.accounts.get(account)?.record.pools ?? {}).length,
		})),
	})];
}
