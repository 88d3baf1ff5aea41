import {describe, expect, it} from 'vitest';
import {
	type Configuration, type JobEffect, type JobEffectOf, type JobEvent, type Resources, type ShareRecord, type StoredJob, type StoredShares,
} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, type TestOwner,
} from '../testing.test-support.js';
import {getAllowance} from './account-allowance.js';
import {measurePoolUsage} from './account-usage.js';

const account = 'press';
const cpu = (cpuMillis: number): Resources => ({cpuMillis, memoryMb: 0, gpus: 0});
const createRecord = (shares: Readonly<Record<string, number>>, cap = 10_000): ShareRecord => ({
	cap: cpu(cap), pools: Object.fromEntries(Object.entries(shares).map(([pool, share]) => [pool, {share: cpu(share), wanted: cpu(share)}])),
});

function createConfiguration(version: number, caps: Readonly<Record<string, number>> | undefined): Configuration {
	return {
		version,
		queues: [],
		pools: [{name: 'desk', isSpare: false}, {name: 'notify', isSpare: false}],
		accounts: caps === undefined
			? undefined
			: Object.entries(caps).map(([name, cap]) => ({
				name, keyHashes: [], priority: 0, weight: 1, cap: cpu(cap),
			})),
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
}

function createStoredJob(id: string, count = 1): StoredJob {
	return createStoredTestJob(createTestJob(id, [{count}], {account}));
}

/** The owner of the pool `desk`, with the effects of all events so far. */
type Owner = {
	readonly effects: JobEffect[];
	readonly owner: TestOwner;
	readonly apply: (event: JobEvent, now: number) => void;
	readonly listWrites: () => Array<JobEffectOf<'write-shares'>>;
	/** Lets the endpoint answer what it runs, and time pass until then in ticks. */
	readonly runUntil: (now: number) => void;
	readonly countStarts: () => number;
	readonly getAllowedMillis: () => number | undefined;
};

function createOwner({caps = {[account]: 10_000}, hasAccounts = true, jobs = [], shares}: {readonly caps?: Readonly<Record<string, number>>; readonly hasAccounts?: boolean; readonly jobs?: readonly StoredJob[]; readonly shares?: StoredShares} = {}): Owner {
	const effects: JobEffect[] = [];
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs});
	let lastAt = 0;
	const apply = (event: JobEvent, now: number) => {
		effects.push(...owner.apply(event, now));
	};

	apply({kind: 'configuration-changed', configuration: createConfiguration(1, hasAccounts ? caps : undefined)}, 0);
	if (shares !== undefined) {
		apply({kind: 'shares-listed', owned: [{pool: 'desk', token: 7}], shares: shares.revision === 0 ? [] : [shares]}, 0);
	}

	return {
		effects,
		owner,
		apply,
		listWrites: () => effects.filter(effect => effect.kind === 'write-shares'),
		runUntil(now) {
			for (; lastAt < now; lastAt += 25) {
				const running = [...owner.state.supervision.endpoints.get('e1')?.runs.values() ?? []].map(({taskId, run}) => ({
					taskId, run, checkpoint: '', percent: 1, load: 0,
				}));
				apply({...createTestPollAnswer('e1', 1000 + lastAt), running}, lastAt);
				apply({kind: 'tick'}, lastAt);
			}
		},
		countStarts: () => effects.filter(({kind}) => kind === 'start-task').length,
		getAllowedMillis: () => getAllowance(owner.state, 'desk', account)?.cpuMillis,
	};
}

const none: StoredShares = {account, revision: 0, record: undefined};
const createAnswer = (owner: Owner, result: 'applied' | 'conflict' | 'refused' | 'unknown', traits: {readonly revision?: number; readonly present?: number} = {}): JobEvent => ({
	kind: 'shares-written', pool: 'desk', token: 7, writeId: owner.listWrites().at(-1)!.writeId, result, revision: traits.revision ?? 0, presentRevisions: new Map([[account, traits.present ?? 0]]), isClaimLost: false,
});

