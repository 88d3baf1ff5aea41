import {type CallerAction, type CallerAnswer, type PoolReport} from '@pistachiogauge/jobs';
import {describe, expect, it} from 'vitest';
import {createTestEntry, type TestQueue} from './test-entry.test-support.js';
import {createTestStore} from './test-store.test-support.js';

const jobId = '5c0e7a21d94b36f8';
const atDesk: TestQueue = {name: 'prints', prefix: '/prints/', pool: 'desk'};
const atOffice: TestQueue = {...atDesk, pool: 'office'};
const underOtherName: TestQueue = {...atOffice, name: 'photos'};
const elsewhere: TestQueue = {name: 'scans', prefix: '/scans/', pool: 'office'};

/** A change of an entry's configuration, or a request to it with its answer. */
type Step =
	| {readonly entry: number; readonly queues: readonly TestQueue[]}
	| {readonly entry: number; readonly action: CallerAction; readonly queue?: string; readonly isHeld?: boolean; readonly expected: CallerAnswer['kind']};

type Case = {
	readonly name: string;
	readonly steps: readonly Step[];
	/** Records of the job and of its cancellation at the end. */
	readonly records: readonly string[];
};

const jobAtDesk = `inbox/desk/job/${jobId}`;
const jobAtOffice = `inbox/office/job/${jobId}`;

const cases: readonly Case[] = [
	{
		name: 'asked for after its queue has moved', steps: [
			{entry: 0, action: 'submit', expected: 'accepted'},
			{entry: 0, queues: [atOffice]},
			{entry: 0, action: 'get', expected: 'status'},
			{entry: 1, action: 'get', expected: 'status'},
		], records: [jobAtDesk],
	},
	{
		name: 'submitted again after its queue was removed and has come back', steps: [
			{entry: 0, action: 'submit', expected: 'accepted'},
			{entry: 1, queues: []},
			{entry: 1, action: 'submit', expected: 'unknown-queue'},
			{entry: 1, queues: [atOffice]},
			{entry: 1, action: 'submit', expected: 'accepted'},
			{entry: 1, queues: [atDesk]},
			{entry: 1, action: 'submit', expected: 'accepted'},
		], records: [jobAtDesk],
	},
	{
		name: 'submitted to two entries with different versions', steps: [
			{entry: 1, queues: [atOffice]},
			{entry: 1, action: 'submit', expected: 'accepted'},
			{entry: 0, action: 'submit', expected: 'accepted'},
			{entry: 0, action: 'get', expected: 'status'},
		], records: [jobAtOffice],
	},
	{
		name: 'whose first record is written late, after its queue has moved', steps: [
			{
				entry: 0, action: 'submit', isHeld: true, expected: 'undecided',
			},
			{entry: 1, queues: [atOffice]},
			{entry: 1, action: 'submit', expected: 'accepted'},
		], records: [jobAtOffice],
	},
	{
		name: 'cancelled after its queue has moved', steps: [
			{entry: 0, action: 'submit', expected: 'accepted'},
			{entry: 1, queues: [atOffice]},
			{entry: 1, action: 'cancel', expected: 'cancelled'},
		], records: [`inbox/desk/cancel/${jobId}`, jobAtDesk],
	},
	{
		name: 'asked for after its queue has come back under another name', steps: [
			{entry: 0, action: 'submit', expected: 'accepted'},
			{entry: 1, queues: [underOtherName]},
			{
				entry: 1, action: 'get', queue: 'photos', expected: 'status',
			},
			{
				entry: 1, action: 'submit', queue: 'photos', expected: 'accepted',
			},
		], records: [jobAtDesk],
	},
	{
		name: 'whose id is used for a job of another queue', steps: [
			{entry: 0, queues: [atDesk, elsewhere]},
			{entry: 0, action: 'submit', expected: 'accepted'},
			{
				entry: 0, action: 'submit', queue: 'scans', expected: 'invalid',
			},
			{
				entry: 0, action: 'get', queue: 'scans', expected: 'unknown-job',
			},
			{entry: 0, action: 'get', expected: 'status'},
		], records: [jobAtDesk],
	},
];

// Guards against a job that runs a second time, or is not found, once its queue belongs to another pool: the condition that a job is created once held for each pool by itself.
describe('a job remains one job', () => {
	it.each(cases)('$name', async ({steps, records}) => {
		const store = createTestStore();
		const entries = [createTestEntry('entry-1', store), createTestEntry('entry-2', store)];
		for (const entry of entries) {
			entry.configure(1, [atDesk]);
		}

		const carriedOutLate: Array<() => void> = [];
		for (const [index, step] of steps.entries()) {
			const entry = entries[step.entry]!;
			if ('queues' in step) {
				entry.configure(index + 2, step.queues);
				continue;
			}

			if (step.isHeld === true) {
				carriedOutLate.push(store.holdNextWrite());
			}

			// eslint-disable-next-line no-await-in-loop
			expect(await entry.request(step.action, step.queue ?? 'prints', jobId), `step ${index}`).toMatchObject({kind: step.expected});
		}

		for (const carryOut of carriedOutLate) {
			carryOut();
		}

		expect([...store.items.keys()].filter(key => key.startsWith('inbox/')).sort()).toEqual(records);
	});
});

