import {expect, test} from 'vitest';
import {createRunPlan} from './run-plan.js';
import {addAccounts} from './plan-accounts.js';

const durationMs = 40_000;
const seeds = Array.from({length: 20}, (_, index) => index + 1);
const plans = seeds.map(seed => addAccounts(createRunPlan(seed, durationMs), ['entry-paused', 'store-down']));
const histories = plans.map(({accounts}) => [{atMs: 0, accounts: accounts!.initial}, ...accounts!.changes]);

const listPublicJobs = () => plans.flatMap(({jobs}) => jobs).filter(({job}) => job.queue.startsWith('open-'));

test.each([
	{title: 'the same seed gives the same plan', holds: () => JSON.stringify(addAccounts(createRunPlan(3, durationMs), ['entry-paused', 'store-down'])) === JSON.stringify(plans[2])},
	{title: 'jobs stay the same but for their queues', holds: () => JSON.stringify(plans[4]!.jobs.map(({job}) => job.steps)) === JSON.stringify(createRunPlan(5, durationMs).jobs.map(({job}) => job.steps))},
	{title: 'versions are in order', holds: () => histories.every(versions => versions.every(({atMs}, index) => atMs >= (versions[index - 1]?.atMs ?? 0)))},
	{title: 'every account has a key in the end', holds: () => histories.every(versions => versions.at(-1)!.accounts.every(({apiKeys}) => apiKeys.length > 0))},
	{title: 'some keys are removed, some all keys of an account', holds: () => histories.every(versions => versions.some(({accounts}) => accounts.some(({apiKeys}) => apiKeys.length === 0)))},
	{title: 'some accounts are added', holds: () => histories.some(versions => versions.some(({accounts}) => accounts.length > versions[0]!.accounts.length))},
	{title: 'some versions follow at once', holds: () => histories.some(versions => versions.some(({atMs}, index) => index > 1 && atMs < versions[index - 1]!.atMs + 100))},
	{
		title: 'removed keys are probed later than RevokeMs after their removal', holds: () => plans.every(({accounts}) => accounts!.probes.length > 0 && accounts!.probes.every(({atMs, key}) => accounts!.changes.every(change => change.atMs < atMs - 5000 || change.atMs > atMs || change.accounts.every(({apiKeys}) => !apiKeys.includes(key))))),
	},
	{title: 'jobs of public queues have no key', holds: () => listPublicJobs().length > 0 && listPublicJobs().every(({job}) => job.apiKey === undefined)},
	{title: 'most other jobs have a key', holds: () => plans.every(({jobs}) => jobs.filter(({job}) => job.apiKey !== undefined).length > jobs.length / 2)},
])('plan with accounts: $title', ({holds}) => {
	expect(holds()).toBe(true);
});
