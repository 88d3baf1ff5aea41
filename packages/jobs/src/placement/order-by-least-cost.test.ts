import {describe, expect, it} from 'vitest';
import {createRandomSource} from '@pistachiogauge/chain';
import {createJobsState} from '../jobs-state.js';
import {createPoolLedger} from '../ledger/ledger-state.js';
import {type Job} from '../ledger/index.js';
import {type ClientAccount, type JobEffect, type JobRecord} from '../model/index.js';
import {createTestJob} from '../testing.test-support.js';
import {orderWaitingJobs} from './displacement-policies.js';
import {type DisplacementPolicy} from './displacement-state.js';
import {getAccountLabel} from './report-displaced.js';

const random = createRandomSource(1);
const capacityMillis = 16_000;

function createAccount(name: string, weight: number): ClientAccount {
	return {
		name, keyHashes: [], priority: 0, weight, cap: {cpuMillis: 0, memoryMb: 0, gpus: 0},
	};
}

function createJobs(id: string, count: number, taskCount: number, traits: Partial<JobRecord> = {}): Job[] {
	return Array.from({length: count}, (_, index) => createTestJob(`${id}${index}`, [{count: taskCount}], {priority: 1, ...traits}));
}

/** Orders jobs at 0 ms, or as often as asked for at intervals of 8 ms. */
function order(jobs: readonly Job[], {accounts, displacement, times = 1}: {readonly accounts?: readonly ClientAccount[]; readonly displacement?: DisplacementPolicy; readonly times?: number}) {
	const state = createJobsState({
		node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000, placement: {displacement},
	});
	state.configuration.current = {
		version: 1, queues: [], pools: [], accounts, limits: {
			headerBytes: 0, bodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0,
		},
	};
	const pool = createPoolLedger({pool: 'desk', token: 1, now: 0});
	const effects: JobEffect[] = [];
	let keptIds: string[] = [];
	for (let time = 0; time < times; time++) {
		const now = time * 8;
		const {ordered, outputs} = orderWaitingJobs(state, {pool, waiting: jobs, capacityMillis}, {now, wallTime: now, random});
		keptIds = ordered.filter(({objectiveStatus}) => objectiveStatus === 'timely').map(({job}) => job.record.id);
		effects.push(...outputs.flatMap(output => output.kind === 'sink' ? [output.effect] : []));
	}

	return {keptIds, effects};
}

const cases: ReadonlyArray<{readonly name: string; readonly jobs: readonly Job[]; readonly accounts: readonly ClientAccount[] | undefined; readonly displacement?: DisplacementPolicy; readonly kept: Readonly<Record<string, number>>}> = [
	{
		name: 'all have room', jobs: createJobs('job', 5, 2), accounts: [], kept: {job: 5},
	},
	{
		name: 'jobs of priority 0 fill the pool', jobs: [...createJobs('urgent', 10, 4, {priority: 0}), ...createJobs('small', 10, 1)], accounts: [], kept: {urgent: 4, small: 1},
	},
	{
		name: 'two accounts of equal weight want all', jobs: [...createJobs('a', 50, 1, {account: 'a'}), ...createJobs('b', 50, 1, {account: 'b'})], accounts: [createAccount('a', 100), createAccount('b', 100)], kept: {a: 9, b: 8},
	},
	{
		name: 'one account has three times the weight', jobs: [...createJobs('a', 50, 1, {account: 'a'}), ...createJobs('b', 50, 1, {account: 'b'})], accounts: [createAccount('a', 300), createAccount('b', 100)], kept: {a: 13, b: 4},
	},
	{
		name: 'one account wants little, which is lent', jobs: [...createJobs('a', 50, 1, {account: 'a'}), ...createJobs('b', 2, 1, {account: 'b'})], accounts: [createAccount('a', 100), createAccount('b', 100)], kept: {a: 15, b: 2},
	},
	{
		name: 'an account has little weight', jobs: [...createJobs('a', 50, 1, {account: 'a'}), ...createJobs('b', 50, 1, {account: 'b'})], accounts: [createAccount('a', 1), createAccount('b', 100)], kept: {a: 1, b: 16},
	},
	{
		name: 'jobs have an account that is not configured', jobs: [...createJobs('a', 50, 1, {account: 'a'}), ...createJobs('b', 50, 1, {account: 'gone'})], accounts: [createAccount('a', 100)], kept: {a: 9, b: 8},
	},
	{
		name: 'the weight is malformed', jobs: [...createJobs('a', 50, 1, {account: 'a'}), ...createJobs('b', 50, 1, {account: 'b'})], accounts: [createAccount('a', Number.NaN), createAccount('b', 100)], kept: {a: 9, b: 8},
	},
];

