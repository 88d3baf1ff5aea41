import {
	computeResources, hasComponent, noResources, subtractResources, sumResources, type Resources, type ShareRecord,
} from '../model/index.js';
import {type QuotaView} from './quota-state.js';

/** Sums of a record that are needed far more often than it changes. */
type RecordSummary = {
	readonly total: Resources;
	/** Whether a pool wants more than its share. */
	readonly hasUnmetDemand: boolean;
};

const summaries = new WeakMap<ShareRecord, RecordSummary>();

/** Sums the shares of all pools in a record. @internal */
export function summarizeRecord(record: ShareRecord): RecordSummary {
	const known = summaries.get(record);
	if (known !== undefined) {
		return known;
	}

	const shares = Object.values(record.pools);
	const summary: RecordSummary = {
		total: sumResources(shares.map(({share}) => share)),
		hasUnmetDemand: shares.some(({share, wanted}) => hasComponent(name => wanted[name] > share[name])),
	};
	summaries.set(record, summary);
	return summary;
}

/** Returns the cap of an account: that of the configuration, or the last known one of an account that has left it. @returns Undefined if the account has none. @public */
export function getCap({quota}: QuotaView, account: string): Resources | undefined {
	const cap = quota.caps.get(account) ?? quota.accounts.get(account)?.record.cap;
	return cap !== undefined && hasComponent(name => cap[name] > 0) ? cap : undefined;
}

/**
Returns how much of an account may be running in a pool, infinite in components without a limit.

It is the smallest of the pool's recorded share, the shares in writes that may have been carried out, and what the cap leaves beside the other pools' shares; nothing before the shares have been listed.

@returns Undefined if the account has no cap.
@public
*/
export function getAllowance(state: QuotaView, pool: string, account: string): Resources | undefined {
	const {quota} = state;
	const cap = getCap(state, account);
	const isListed = quota.ownedPools.get(pool)?.isListed === true;
	if (cap === undefined) {
		// The record of an account that has left the configuration tells its last cap.
		return quota.configuredAccounts.has(account) || isListed ? undefined : noResources;
	}

	const shares = quota.accounts.get(account);
	const own = shares?.record.pools[pool]?.share;
	if (!isListed || shares === undefined || own === undefined) {
		return computeResources(name => cap[name] === 0 ? Number.POSITIVE_INFINITY : 0);
	}

	const sent = shares.sent.filter(each => each.pool === pool).map(({share}) => share);
	const limit = shares.limits.get(pool);
	const held = shares.held.get(pool);
	const {total} = summarizeRecord(shares.record);
	return computeResources(name => {
		if (cap[name] === 0) {
			return Number.POSITIVE_INFINITY;
		}

		const othersShare = total[name] - own[name];
		return Math.max(0, Math.min(own[name], limit?.[name] ?? own[name], held?.[name] ?? own[name], cap[name] - othersShare, ...sent.map(share => share[name])));
	});
}

/** Returns the part of an account's cap that no pool holds, infinite in components without a limit. @internal */
export function getFreeCap(state: QuotaView, account: string): Resources {
	const cap = getCap(state, account) ?? noResources;
	const record = state.quota.accounts.get(account)?.record;
	const free = record === undefined ? cap : subtractResources(cap, summarizeRecord(record).total);

	return computeResources(name => cap[name] === 0 ? Number.POSITIVE_INFINITY : Math.max(0, free[name]));
}
