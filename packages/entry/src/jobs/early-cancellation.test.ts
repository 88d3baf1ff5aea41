import {type CallerAction, type CallerAnswer} from '@pistachiogauge/jobs';
import {describe, expect, it} from 'vitest';
import {createTestEntry, type TestQueue} from './test-entry.test-support.js';
import {createTestStore} from './test-store.test-support.js';

const jobId = '5c0e7a21d94b36f8';
const prints: TestQueue = {name: 'prints', prefix: '/prints/', pool: 'desk'};
const scans: TestQueue = {name: 'scans', prefix: '/scans/', pool: 'office'};
const movedPrints: TestQueue = {name: 'photos', prefix: '/prints/', pool: 'office'};

type Request = {
	readonly entry: number;
	readonly action: CallerAction;
	readonly queue?: string;
	/** The store leaves the write unanswered and carries it out after the last request. */
	readonly isHeld?: boolean;
	readonly expected: CallerAnswer['kind'] | CallerAnswer;
};

type Step =
	| Request
	/** Requests that are sent at the same time. */
	| {readonly together: readonly Request[]}
	| {readonly event: 'leases end' | 'late writes are carried out' | 'queues move'};

type Case = {readonly name: string; readonly steps: readonly Step[]; /** Whether the job may run at the end. */ readonly isActive: boolean};

const submit = (entry: number, traits: Partial<Request> = {}): Request => ({
	entry, action: 'submit', expected: 'accepted', ...traits,
});
const cancel = (entry: number, expected: Request['expected'], traits: Partial<Request> = {}): Request => ({
	entry, action: 'cancel', expected, ...traits,
});
const getState = (entry: number, expected: Request['expected'], traits: Partial<Request> = {}): Request => ({
	entry, action: 'get', expected, ...traits,
});
const cancelledStatus: CallerAnswer = {kind: 'status', status: 'cancelled'};

const cases: readonly Case[] = [
	{
		name: 'its submission waits in an entry that stands still', steps: [cancel(1, 'unknown-job'), submit(0), getState(1, cancelledStatus), cancel(1, 'cancelled')], isActive: false,
	},
	{
		name: 'the store carries out its submission later', steps: [submit(0, {isHeld: true, expected: 'undecided'}), cancel(1, 'unknown-job'), {event: 'late writes are carried out'}, getState(1, 'unknown-job')], isActive: false,
	},
	{
		name: 'it is submitted again, twice', steps: [cancel(1, 'unknown-job'), submit(0), submit(1), getState(0, cancelledStatus)], isActive: false,
	},
	{
		name: 'it is cancelled twice before its submission', steps: [cancel(1, 'unknown-job'), cancel(0, 'unknown-job'), submit(0)], isActive: false,
	},
	{
		name: 'its queue moves to another pool, under another name, before its submission', steps: [cancel(1, 'unknown-job'), {event: 'queues move'}, submit(0, {queue: 'photos'}), getState(1, cancelledStatus, {queue: 'photos'})], isActive: false,
	},
	{
		name: 'its submission and its cancellation arrive together', steps: [{together: [cancel(1, 'cancelled'), submit(0)]}], isActive: false,
	},
	{
		name: 'the cancellation is not answered and carried out after the submission', steps: [cancel(1, 'undecided', {isHeld: true}), submit(0), {event: 'late writes are carried out'}, getState(1, 'status')], isActive: true,
	},
	{
		name: 'the id belongs to another queue', steps: [cancel(1, 'unknown-job', {queue: 'scans'}), submit(0), getState(1, 'status')], isActive: true,
	},
	{
		name: 'it is submitted long after the cancellation', steps: [cancel(1, 'unknown-job'), {event: 'leases end'}, submit(0), getState(1, 'status')], isActive: true,
	},
	{
		name: 'its state is asked for and nobody submits it', steps: [cancel(1, 'unknown-job'), getState(0, 'unknown-job')], isActive: false,
	},
];

// Guards against a job that runs although its cancellation was acknowledged, as its submission was still on its way.
describe('a cancelled job that is not stored yet does not run', () => {
	it.each(cases)('$name', async ({steps, isActive}) => {
		const store = createTestStore();
		const entries = [createTestEntry('entry-1', store), createTestEntry('entry-2', store)];
		for (const entry of entries) {
			entry.configure(1, [prints, scans]);
		}

		const lateWrites: Array<() => void> = [];
		const send = async ({entry, action, queue = 'prints', isHeld, expected}: Request) => {
			if (isHeld === true) {
				lateWrites.push(store.holdNextWrite());
			}

			expect(await entries[entry]!.request(action, queue, jobId)).toMatchObject(typeof expected === 'string' ? {kind: expected} : expected);
		};

		const handleEvent = {
			'leases end'() {
				while (store.endOldestLease() !== undefined) {/* Each call ends one. */}
			},
			'late writes are carried out'() {
				for (const carryOut of lateWrites) {
					carryOut();
				}
			},
			'queues move'() {
				for (const entry of entries) {
					entry.configure(2, [movedPrints]);
				}
			},
		};
		for (const step of steps) {
			if ('event' in step) {
				handleEvent[step.event]();
				continue;
			}

			// eslint-disable-next-line no-await-in-loop
			await Promise.all(('together' in step ? step.together : [step]).map(async request => send(request)));
		}

		const keys = [...store.items.keys()];
		const isCancelled = keys.some(key => key.startsWith('inbox/') && key.endsWith(`/cancel/${jobId}`));
		expect(keys.some(key => key.startsWith('inbox/') && key.endsWith(`/job/${jobId}`)) && !isCancelled).toBe(isActive);
	});
});

// Guards against records of cancellations that stay in the store for good, or are gone while a submission may still be on its way: callers wait for 60 s at most, and entries stand still for some seconds.
it('a cancellation of a job that is not stored is kept for at least 150 s, under a lease of ten minutes at most', async () => {
	const store = createTestStore();
	const entry = createTestEntry('entry-1', store);
	entry.configure(1, [prints]);
	await entry.request('cancel', 'prints', jobId);
	await entry.request('cancel', 'prints', 'aaaaaaaaaaaaaaaa');
	expect(store.items.size).toBe(2);
	const ttlMs = store.endOldestLease();
	expect(ttlMs).toBeGreaterThanOrEqual(150_000);
	expect(ttlMs).toBeLessThanOrEqual(600_000);
	expect(store.items.size).toBe(0);
	// A lease that has ended is replaced.
	expect(await entry.request('cancel', 'prints', jobId)).toEqual({kind: 'unknown-job'});
	expect(store.items.size).toBe(1);
});