describe('an owner without a known share', () => {
	// Guards against tasks that are started before the share is known, and a first start that waits for ticks.
	it('starts the tasks of a capped account once its write is applied', () => {
		const owner = createOwner({shares: none});
		owner.runUntil(100);
		owner.apply({kind: 'job-recorded', stored: createStoredJob('job', 3)}, 100);
		owner.runUntil(200);
		expect(owner.countStarts()).toBe(0);
		expect(owner.listWrites()[0]).toMatchObject({pool: 'desk', token: 7, records: [{account, revision: 0, record: {cap: cpu(10_000), pools: {desk: {wanted: cpu(3000)}}}}]});
		owner.apply(createAnswer(owner, 'applied', {revision: 20}), 200);
		owner.runUntil(250);
		expect(owner.countStarts()).toBe(3);
	});

	it.each([
		{
			name: 'before the shares are listed', hasAccounts: true, shares: undefined, expected: 0, expectedLists: 1,
		},
		{
			name: 'of an account without a cap', hasAccounts: true, caps: {[account]: 0}, shares: undefined, expected: 1, expectedLists: 0,
		},
		{
			name: 'of an account that is not configured, before the shares are listed', hasAccounts: false, shares: undefined, expected: 0, expectedLists: 1,
		},
		{
			name: 'of an account that is not configured and has no record', hasAccounts: false, shares: none, expected: 1, expectedLists: 0,
		},
		{
			name: 'of an account that is not configured and has a share', hasAccounts: false, shares: {account, revision: 5, record: createRecord({desk: 5000})}, expected: 1, expectedLists: 0,
		},
		{
			name: 'of an account that is not configured and whose last cap others hold', hasAccounts: false, shares: {account, revision: 5, record: createRecord({notify: 10_000})}, expected: 0, expectedLists: 1,
		},
	])('starts tasks only where it may, $name', ({hasAccounts, caps, shares, expected, expectedLists}) => {
		const owner = createOwner({hasAccounts, ...(caps !== undefined && {caps}), ...(shares !== undefined && {shares})});
		owner.runUntil(100);
		owner.apply({kind: 'job-recorded', stored: createStoredJob('job')}, 100);
		owner.runUntil(300);
		expect(owner.countStarts()).toBe(expected);
		expect(owner.effects.filter(({kind}) => kind === 'follow-shares').length).toBe(expectedLists);
	});
});

type ResultCase = {
	readonly name: string;
	/** Share before, and what the other pool holds. */
	readonly before: number;
	readonly other: number;
	readonly jobs: number;
	readonly result: 'applied' | 'conflict' | 'refused' | 'unknown';
	readonly expected: number;
	/** What is allowed once the record has been read again at the same revision, and once the record has what was written. */
	readonly expectedUnchanged: number;
	readonly expectedLate: number;
};

// Guards against two owners that use the same part of a cap, as a write was carried out of which one of them does not know.
const resultCases: readonly ResultCase[] = [
	{
		name: 'a write that takes share is not answered', before: 2000, other: 1000, jobs: 5, result: 'unknown', expected: 2000, expectedUnchanged: 2000, expectedLate: 7000,
	},
	{
		name: 'a write that gives back share is not answered', before: 9000, other: 1000, jobs: 1, result: 'unknown', expected: 5000, expectedUnchanged: 5000, expectedLate: 5000,
	},
	{
		name: 'a write that takes share is refused', before: 2000, other: 1000, jobs: 5, result: 'refused', expected: 2000, expectedUnchanged: 2000, expectedLate: 2000,
	},
	{
		// It is sent again at once.
		name: 'a write that takes share conflicts', before: 2000, other: 1000, jobs: 5, result: 'conflict', expected: 2000, expectedUnchanged: 2000, expectedLate: 7000,
	},
];

describe('a write of shares', () => {
	it.each(resultCases)('$name', ({before, other, jobs, result, expected, expectedUnchanged, expectedLate}) => {
		const isTaking = jobs > 1;
		const record = createRecord({desk: before, notify: other});
		const owner = createOwner({shares: {account, revision: 5, record: isTaking ? record : {...record, pools: {...record.pools, notify: {share: cpu(other), wanted: cpu(5000)}}}}});
		owner.apply({kind: 'job-recorded', stored: createStoredJob('job', jobs)}, 0);
		owner.runUntil(200);
		const write = owner.listWrites().at(-1)!;
		const sent = write.records[0]!.record.pools.desk!.share.cpuMillis;
		expect(Math.min(sent, before)).toBe(owner.getAllowedMillis());
		owner.apply(createAnswer(owner, result, {present: 5}), 200);
		expect(owner.getAllowedMillis()).toBe(expected);
		owner.apply({kind: 'shares-read', shares: {account, revision: 5, record}}, 210);
		expect(owner.getAllowedMillis()).toBe(expectedUnchanged);
		owner.apply({kind: 'shares-changed', shares: {account, revision: 6, record: write.records[0]!.record}}, 220);
		expect(owner.getAllowedMillis()).toBe(expectedLate);
	});

	// Guards against writes that are sent faster than the store bears, and transactions with too many entries.
	it('is sent at most every 100 ms, for 15 accounts', () => {
		const names = Array.from({length: 40}, (_unused, index) => `account${index}`);
		const owner = createOwner({caps: Object.fromEntries(names.map(name => [name, 10_000])), shares: none});
		for (const name of names) {
			owner.apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob(`job-${name}`, [{room: {cpuMillis: 100, memoryMb: 1, gpus: 0}}], {account: name}))}, 0);
		}

		owner.runUntil(400);
		expect(owner.listWrites().map(({records}) => records.length)).toEqual([15, 15, 10]);
	});

	it('ends the claim if another entry holds it', () => {
		const owner = createOwner({shares: none});
		owner.apply({kind: 'job-recorded', stored: createStoredJob('job')}, 0);
		owner.runUntil(100);
		owner.apply({...createAnswer(owner, 'conflict'), isClaimLost: true} as JobEvent, 100);
		expect(owner.owner.state.ledger.pools.size).toBe(0);
		expect(owner.effects.at(-1)).toBeDefined();
		expect(owner.effects.findLast(effect => effect.kind === 'follow-shares')).toMatchObject({owned: []});
	});
});

