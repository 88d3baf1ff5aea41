import {describe, expect, it} from 'vitest';
import {noResources, type AccountSummary} from '@pistachiogauge/jobs';
import {createAccountGauges} from './account-gauges.js';

const createSummary = (account: string): AccountSummary => ({
	account, cap: {cpuMillis: 10, memoryMb: 0, gpus: 0}, share: {cpuMillis: 5, memoryMb: 0, gpus: 0}, used: noResources, waitingJobs: 1,
});
const createNames = (count: number) => Array.from({length: count}, (_unused, index) => `account${index}`);

// Guards against metrics whose number of time series grows with the accounts, and names that break their format.
describe('createAccountGauges', () => {
	it.each([
		{
			name: 'few accounts', scrapes: [['a', 'b']], series: 2, expected: [['account_share_millis{account="a"}', 5]],
		},
		{
			name: 'more accounts than are named', scrapes: [createNames(60)], series: 51, expected: [['account_share_millis{account="other"}', 50], ['account_waiting_jobs{account="other"}', 10]],
		},
		{
			name: 'other accounts each time', scrapes: [createNames(50), createNames(200).slice(100)], series: 51, expected: [['account_share_millis{account="account0"}', 0], ['account_share_millis{account="other"}', 500]],
		},
		{
			name: 'a name with quotes', scrapes: [['a"} 1\n']], series: 1, expected: [['account_cap_millis{account="a__ 1_"}', 10]],
		},
		{
			name: 'an account with the name of the rest', scrapes: [['other']], series: 1, expected: [['account_cap_millis{account="other_"}', 10]],
		},
	])('names a bounded number of accounts: $name', ({scrapes, series, expected}) => {
		const gauges = new Map<string, number>();
		const setAccountGauges = createAccountGauges({
			setGauge(metric, value) {
				gauges.set(metric, value);
			},
		});
		for (const names of scrapes) {
			setAccountGauges(names.map(name => createSummary(name)));
		}

		expect([...gauges.keys()].filter(metric => metric.startsWith('account_share_millis'))).toHaveLength(series);
		expect([...gauges]).toEqual(expect.arrayContaining(expected));
	});
});