const createReport = (pool: string, count: number): PoolReport => ({
	pool, confirmedAt: Date.now(), waiting: count === 0 ? {} : {prints: count}, hasWork: false, backlogMillis: 0, usedMillis: 0, neededMillis: 0, arrivingMillis: 0, endpointMinimum: 0, usableEndpoints: [], idleEndpoints: [], servingEndpoints: [], releasableEndpoints: [], neededEndpoints: [], durationModels: {},
});

const waitingCases: ReadonlyArray<{readonly name: string; readonly reports: readonly PoolReport[]; readonly submitCount: number; readonly expected: number}> = [
	{
		name: 'both owners report', reports: [createReport('desk', 3), createReport('office', 2)], submitCount: 0, expected: 5,
	},
	{
		name: 'the former pool has no owner that reports', reports: [createReport('office', 2)], submitCount: 4, expected: 6,
	},
];

// Guards against a count of waiting jobs that leaves out those that were accepted before their queue moved to another pool.
it.each(waitingCases)('the waiting jobs of a moved queue are counted in all pools if $name', async ({reports, submitCount, expected}) => {
	const store = createTestStore();
	const entry = createTestEntry('entry-1', store);
	entry.configure(1, [atDesk]);
	for (let index = 0; index < submitCount; index++) {
		// eslint-disable-next-line no-await-in-loop
		await entry.request('submit', 'prints', index.toString(16).padStart(16, '0'));
	}

	await store.client.applyTransaction({conditions: [], puts: reports.map(report => ({key: `fleet/report/${report.pool}`, value: JSON.stringify(report)}))});
	entry.configure(2, [atOffice]);
	expect(await entry.request('count', 'prints')).toEqual({kind: 'waiting', waiting: expected});
});

const callCases: ReadonlyArray<{readonly name: string; readonly isMoved?: boolean; readonly action: CallerAction; readonly id: string; readonly expected: number}> = [
	{
		name: 'a submission', action: 'submit', id: 'ffffffffffffffff', expected: 1,
	},
	{
		name: 'the state of a job', action: 'get', id: jobId, expected: 1,
	},
	{
		name: 'a cancellation', action: 'cancel', id: jobId, expected: 2,
	},
	{
		name: 'the state of a job in another pool', isMoved: true, action: 'get', id: jobId, expected: 3,
	},
	{
		name: 'the state of an unknown job', action: 'get', id: 'ffffffffffffffff', expected: 2,
	},
	{
		name: 'the first cancellation of an unknown job', action: 'cancel', id: 'ffffffffffffffff', expected: 4,
	},
];

// Guards against requests that cost more calls to the store, which are limited for all entries together, than the design page says.
it.each(callCases)('$name takes $expected store calls', async ({
	isMoved = false, action, id, expected,
}) => {
	const store = createTestStore();
	const entry = createTestEntry('entry-1', store);
	entry.configure(1, [atDesk]);
	await entry.request('submit', 'prints', jobId);
	if (isMoved) {
		entry.configure(2, [atOffice]);
	}

	const countBefore = store.getCallCount();
	await entry.request(action, 'prints', id);
	expect(store.getCallCount() - countBefore).toBe(expected);
});

// Guards against records that stay in the store for good: it refuses a transaction of more than 32 entries.
it('the locations of ended jobs are deleted with their other records', async () => {
	const store = createTestStore();
	const entry = createTestEntry('entry-1', store);
	entry.configure(1, [atDesk]);
	const jobIds = Array.from({length: 10}, (_, index) => index.toString(16).padStart(16, '0'));
	for (const id of jobIds) {
		// eslint-disable-next-line no-await-in-loop
		await entry.request('submit', 'prints', id);
	}

	await store.client.applyTransaction({conditions: [], puts: [{key: 'shared/claim/pool/desk', value: '{}'}], deletes: jobIds.map(id => `inbox/desk/job/${id}`)});
	entry.carryOut({
		kind: 'delete-ended-jobs', pool: 'desk', token: store.items.get('shared/claim/pool/desk')!.revision, jobIds,
	});
	await expect.poll(() => [...store.items.keys()]).toEqual(['shared/claim/pool/desk']);
});
