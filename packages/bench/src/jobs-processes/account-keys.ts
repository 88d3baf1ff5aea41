import {type RandomSource} from '@pistachiogauge/decisions';
import {type AccountPlan} from '../accounts/index.js';
import {type RunPlan} from './run-plan.js';

/** The keys that callers use for jobs that they have submitted; undefined for queues that need none. */
export type AccountKeys = {
	/** Takes over the accounts of the newest configuration. */
	update(accounts: readonly AccountPlan[]): void;
	/** Chooses a valid key of the account of a job; if `mayBeRemoved`, now and then one that was removed. */
	chooseFor(jobId: string, mayBeRemoved: boolean): string | undefined;
	/** Chooses a valid key for a request about a queue. */
	chooseAny(queue: string): string | undefined;
};

const callsPerRemovedKey = 8;

export function createAccountKeys({queues, jobs}: Pick<RunPlan, 'queues' | 'jobs'>, random: RandomSource): AccountKeys {
	const accountsByJob = new Map(jobs.map(({job, account}) => [job.jobId, account]));
	const publicQueues = new Set(queues.filter(({isPublic}) => isPublic === true).map(({queue}) => queue));
	const removedKeys = new Map<string, string[]>();
	let current: readonly AccountPlan[] = [];
	const choose = (keys: readonly string[]) => keys.length === 0 ? undefined : keys[random.getInteger(keys.length)];
	return {
		update(accounts) {
			const valid = new Set(accounts.flatMap(({apiKeys}) => apiKeys));
			for (const {name, apiKeys} of current) {
				removedKeys.set(name, [...removedKeys.get(name) ?? [], ...apiKeys].filter(key => !valid.has(key)));
			}

			current = accounts;
		},
		chooseFor(jobId, mayBeRemoved) {
			const name = accountsByJob.get(jobId);
			if (name === undefined) {
				return undefined;
			}

			const removed = mayBeRemoved && random.getInteger(callsPerRemovedKey) === 0 ? choose(removedKeys.get(name) ?? []) : undefined;
			return removed ?? choose(current.find(account => account.name === name)?.apiKeys ?? []);
		},
		chooseAny: queue => publicQueues.has(queue) ? undefined : choose(current.flatMap(({apiKeys}) => apiKeys)),
	};
}
