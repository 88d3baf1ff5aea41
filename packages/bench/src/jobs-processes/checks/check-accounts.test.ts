import {
	type AccountPlan, type JobRequest, type Observation, type QueuePlan, type StepRequest,
} from '@pistachiogauge/platform/standins';
import {expect, test} from 'vitest';
import {listViolations, type Rule} from './index.js';

type Case = {readonly title: string; readonly rules: readonly Rule[]; readonly observations: readonly Observation[]};

const queues: readonly QueuePlan[] = [{queue: 'jobs', service: 'desk', attempts: 2}, {
	queue: 'open', service: 'desk', attempts: 2, isPublic: true,
}];
const step: StepRequest = {
	taskCount: 9, cpuMillis: 500, memoryMb: 100, estimateMs: 700, after: [], isLongRunning: false, mayDuplicate: false,
};
const plain: AccountPlan = {
	name: 'account-a', apiKeys: ['a'], priority: 0, weight: 1, cap: {cpuMillis: 1000, memoryMb: 0, gpus: 0},
};
const other: AccountPlan = {...plain, name: 'account-b', apiKeys: ['b']};
const withoutKey: AccountPlan = {...plain, apiKeys: []};
const low: AccountPlan = {...plain, cap: {cpuMillis: 200, memoryMb: 0, gpus: 0}};

function configure(at: number, ...accounts: readonly AccountPlan[]): Observation {
	return {
		at, kind: 'accounts-written', version: at, accounts,
	};
}

function submit(at: number, key: string | undefined, status = 200, {jobId = 'a1', queue = 'jobs'} = {}): Observation {
	const job: JobRequest = {
		jobId, queue, payload: '', steps: [step],
	};
	return {
		at, kind: 'submit-answered', job, isRepeat: false, entry: 'front-1', sentAt: at - 10, status, key,
	};
}

function show(at: number, key: string | undefined, status = 200): Observation {
	return {
		at, kind: 'state-answered', jobId: 'a1', state: 'queued', entry: 'front-1', sentAt: at - 10, status, key,
	};
}

function cancel(at: number, key: string): Observation {
	return {
		at, kind: 'cancel-answered', jobId: 'a1', entry: 'front-1', sentAt: at - 10, status: 200, key,
	};
}

function count(at: number, key: string | undefined, status = 200): Observation {
	return {
		at, kind: 'waiting-answered', queue: 'jobs', waiting: 9, entry: 'front-1', sentAt: at - 10, status, key,
	};
}

function start(at: number, index: number, jobId = 'a1'): Observation {
	return {
		at, kind: 'run-started', endpoint: `e${index}`, bornAt: 1, taskId: `${jobId}.0.0.${index}`, run: 1, payload: '', token: 7, entry: 'front-1', isLate: false, isOverCapacity: false,
	};
}

function end(at: number, index: number): Observation {
	return {
		at, kind: 'run-ended', endpoint: `e${index}`, bornAt: 1, taskId: `a1.0.0.${index}`, run: 1, outcome: 'stopped', number: 1,
	};
}

const disturbance = (['fault-started', 'fault-ended'] as const).map((kind): Observation => ({
	at: 7000, kind, number: 1, fault: 'entry-paused', participants: ['front-1'],
}));
/** 1,500 of 1,000 in use: the cap and one task. */
const full = [configure(0, plain), submit(100, 'a'), start(200, 0), start(201, 1), start(202, 2)];
const open: Observation[] = [
	{
		at: 0, kind: 'endpoint-started', endpoint: 'e9', bornAt: 1,
	},
	{
		at: 0, kind: 'endpoint-listed', endpoint: 'e9', bornAt: 1, service: 'desk', cpuMillis: 9000, memoryMb: 9000, labels: [],
	},
];

