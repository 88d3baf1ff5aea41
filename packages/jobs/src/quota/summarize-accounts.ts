import {type DirectoryView} from '../directory/index.js';
import {type LedgerView} from '../ledger/index.js';
import {addResources, noResources, type Resources} from '../model/index.js';
import {type SupervisionView} from '../supervision/index.js';
import {getCap} from './account-allowance.js';
import {measurePoolUsage} from './account-usage.js';
import {type QuotaView} from './quota-state.js';

/** What an account has and wants in the pools of one entry. @public */
export type AccountSummary = {
	readonly account: string;
	readonly cap: Resources;
	/** Sum of the shares of these pools. */
	readonly share: Resources;
	/** What may be running. */
	readonly used: Resources;
	/** Number of jobs with tasks that wait only because of the share. */
	readonly waitingJobs: number;
};

/** Summarizes the accounts with a cap that have a share, runs or waiting jobs in the pools that this entry owns. @public */
export function summarizeAccounts(state: QuotaView & LedgerView & SupervisionView & DirectoryView): AccountSummary[] {
	const summaries = new Map<string, AccountSummary>();
	const add = (account: string, share: Resources, used: Resources, waitingJobs: number) => {
		const cap = getCap(state, account);
		if (cap !== undefined) {
			const known = summaries.get(account);
			summaries.set(account, {
				account,
				cap,
				share: addResources(known?.share ?? noResources, share),
				used: addResources(known?.used ?? noResources, used),
				waitingJobs: (known?.waitingJobs ?? 0) + waitingJobs,
			});
		}
	};

	for (const {pool, demands} of state.quota.ownedPools.values()) {
		const ledger = state.ledger.pools.get(pool);
		for (const [account, {possible}] of ledger === undefined ? [] : measurePoolUsage(state, ledger)) {
			add(account, noResources, possible, 0);
		}

		for (const [account, {jobCount}] of demands) {
			add(account, noResources, noResources, jobCount);
		}

		for (const [account, {record}] of state.quota.accounts) {
			const own = record.pools[pool];
			if (own !== undefined) {
				add(account, own.share, noResources, 0);
			}
		}
	}

	return [...summaries.values()];
}
