import {type ClientAccount} from '../model/index.js';
import {type RateAllowance} from './displacement-state.js';

/** Account name under which jobs without an account are counted; names from the configuration are not empty. @internal */
export const noAccount = '';

/** Weights of the accounts of a pool's jobs. @internal */
export type AccountWeights = {
	/** Returns the weight of an account; an account that has been removed, and jobs without one, have the mean weight. */
	getWeight(account: string): number;
	/** Whether the account is limited in the rate at which its jobs are entitled to capacity. */
	isLimited(account: string): boolean;
};

/** Time for which an account may send jobs at twice its rate, or for which it may save up its rate. */
const allowanceMs = 2000;

const weightsByAccounts = new WeakMap<readonly ClientAccount[], AccountWeights>();

/** Returns the weights of the configured accounts. Without accounts, all jobs belong to a single one without a limit. @internal */
export function getAccountWeights(accounts: readonly ClientAccount[] = []): AccountWeights {
	const known = weightsByAccounts.get(accounts);
	if (known !== undefined) {
		return known;
	}

	const weights = new Map<string, number>();
	for (const {name, weight} of accounts) {
		if (Number.isFinite(weight) && weight > 0) {
			weights.set(name, weight);
		}
	}

	const sum = [...weights.values()].reduce((total, weight) => total + weight, 0);
	const meanWeight = weights.size === 0 ? 1 : sum / weights.size;
	const created: AccountWeights = {
		getWeight: account => weights.get(account) ?? meanWeight,
		isLimited: account => weights.has(account),
	};
	weightsByAccounts.set(accounts, created);
	return created;
}

/**
Takes one job from an account's allowance, which grows by `weight` jobs a second.

@param acceptedAt - Monotonic ms at which the job was accepted.
@returns Whether the account is entitled to capacity for the job.
@internal
*/
export function acquireEntitlement(allowances: Map<string, RateAllowance>, account: string, weight: number, acceptedAt: number): boolean {
	const limit = Math.max(1, weight * allowanceMs / 1000);
	const allowance = allowances.get(account) ?? {count: limit, updatedAt: acceptedAt};
	allowances.set(account, allowance);
	allowance.count = Math.min(limit, allowance.count + (weight * Math.max(0, acceptedAt - allowance.updatedAt) / 1000));
	allowance.updatedAt = Math.max(allowance.updatedAt, acceptedAt);
	if (allowance.count < 1) {
		return false;
	}

	allowance.count -= 1;
	return true;
}