describe('a takeover', () => {
	// Guards against starts beyond the share while tasks that the previous owner started are not known.
	it('counts the tasks of loaded jobs as running until the survey', () => {
		const owner = createOwner({jobs: [createStoredJob('loaded', 4)], shares: {account, revision: 5, record: createRecord({desk: 4000})}});
		const {state} = owner.owner;
		expect(measurePoolUsage(state, state.ledger.pools.get('desk')!).get(account)?.possible.cpuMillis).toBe(4000);
		owner.apply({kind: 'job-recorded', stored: createStoredJob('new')}, 10);
		owner.apply({kind: 'tick'}, 100);
		expect(owner.countStarts()).toBe(0);
		owner.runUntil(200);
		expect(owner.countStarts()).toBe(4);
	});

	it.each([
		{
			name: 'an ended job of which only the account is known', jobs: [], ended: 'cancelled', expected: 16_000,
		},
		{
			name: 'a job that was cancelled and is not saved', jobs: [{...createStoredJob('job', 2), isCancelled: true}], ended: undefined, expected: 1000,
		},
	] as const)('counts runs of $name while the endpoint lists them', ({jobs, ended, expected}) => {
		const owner = createOwner({jobs, shares: {account, revision: 5, record: createRecord({desk: 4000})}});
		const {state} = owner.owner;
		const pool = state.ledger.pools.get('desk')!;
		if (ended !== undefined) {
			pool.endedJobs.set('job', {
				queue: 'prints', account, status: ended, endedAt: 0,
			});
		}

		const running = [{
			taskId: 'job.0.0.0', run: 1, checkpoint: '', percent: 1, load: 0,
		}];
		owner.apply({kind: 'tick'}, 10);
		owner.apply({...createTestPollAnswer('e1', 1000), running}, 20);
		expect(measurePoolUsage(state, pool).get(account)?.possible.cpuMillis).toBe(expected);
		owner.apply(createTestPollAnswer('e1', 1100), 120);
		expect(measurePoolUsage(state, pool).get(account)?.possible.cpuMillis ?? 0).toBe(0);
	});
});

type RecordCase = {
	readonly name: string;
	readonly event: JobEvent;
	readonly expected: number;
	/** Whether a pool may take share at once afterwards. */
	readonly mayTake: boolean;
};

const recordCases: readonly RecordCase[] = [
	{
		name: 'an older record is ignored', event: {kind: 'shares-changed', shares: {account, revision: 4, record: createRecord({desk: 9000})}}, expected: 4000, mayTake: true,
	},
	{
		name: 'a damaged record leaves nothing but what runs', event: {kind: 'shares-changed', shares: {account, revision: 9, record: undefined}}, expected: 0, mayTake: false,
	},
	{
		name: 'a share that another writer has raised is not used', event: {kind: 'shares-changed', shares: {account, revision: 9, record: createRecord({desk: 9000})}}, expected: 4000, mayTake: false,
	},
	{
		name: 'a share that another writer has lowered is obeyed', event: {kind: 'shares-changed', shares: {account, revision: 9, record: createRecord({desk: 1000})}}, expected: 1000, mayTake: false,
	},
	{
		name: 'shares of others beyond the cap leave less', event: {kind: 'shares-changed', shares: {account, revision: 9, record: createRecord({desk: 4000, notify: 8000})}}, expected: 2000, mayTake: true,
	},
	{
		name: 'a lowered cap leaves less', event: {kind: 'configuration-changed', configuration: createConfiguration(2, {[account]: 3000})}, expected: 3000, mayTake: true,
	},
	{
		name: 'the cap of an account that has left goes on', event: {kind: 'configuration-changed', configuration: createConfiguration(2, {})}, expected: 4000, mayTake: true,
	},
];

// Guards against a record or a configuration that lets an account exceed its cap.
describe('a change', () => {
	it.each(recordCases)('$name', ({event, expected, mayTake}) => {
		const owner = createOwner({shares: {account, revision: 5, record: createRecord({desk: 4000})}});
		owner.apply(event, 100);
		expect(owner.getAllowedMillis()).toBe(expected);
		expect(owner.owner.state.quota.accounts.get(account)!.takesFrom > 100).toBe(!mayTake);
	});
});
