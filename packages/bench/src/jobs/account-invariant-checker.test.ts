import {expect, it} from 'vitest';
import {type AccountPlan} from '../accounts/index.js';
import {createEventQueue} from '../virtual/event-queue.js';
import {createAccountInvariantChecker, type AccountInvariantChecker, type AccountInvariantName} from './account-invariant-checker.js';
import {type VirtualRun, type VirtualTaskEndpoint} from './virtual-task-endpoint.js';

/** What is observed at a time in ms. */
type Moment = {readonly at: number; readonly observe: (checker: AccountInvariantChecker) => void};

type Case = {readonly title: string; readonly history: readonly Moment[]; readonly expected: readonly AccountInvariantName[]};

const jobId = '00000000000000a1';
const plain: AccountPlan = {
	name: 'account-a', apiKeys: ['a'], priority: 0, weight: 1, cap: {cpuMillis: 1000, memoryMb: 0, gpus: 0},
};
const endpoints = ['e1', 'e2'].map(id => ({registration: {id}}) as unknown as VirtualTaskEndpoint);

function configure(at: number, ...accounts: ReadonlyArray<Partial<AccountPlan>>): Moment {
	return {
		at, observe(checker) {
			checker.recordAccounts(accounts.map(account => ({...plain, ...account})));
		},
	};
}

/** A request and its answer 10 ms later. */
function request(at: number, key: string | undefined, kind: 'accepted' | 'status' | 'unauthorized' | 'refused', {action = 'get', isInTouch = true, id = jobId}: {readonly action?: 'get' | 'submit'; readonly isInTouch?: boolean; readonly id?: string} = {}): Moment[] {
	const requestId = `request-${at}`;
	return [
		{
			at, observe(checker) {
				checker.recordRequest(requestId, {
					action, jobId: id, key, node: 'entry-1',
				});
			},
		},
		{
			at: at + 10, observe(checker) {
				checker.recordAnswer(requestId, kind, isInTouch);
			},
		},
	];
}

const submit = (at: number, key: string, id = jobId) => request(at, key, 'accepted', {action: 'submit', id});

const runs = new Map<string, VirtualRun>();

function start(at: number, index: number, cpuMillis: number, {id = jobId, endpoint = 0} = {}): Moment {
	const run: VirtualRun = {
		taskId: `${id}.0.0.${index}`, run: 1, resources: {cpuMillis, memoryMb: 500, gpus: 0}, startedAt: at, endsAt: at + 9000, starter: {
			node: 'entry-1', isOwner: true, isInTouch: true, isLate: false,
		},
	};
	return {
		at, observe(checker) {
			runs.set(run.taskId, run);
			checker.recordStart(endpoints[endpoint]!, run);
		},
	};
}

function end(at: number, index: number): Moment {
	return {
		at, observe(checker) {
			checker.recordEnd(runs.get(`${jobId}.0.0.${index}`)!);
		},
	};
}

const withoutKey = {apiKeys: []};
const low = {cap: {cpuMillis: 200, memoryMb: 0, gpus: 0}};
const high = {cap: {cpuMillis: 3000, memoryMb: 0, gpus: 0}};
/** 1,100 of 1,000: as much as the overage allows. */
const full = [configure(0, {}), ...submit(10, 'a'), start(100, 0, 600), start(101, 1, 500)];

