import {appendItems, emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, type JobOutput} from '../filter.js';
import {type DirectoryView} from '../directory/index.js';
import {type LedgerView} from '../ledger/index.js';
import {
	addResources, computeResources, hasComponent, noResources, type AccountDemand, type PoolShare, type Resources, type ShareRecord,
} from '../model/index.js';
import {type SupervisionView} from '../supervision/index.js';
import {getCap, summarizeRecord} from './account-allowance.js';
import {
	listUnsurveyedAccounts, measurePoolUsage, noUsage, type AccountUsage,
} from './account-usage.js';
import {decideShare, type ShareDecision, type ShareInput} from './decide-share.js';
import {
	getAccount, type AccountShares, type DemandHistory, type PoolQuota, type QuotaState,
} from './quota-state.js';

/** Minimum interval between two writes for a pool. */
const writeIntervalMs = 100;
/** Maximum number of accounts in a write. A transaction takes 32 entries: the condition on the claim, and for each account a condition and a put. */
const maxAccountsPerWrite = 15;
/** Delay before the owner of each further pool gives back share: those with the most idle share go first, so that they do not all write at once for the same demand. */
const yieldDelayMs = 40;
/** Half of the time for which share is kept that is not wanted. */
const peakPeriodMs = 5000;
/** Interval at which all accounts with a share are looked at; in between, those that run or want something or have changed. */
const sweepIntervalMs = 500;
/** Interval between two checks for idle share of an account whose pools have what they want. */
const idleCheckIntervalMs = 1000;
/** Delay before a record that could not be read is read again. */
const readRetryMs = 300;
/** Part of the cap by which a recorded demand has to change to be recorded again while it is not met. */
const wantedChangePart = 0.1;
/** Entries of pools that left the configuration are removed after this time, in which everything that ran there has ended. */
const removedPoolMs = 20_000;

type State = {readonly quota: QuotaState} & SupervisionView & LedgerView & DirectoryView;

type AccountChange = {readonly account: string; readonly shares: AccountShares; readonly own: PoolShare; readonly cap: Resources; readonly isUrgent: boolean};

/** Compares the shares of each owned pool with what it wants, writes those that have to change, and reads records that are outdated. @internal */
export function reviewShares(state: State, context: DecisionContext): JobOutput[] {
	const {quota} = state;
	const outputs = readOutdatedRecords(quota, context.now);
	if (quota.ownedPools.size === 0 || (quota.accounts.size === 0 && ![...quota.ownedPools.values()].some(({demands}) => demands.size > 0))) {
		return outputs;
	}

	for (const pool of quota.ownedPools.values()) {
		appendItems(outputs, reviewPool(state, pool, context));
	}

	return outputs;
}

function reviewPool(state: State, pool: PoolQuota, context: DecisionContext): JobOutput[] {
	const {quota} = state;
	const ledger = state.ledger.pools.get(pool.pool);
	if (!pool.isListed || quota.isStoreLost || ledger?.token !== pool.token) {
		return [];
	}

	const usage = measurePoolUsage(state, ledger);
	const isSweep = context.now >= pool.sweptAt + sweepIntervalMs;
	pool.sweptAt = isSweep ? context.now : pool.sweptAt;
	const accounts = new Set([...usage.keys(), ...pool.demands.keys(), ...pool.dueAccounts, ...(isSweep ? [...pool.histories.keys(), ...listRecordedAccounts(quota, pool.pool)] : [])]);
	pool.dueAccounts.clear();
	const unsurveyed = listUnsurveyedAccounts(state, ledger, context.wallTime);
	const isSurveyed = state.supervision.pools.get(pool.pool)?.surveyedAt !== undefined;
	const changes: AccountChange[] = [];
	for (const account of accounts) {
		const cap = getCap(state, account);
		if (cap === undefined) {
			continue;
		}

		const shares = getAccount(quota, account);
		// Limits change at once, whether a write is possible or not.
		const change = reviewAccount(quota, pool, {
			account, cap, shares, usage: usage.get(account) ?? noUsage, mayRelease: isSurveyed && !unsurveyed.has(account),
		}, context);
		if (change !== undefined && context.now >= pool.nextWriteAt && !shares.isOutdated && !shares.sent.some(({isPending}) => isPending)) {
			changes.push(change);
		}
	}

	return changes.length === 0 ? [] : [writeShares(quota, pool, changes, context)];
}

