import {describe, expect, it} from 'vitest';
import {createJobsState, type JobsState} from '../jobs-state.js';
import {createPoolLedger} from '../ledger/ledger-state.js';
import {noResources, type Resources} from '../model/index.js';
import {
	createTestEndpoint, createTestJob, createTestRun, createTestSupervisedEndpoint,
} from '../testing.test-support.js';
import {createDemandLimiter} from './limit-demand.js';
import {listNeededEndpoints} from './list-needed-endpoints.js';
import {type JobLoad, type Load} from './measure-load.js';

const pool = 'desk';
const cpu = (cpuMillis: number): Resources => ({cpuMillis, memoryMb: 0, gpus: 0});
const load = (cpuMillis: number, memoryMb = 0): Load => ({cpuMillis, memoryMb});

/** Lets the state own the pool with a share of the account's cap; another pool has the rest but what is free. */
function setShare(state: JobsState, cap: Resources, share: number, free: number): void {
	state.quota.caps = new Map([['press', cap]]);
	state.quota.configuredAccounts = new Set(['press']);
	state.quota.ownedPools.set(pool, {
		pool, token: 1, isListed: true, nextWriteAt: 0, demands: new Map(), demandsMeasuredAt: 0, histories: new Map(), dueAccounts: new Set(), sweptAt: 0, logAt: 0,
	});
	state.quota.accounts.set('press', {
		record: {cap, pools: {[pool]: {share: cpu(share), wanted: cpu(share)}, other: {share: cpu(cap.cpuMillis - share - free), wanted: noResources}}}, revision: 1, sent: [], isOutdated: false, readAt: 0, takesFrom: 0, held: new Map(), limits: new Map(),
	});
}

const createState = () => createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});

type Case = {
	readonly name: string;
	readonly account?: string;
	readonly cap?: Resources;
	readonly share?: number;
	readonly free?: number;
	readonly used: Load;
	readonly backlog: Load;
	readonly expected: {readonly backlogPart: number; readonly neededPart: number};
};

const cases: readonly Case[] = [
	{
		name: 'a job without an account', used: load(0), backlog: load(9000), expected: {backlogPart: 1, neededPart: 1},
	},
	{
		name: 'an account within its share', account: 'press', share: 4000, used: load(2000), backlog: load(1000), expected: {backlogPart: 1, neededPart: 1},
	},
	{
		name: 'an account beyond its share', account: 'press', share: 4000, used: load(2000), backlog: load(8000), expected: {backlogPart: 0.25, neededPart: 0.4},
	},
	{
		name: 'an account that uses all of its share', account: 'press', share: 4000, used: load(4000), backlog: load(4000), expected: {backlogPart: 0, neededPart: 0.5},
	},
	{
		name: 'an account of whose cap a part is free', account: 'press', share: 4000, free: 2000, used: load(4000), backlog: load(4000), expected: {backlogPart: 0.5, neededPart: 0.75},
	},
	{
		name: 'an account whose cap is on memory', account: 'press', cap: {cpuMillis: 0, memoryMb: 100, gpus: 0}, used: load(0, 100), backlog: load(4000, 300), expected: {backlogPart: 0, neededPart: 0.25},
	},
];

describe('createDemandLimiter', () => {
	// Guards against machines that are ordered for tasks which a cap keeps from running.
	it.each(cases)('limits the demand of $name', ({account, cap = cpu(10_000), share = 0, free = 0, used, backlog, expected}) => {
		const state = createState();
		setShare(state, cap, share, free);
		const job = createTestJob('job', [{}], {account});
		const jobLoad: JobLoad = {
			used, backlog, serving: load(0), endpointMinimum: 0, hasWork: true,
		};
		expect(createDemandLimiter(state, pool, new Map([[job, jobLoad]]))(job)).toEqual(expected);
	});
});

describe('listNeededEndpoints', () => {
	// Guards against machines that stay in a pool for tasks which a cap keeps from running.
	it.each([
		{name: 'share for the task', share: 5000, expected: ['moved']},
		{name: 'no share left', share: 4000, expected: []},
	])('names an evacuated endpoint if the account has $name', ({share, expected}) => {
		const state = createState();
		const ledger = createPoolLedger({pool, token: 1, now: 0});
		state.ledger.pools.set(pool, ledger);
		setShare(state, cpu(10_000), share, 0);
		ledger.activeJobs.add(createTestJob('job', [{}], {account: 'press'}));
		for (const [id, runs] of [['moved', []], ['busy', ['a', 'b', 'c', 'd']]] as const) {
			state.directory.endpoints.set(id, createTestEndpoint(id, pool));
			state.supervision.endpoints.set(id, createTestSupervisedEndpoint(id, pool, {runs: new Map(runs.map(taskId => [taskId, createTestRun(taskId, {account: 'press'})]))}));
		}

		state.evacuation.requests.set('moved', {
			requestId: '1', pool, endpointId: 'moved', machine: 'm', purpose: 'move', dueAt: 0,
		});
		expect(listNeededEndpoints(state, ledger, 5000)).toEqual(expected);
	});
});