describe('order by least cost', () => {
	// Guards against capacity that is not shared by weight, or stays idle, under overload. A job of one task of 1 s has a slack of 1.2 s, less a margin of 100 ms, so that sixteen cores can start 17 of them in time.
	it.each(cases)('keeps the jobs that are entitled: $name', ({jobs, accounts, kept}) => {
		const {keptIds} = order(jobs, {...(accounts !== undefined && {accounts}), displacement: 'least-cost'});
		const counts = Object.fromEntries(Object.keys(kept).map(id => [id, keptIds.filter(keptId => keptId.startsWith(id)).length]));
		expect(counts).toEqual(kept);
	});

	// Guards against a deployment without accounts that is served differently than before.
	it.each([
		{
			name: 'no accounts', accounts: undefined, displacement: undefined, isReported: false,
		},
		{
			name: 'an empty list of accounts', accounts: [], displacement: undefined, isReported: true,
		},
		{
			name: 'no accounts and the setting', accounts: undefined, displacement: 'least-cost', isReported: true,
		},
		{
			name: 'accounts and the setting against it', accounts: [], displacement: 'largest-first', isReported: false,
		},
	] as const)('applies with accounts or by setting only: $name', ({accounts, displacement, isReported}) => {
		const {effects} = order(createJobs('job', 100, 1), {...(accounts !== undefined && {accounts}), ...(displacement !== undefined && {displacement})});
		expect(effects.some(effect => effect.kind === 'count' && effect.metric.startsWith('jobs_displaced_total'))).toBe(isReported);
	});

	// Guards against metrics that count a job in each search, and a log line in each search.
	it('counts each displaced job once and logs at most every 5 s', () => {
		const jobs = createJobs('job', 100, 1, {account: 'a'});
		const {keptIds, effects} = order(jobs, {accounts: [createAccount('a', 100)], times: 50});
		const counted = effects.flatMap(effect => effect.kind === 'count' ? [effect.by] : []).reduce((sum, by) => sum + by, 0);
		expect(counted).toBeGreaterThanOrEqual(jobs.length - keptIds.length - 16);
		expect(counted).toBeLessThanOrEqual(jobs.length);
		expect(effects.filter(({kind}) => kind === 'log')).toHaveLength(1);
	});

	// Guards against an unbounded number of time series, and labels that break the metrics page.
	it('names at most 50 accounts in metrics', () => {
		const labels = new Set<string>();
		const names = Array.from({length: 60}, (_, index) => getAccountLabel(labels, `account "${index}"}`));
		expect(names[0]).toBe('account__0__');
		expect(names.filter(name => name === 'other')).toHaveLength(10);
	});

	// Guards against an order that keeps the owner's loop busy. Searches of 1,000 jobs are at least 58 ms apart, of which the order may take half.
	it('orders 1,000 jobs of 20 accounts well within the time between two searches', () => {
		const accounts = Array.from({length: 20}, (_, index) => createAccount(`a${index}`, 5));
		const jobs = Array.from({length: 1000}, (_, index) => createTestJob(`job${index}`, [{count: 1 + (index % 17), estimateMs: 300 + (index % 900)}], {
			account: `a${index % 20}`, priority: index % 3, latencyTargetMs: 4000,
		}));
		order(jobs, {accounts, times: 10});
		// Processor time, as other processes may keep this one waiting.
		const before = process.cpuUsage();
		order(jobs, {accounts, times: 40});
		const {user, system} = process.cpuUsage(before);
		const cpuMs = (user + system) / 1000 / 40;
		console.log(`order by least cost of 1,000 jobs: ${cpuMs.toFixed(1)} ms of processor time`);
		expect(cpuMs).toBeLessThan(29);
	});
});