function reviewAccount(quota: QuotaState, pool: PoolQuota, {account, cap, shares, usage, mayRelease}: {
	readonly account: string;
	readonly cap: Resources;
	readonly shares: AccountShares;
	readonly usage: AccountUsage;
	readonly mayRelease: boolean;
}, {now, wallTime}: DecisionContext): AccountChange | undefined {
	const recorded = shares.record.pools[pool.pool];
	const own = limitShare(recorded, shares.held.get(pool.pool));
	const wanted = addResources(usage.possible, pool.demands.get(account)?.resources ?? noResources);
	const history = updateHistory(pool, account, wanted, now);
	if (own === undefined && !hasComponent(name => history.peak[name] > 0 || history.previousPeak[name] > 0)) {
		pool.histories.delete(account);
	}

	const unit = updateUnit(history, pool.demands.get(account)?.unit, wallTime);
	// A unit that does not wait any more is removed at once, as it keeps share from other pools.
	const isRecordCurrent = own === recorded && recorded?.unitSince === undefined;
	if (isRecordCurrent && isSettled({
		own, shares, cap, wanted,
	}) && now < history.idleCheckedAt + idleCheckIntervalMs) {
		shares.limits.delete(pool.pool);
		return undefined;
	}

	history.idleCheckedAt = now;
	const others = listOtherShares(quota, shares.record, pool.pool, now);
	const decision = decideOnChange(history, {
		pool: pool.pool,
		unit,
		cap,
		own,
		others,
		running: usage.running,
		possible: usage.possible,
		wanted,
		peak: computeResources(name => Math.max(history.peak[name], history.previousPeak[name])),
		mayTake: now >= shares.takesFrom,
		mayRelease,
	});
	const ownShare = own?.share ?? noResources;
	if (hasComponent(name => decision.limit[name] < ownShare[name])) {
		shares.limits.set(pool.pool, decision.limit);
	} else {
		shares.limits.delete(pool.pool);
	}

	history.yieldingSince = decision.isYielding ? history.yieldingSince ?? now : undefined;
	pool.dueAccounts.add(account);
	if (history.yieldingSince !== undefined && now < history.yieldingSince + (yieldDelayMs * countIdlerPools(own, others, cap))) {
		return undefined;
	}

	const isChanging = isWriteNeeded(recorded, decision, cap);
	if (!isChanging && !decision.isYielding) {
		pool.dueAccounts.delete(account);
	}

	return isChanging
		? {
			account, shares, own: {share: decision.share, wanted: decision.wanted, ...(decision.unit !== undefined && {unit: decision.unit.resources, unitSince: decision.unit.since})}, cap, isUrgent: hasComponent(name => decision.wanted[name] > ownShare[name]),
		}
		: undefined;
}

/** Keeps since when the pool's first task or gang waits; the time starts anew with another one. */
function updateUnit(history: DemandHistory, unit: AccountDemand['unit'], wallTime: number): ShareInput['unit'] {
	if (unit === undefined || history.unitStepId !== unit.stepId) {
		history.unitStepId = unit?.stepId;
		history.unit = unit === undefined ? undefined : {resources: unit.resources, since: Math.round(wallTime)};
	}

	return history.unit;
}

/** Decides on a share again only if what the decision is made from has changed. */
function decideOnChange(history: DemandHistory, input: ShareInput): ShareDecision {
	const last = history.lastInput;
	const isSame = last !== undefined && history.lastDecision !== undefined && last.others === input.others && last.unit === input.unit && last.cap === input.cap && last.own === input.own && last.mayTake === input.mayTake && last.mayRelease === input.mayRelease
		&& !hasComponent(name => last.running[name] !== input.running[name] || last.possible[name] !== input.possible[name] || last.wanted[name] !== input.wanted[name] || last.peak[name] !== input.peak[name]);
	const decision = isSame ? history.lastDecision! : decideShare(input);
	history.lastInput = input;
	history.lastDecision = decision;
	return decision;
}

/** Shares of the other pools by record and pool, as records are looked at far more often than they change. */
const otherShares = new WeakMap<ShareRecord, Map<string, ShareInput['others']>>();

function listOtherShares(quota: QuotaState, record: ShareRecord, pool: string, now: number): ShareInput['others'] {
	const byPool = otherShares.get(record) ?? new Map<string, ShareInput['others']>();
	otherShares.set(record, byPool);
	const hasRemoved = [...quota.pools.values()].some(({removedAt}) => removedAt !== undefined);
	const known = hasRemoved ? undefined : byPool.get(pool);
	if (known !== undefined) {
		return known;
	}

	const others = Object.entries(record.pools).filter(([name]) => name !== pool && !isRemovedPool(quota, name, now));
	byPool.set(pool, others);
	return others;
}

function limitShare(recorded: PoolShare | undefined, held: Resources | undefined): PoolShare | undefined {
	return recorded === undefined || held === undefined ? recorded : {...recorded, share: computeResources(name => Math.min(recorded.share[name], held[name]))};
}

/** Whether nothing has to change but that idle share may be given back: no pool waits for share, this one has what it wants, and the cap covers all shares. */
function isSettled({own, shares: {record}, cap, wanted}: {readonly own: PoolShare | undefined; readonly shares: AccountShares; readonly cap: Resources; readonly wanted: Resources}): boolean {
	const {total, hasUnmetDemand} = summarizeRecord(record);
	return !hasUnmetDemand && !hasComponent(name => cap[name] > 0 && (wanted[name] > (own?.share ?? noResources)[name] || total[name] > cap[name]));
}