const cases: readonly Case[] = [
	{title: 'a request with a valid key', rules: [], observations: [configure(0, plain), submit(100, 'a'), show(9000, 'a')]},
	{title: 'a read long after the key was removed', rules: ['revocation'], observations: [configure(0, plain), submit(100, 'a'), configure(1000, withoutKey), show(6100, 'a')]},
	{title: 'a read sooner after that', rules: [], observations: [configure(0, plain), submit(100, 'a'), configure(1000, withoutKey), show(6000, 'a')]},
	{title: 'a cancellation long after the key was removed', rules: ['revocation'], observations: [configure(0, plain), submit(100, 'a'), configure(1000, withoutKey), cancel(6100, 'a')]},
	{title: 'a submission long after the key was removed', rules: ['revocation'], observations: [configure(0, plain), configure(1000, withoutKey), submit(6100, 'a')]},
	{title: 'a count long after the key was removed', rules: ['revocation'], observations: [configure(0, plain), configure(1000, withoutKey), count(6100, 'a')]},
	{title: 'a refused read long after the key was removed', rules: [], observations: [configure(0, plain), submit(100, 'a'), configure(1000, withoutKey), show(6100, 'a', 503)]},
	{title: 'a submission without a key', rules: ['revocation'], observations: [configure(0, plain), submit(100, undefined)]},
	{title: 'a submission without a key to a public queue', rules: [], observations: [configure(0, plain), submit(100, undefined, 200, {queue: 'open'})]},
	{title: 'a submission without a key where there are no accounts', rules: [], observations: [submit(100, undefined)]},

	{title: 'a 401 for a valid key', rules: ['unauthorized'], observations: [configure(0, plain), submit(9000, 'a', 401)]},
	{title: 'a 401 for a valid key by an entry that was paused', rules: [], observations: [configure(0, plain), ...disturbance, submit(9000, 'a', 401)]},
	{title: 'a 401 for a key that has just been added', rules: [], observations: [configure(0, withoutKey), configure(1000, plain), submit(3900, 'a', 401)]},
	{title: 'a 401 for a key that was added before', rules: ['unauthorized'], observations: [configure(0, withoutKey), configure(1000, plain), submit(4100, 'a', 401)]},
	{title: 'a 401 for a public queue', rules: ['unauthorized'], observations: [configure(0, plain), submit(100, undefined, 401, {queue: 'open'})]},
	{title: 'a start of a job that was answered 401', rules: ['refused'], observations: [configure(0, plain), submit(100, 'c', 401), start(200, 0)]},

	{title: 'starts up to the cap and one task', rules: [], observations: full},
	{title: 'a start beyond that', rules: ['quota'], observations: [...full, start(203, 3)]},
	{title: 'a start beyond it after a run was stopped', rules: [], observations: [...full, end(300, 0), start(301, 3)]},
	{
		title: 'a start beyond it after an endpoint has crashed', rules: [], observations: [...full, {
			at: 300, kind: 'endpoint-crashed', endpoint: 'e0', bornAt: 1,
		}, start(301, 3)],
	},
	{title: 'a start of another job of the account', rules: ['quota'], observations: [...full, submit(300, 'a', 200, {jobId: 'a2'}), start(400, 4, 'a2')]},
	{title: 'a start of a job of another account', rules: [], observations: [configure(0, plain, other), ...full.slice(1), submit(300, 'b', 200, {jobId: 'a2'}), start(400, 4, 'a2')]},
	{title: 'a start of a job without an account', rules: [], observations: [...full, submit(300, undefined, 200, {jobId: 'a2', queue: 'open'}), start(400, 4, 'a2')]},
	{title: 'a start soon after the cap was lowered', rules: [], observations: [...full.slice(0, 4), configure(300, low), start(3300, 3)]},
	{title: 'a start 3 s after the cap was lowered', rules: ['quota'], observations: [...full.slice(0, 4), configure(300, low), start(3301, 3)]},

	{title: 'a job that waits while its account has nothing running', rules: ['lost'], observations: [configure(0, plain), ...open, submit(100, 'a'), show(9000, 'a')]},
	{title: 'a job that waits while its account uses half its cap', rules: [], observations: [configure(0, plain), ...open, submit(100, 'a'), start(200, 0), submit(300, 'a', 200, {jobId: 'a2'}), show(9000, 'a')]},
	{title: 'a job that waits while its account uses less', rules: ['lost'], observations: [configure(0, {...plain, cap: {...plain.cap, cpuMillis: 1100}}), ...open, submit(100, 'a'), start(200, 0), submit(300, 'a', 200, {jobId: 'a2'}), show(9000, 'a')]},
	{title: 'an accepted job that is not known', rules: ['lost'], observations: [configure(0, plain), submit(100, 'a'), start(200, 0), show(4000, 'a', 410)]},
	{title: 'an accepted job that is asked for with a key of another account', rules: [], observations: [configure(0, plain, other), submit(100, 'a'), start(200, 0), show(4000, 'b', 410)]},
];

// Guards against checks that cannot fail, and against violations that the rules allow.
test.each(cases)('$title', ({rules, observations}) => {
	expect(listViolations(observations, queues).map(({rule}) => rule)).toEqual(rules);
});