const cases: readonly Case[] = [
	{title: 'a request with a valid key', history: [configure(0, {}), ...request(9000, 'a', 'status')], expected: []},
	{title: 'a request within RevokeMs of the removal', history: [configure(0, {}), configure(1000, withoutKey), ...request(5900, 'a', 'status')], expected: []},
	{title: 'a request later than RevokeMs after the removal', history: [configure(0, {}), configure(1000, withoutKey), ...request(6100, 'a', 'status')], expected: ['revocation']},
	{title: 'a submission that is accepted then', history: [configure(0, {}), configure(1000, withoutKey), ...submit(6100, 'a')], expected: ['revocation']},
	{title: 'such a request that is refused', history: [configure(0, {}), configure(1000, withoutKey), ...request(6100, 'a', 'refused')], expected: []},
	{title: 'a request after later versions without the key', history: [configure(0, {}), configure(1000, withoutKey), configure(6000, withoutKey), ...request(6100, 'a', 'status')], expected: ['revocation']},
	{title: 'a request after the key was added again', history: [configure(0, {}), configure(1000, withoutKey), configure(6000, {}), ...request(6100, 'a', 'status')], expected: []},
	{title: 'a request after the account was removed', history: [configure(0, {}), configure(1000), ...request(6100, 'a', 'status')], expected: ['revocation']},
	{title: 'a request without a key', history: [configure(0, {}), ...request(9000, undefined, 'status')], expected: ['revocation']},
	{title: 'a key that moved to another account', history: [configure(0, {}), configure(1000, withoutKey, {name: 'account-b'}), ...request(9000, 'a', 'status')], expected: []},

	{title: 'a 401 for a key that is valid', history: [configure(0, {}), ...request(9000, 'a', 'unauthorized')], expected: ['unauthorized']},
	{title: 'a 401 for a key that was added more than 3 s before', history: [configure(0, withoutKey), configure(1000, {}), ...request(4100, 'a', 'unauthorized')], expected: ['unauthorized']},
	{title: 'a 401 for a key that was added just before', history: [configure(0, withoutKey), configure(1000, {}), ...request(3900, 'a', 'unauthorized')], expected: []},
	{title: 'a 401 by an entry that is not in touch', history: [configure(0, {}), ...request(9000, 'a', 'unauthorized', {isInTouch: false})], expected: []},
	{title: 'a 401 for a removed key', history: [configure(0, {}), configure(1000, withoutKey), ...request(1100, 'a', 'unauthorized')], expected: []},
	{title: 'a 401 for a key that is removed before the answer', history: [configure(0, {}), ...request(9000, 'a', 'unauthorized').toSpliced(1, 0, configure(9005, withoutKey))], expected: []},

	{title: 'starts up to the cap, the overage and one task', history: [...full, start(102, 2, 600)], expected: []},
	{title: 'a start beyond that', history: [...full, start(102, 2, 600), start(103, 3, 100)], expected: ['quota']},
	{title: 'a start of a task that takes nothing of what is exceeded', history: [...full, start(102, 2, 600), start(103, 3, 0)], expected: []},
	{title: 'a start beyond it on another endpoint', history: [...full, start(102, 2, 600), start(103, 3, 100, {endpoint: 1})], expected: ['quota']},
	{title: 'a start beyond it after a run has ended', history: [...full, start(102, 2, 600), end(103, 0), start(104, 3, 100)], expected: []},
	{
		title: 'a start beyond it after an endpoint has crashed',
		history: [...full, start(102, 2, 600), {
			at: 103, observe(checker) {
				checker.recordCrash(endpoints[0]!);
			},
		}, start(104, 3, 100)],
		expected: [],
	},
	{title: 'a start of another job of the account', history: [...full, start(102, 2, 600), ...submit(103, 'a', 'b2'), start(120, 0, 100, {id: 'b2'})], expected: ['quota']},
	{title: 'a start of a job without an account', history: [...full, start(102, 2, 600), start(103, 0, 9000, {id: 'c3'})], expected: []},
	{title: 'a start soon after the cap was lowered', history: [...full, configure(200, low), start(3100, 2, 100)], expected: []},
	{title: 'a start 3 s after the cap was lowered', history: [...full, configure(200, low), start(3300, 2, 100)], expected: ['quota']},
	{title: 'a start after two quick versions with lower caps', history: [...full, configure(200, low), configure(300, low), start(3310, 2, 100)], expected: ['quota']},
	{title: 'a start as soon as the cap was raised', history: [...full, start(102, 2, 600), configure(200, high), start(201, 3, 900)], expected: []},
	{title: 'a start at the cap of an account that was removed', history: [...full, start(102, 2, 600), configure(200), start(5000, 3, 100)], expected: ['quota']},
	{title: 'a start of a job whose key is in two accounts', history: [configure(0, {}), configure(100, low, {name: 'account-b'}), ...submit(110, 'a'), start(200, 0, 900), start(201, 1, 900)], expected: []},
	{
		title: 'a start of a job whose key was moved while it was sent',
		history: [configure(0, {}), configure(100, withoutKey, {name: 'account-b'}), ...submit(110, 'a'), start(200, 0, 900), start(201, 1, 900), start(202, 2, 900)],
		expected: [],
	},
];

// Guards against checks of the soak that cannot fail.
it.each(cases)('$title', ({history, expected}) => {
	const queue = createEventQueue();
	const found: AccountInvariantName[] = [];
	const checker = createAccountInvariantChecker(queue, invariant => {
		found.push(invariant);
	});
	for (const {at, observe} of history) {
		queue.runUntil(at);
		observe(checker);
	}

	expect(found).toEqual(expected);
});

it.each([
	{
		title: 'half of the cap in use', cpuMillis: 500, task: 100, expected: false,
	},
	{
		title: 'less in use', cpuMillis: 499, task: 100, expected: true,
	},
	{
		title: 'less in use and a task that is larger than the rest', cpuMillis: 499, task: 600, expected: false,
	},
])('a job may count as lost work: $title', ({cpuMillis, task, expected}) => {
	const queue = createEventQueue();
	const checker = createAccountInvariantChecker(queue, () => undefined);
	for (const {at, observe} of [configure(0, {}), ...submit(10, 'a'), start(100, 0, cpuMillis)]) {
		queue.runUntil(at);
		observe(checker);
	}

	expect(checker.hasCapFor(jobId, {cpuMillis: task, memoryMb: 100, gpus: 0})).toBe(expected);
});