/** Whether a decision is to be written: the share changes, or the other pools have to learn that the pool's demand is not met, is met now, or has changed much meanwhile. */
function isWriteNeeded(own: PoolShare | undefined, {share, wanted, unit}: ShareDecision, cap: Resources): boolean {
	const before: PoolShare = own ?? {share: noResources, wanted: noResources};
	return before.unitSince !== unit?.since || hasComponent(name => {
		const wasUnmet = before.wanted[name] > before.share[name];
		const isUnmet = wanted[name] > share[name];
		return share[name] !== before.share[name]
			|| wasUnmet !== isUnmet
			|| (isUnmet && Math.abs(wanted[name] - before.wanted[name]) > wantedChangePart * cap[name]);
	});
}

/** Counts the other pools that have more idle share than this one, by the record. */
function countIdlerPools(own: PoolShare | undefined, others: ShareInput['others'], cap: Resources): number {
	const getIdlePart = ({share, wanted}: PoolShare) => {
		const parts = computeResources(name => cap[name] === 0 ? 0 : (share[name] - wanted[name]) / cap[name]);
		return Math.max(parts.cpuMillis, parts.memoryMb, parts.gpus);
	};

	const ownPart = own === undefined ? 0 : getIdlePart(own);
	return others.filter(([, other]) => getIdlePart(other) > ownPart).length;
}

function updateHistory(pool: PoolQuota, account: string, wanted: Resources, now: number): DemandHistory {
	const history = pool.histories.get(account) ?? {
		peak: wanted, previousPeak: noResources, periodStartedAt: now, yieldingSince: undefined, unit: undefined, unitStepId: undefined, lastInput: undefined, lastDecision: undefined, idleCheckedAt: now,
	};
	pool.histories.set(account, history);
	if (now >= history.periodStartedAt + peakPeriodMs) {
		history.previousPeak = now >= history.periodStartedAt + (2 * peakPeriodMs) ? wanted : history.peak;
		history.peak = wanted;
		history.periodStartedAt = now;
	}

	history.peak = computeResources(name => Math.max(history.peak[name], wanted[name]));
	return history;
}

/** Writes the changes, those of accounts whose demand is not met first; the others follow with the next write. */
function writeShares(quota: QuotaState, pool: PoolQuota, changes: readonly AccountChange[], context: DecisionContext): JobOutput {
	const writeId = quota.nextWriteId;
	quota.nextWriteId += 1;
	pool.nextWriteAt = context.now + writeIntervalMs;
	const written = [...changes].sort((one, other) => Number(other.isUrgent) - Number(one.isUrgent)).slice(0, maxAccountsPerWrite);
	return emitEffect({
		kind: 'write-shares',
		pool: pool.pool,
		token: pool.token,
		writeId,
		records: written.map(({account, shares, own, cap}) => {
			const record = createRecord(quota, {
				shares, pool: pool.pool, own, cap,
			}, context.now);
			shares.sent.push({
				writeId, pool: pool.pool, share: own.share, record, isPending: true,
			});
			return {account, revision: shares.revision, record};
		}),
	});
}

function createRecord(quota: QuotaState, {shares, pool, own, cap}: {readonly shares: AccountShares; readonly pool: string; readonly own: PoolShare; readonly cap: Resources}, now: number): ShareRecord {
	const pools = {...shares.record.pools, [pool]: own};
	const isKept = (name: string) => hasComponent(each => pools[name]!.share[each] > 0 || pools[name]!.wanted[each] > 0) && !isRemovedPool(quota, name, now);
	return {cap, pools: Object.fromEntries(Object.entries(pools).filter(([name]) => isKept(name)))};
}

function isRemovedPool({pools}: QuotaState, name: string, now: number): boolean {
	return now >= (pools.get(name)?.removedAt ?? Number.POSITIVE_INFINITY) + removedPoolMs;
}

function * listRecordedAccounts({accounts}: QuotaState, pool: string): Generator<string> {
	for (const [account, {record}] of accounts) {
		if (record.pools[pool] !== undefined) {
			yield account;
		}
	}
}

function readOutdatedRecords(quota: QuotaState, now: number): JobOutput[] {
	const accounts: string[] = [];
	for (const [account, shares] of quota.accounts) {
		if (shares.isOutdated && now >= shares.readAt + readRetryMs) {
			shares.readAt = now;
			accounts.push(account);
		}
	}

	return accounts.length === 0 || quota.isStoreLost ? [] : [emitEffect({kind: 'read-shares', accounts}), emitCount('account_shares_read_total', accounts.length)];
}

/** Lets a record be read soon; the watch of the shares usually reports it before. @internal */
export function markOutdated(shares: AccountShares, now: number): void {
	shares.isOutdated = true;
	shares.readAt = Math.max(shares.readAt, now - readRetryMs + watchGraceMs);
}

/** Time for which the watch is waited for before a record is read. */
const watchGraceMs = 30;
