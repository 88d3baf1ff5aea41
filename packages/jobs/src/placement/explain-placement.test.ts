import {inspect} from 'node:util';
import {describe, expect, it} from 'vitest';
import {
	type AdvicePolicy, type Configuration, type JobRecord, type JobSpec, type StepSpec,
} from '../model/index.js';
import {
	createStepSpec, createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, type TestOwner,
} from '../testing.test-support.js';
import {explainPlacement, type PlacementExplanation, type PlacementQuestion} from './explain-placement.js';

const endpointIds = ['e1', 'e2'];
const askedAt = 1000;
const free = {cpuMillis: 16_000, memoryMb: 64_000, gpus: 0};
const room = (cpuMillis: number) => ({room: {cpuMillis, memoryMb: 100, gpus: 0}});
const cap = {cpuMillis: 5000, memoryMb: 0, gpus: 0};

function createConfiguration(advice: AdvicePolicy | undefined, hasAccounts: boolean): Configuration {
	return {
		version: 1,
		queues: [{
			name: 'prints', host: 'shop', prefix: '/prints/', pool: 'desk', priority: 0, attempts: 2, stretch: 1.6, latencyTargetMs: 600, advice, isPublic: !hasAccounts,
		}, {
			name: 'scans', host: 'shop', prefix: '/scans/', pool: 'notify', priority: 0, attempts: 2, stretch: 1.6, latencyTargetMs: 600, advice: undefined, isPublic: true,
		}],
		pools: [{name: 'desk', isSpare: false}, {name: 'notify', isSpare: false}],
		accounts: hasAccounts
			? [{
				name: 'press', keyHashes: ['0'.repeat(64)], priority: 0, weight: 1, cap,
			}]
			: undefined,
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
}

type Setup = {
	readonly stored?: ReadonlyArray<{readonly step: Partial<StepSpec>; readonly traits?: Partial<JobRecord>}>;
	readonly advice?: AdvicePolicy;
	readonly hasAccounts?: boolean;
	readonly change?: (owner: TestOwner) => void;
};

/** Plays an owner of two endpoints whose jobs have been running or waiting for almost a second. */
function createOwner({stored = [], advice, hasAccounts = false, change}: Setup): TestOwner {
	const owner = createTestOwner({roster: {endpointIds}, endpoints: endpointIds, jobs: []});
	owner.apply({kind: 'configuration-changed', configuration: createConfiguration(advice, hasAccounts)}, 0);
	if (hasAccounts) {
		owner.apply({
			kind: 'shares-listed', owned: [{pool: 'desk', token: 7}], shares: [{account: 'press', revision: 1, record: {cap, pools: {desk: {share: cap, wanted: cap}}}}],
		}, 0);
	}

	for (let now = 25; now < askedAt; now += 25) {
		for (const id of endpointIds) {
			owner.apply({
				...createTestPollAnswer(id, 1000 + now), running: [...owner.state.supervision.endpoints.get(id)!.runs.values()].map(({taskId, run}) => ({
					taskId, run, checkpoint: '', percent: 10, load: 0,
				})),
			}, now);
		}

		if (now === 100) {
			for (const [index, {step, traits}] of stored.entries()) {
				owner.apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob(`stored${index}`, [step], traits))}, now);
			}
		}

		owner.apply({kind: 'tick'}, now);
	}

	change?.(owner);
	return owner;
}

function createSpec(steps: ReadonlyArray<Partial<StepSpec>>, traits: Partial<JobSpec> = {}): JobSpec {
	return {
		payload: 'private', steps: steps.map(step => createStepSpec(step)), repeatCount: 0, startAtMs: 0, intervalMs: 0, ...traits,
	};
}

type Case = Setup & {
	readonly name: string;
	readonly steps?: ReadonlyArray<Partial<StepSpec>>;
	readonly spec?: Partial<JobSpec>;
	readonly target?: PlacementQuestion['target'];
	readonly account?: string;
	/** When the question is asked, in ms. */
	readonly at?: number;
	readonly expected: Record<string, unknown>;
};

const waits = (waitReason: string, more: Record<string, unknown> = {}) => ({
	kind: 'explained', isStarted: false, steps: [{outcome: 'waits', endpoints: [], waitReason}], ...more,
});
const full = {step: {...room(15_900), count: 2, isLongRunning: true}};

const cases: readonly Case[] = [
	{
		name: 'starts on an idle endpoint', steps: [room(1000)], expected: {
			kind: 'explained', queue: 'prints', pool: 'desk', owner: {node: 'entry-1', token: 7}, isStarted: true, isKeyRequired: false, policy: 'largest-first', objectiveStatus: 'timely', rank: 1, rankedJobs: 1, account: undefined, endpointUses: {usable: {count: 2}}, steps: [{
				step: 0, tasks: 1, outcome: 'starts', waitReason: undefined, endpoints: [{
					endpointId: 'e1', rack: 'rack-1', tasks: 1, free,
				}],
			}],
		},
	},
	{
		name: 'is found by host and path', target: {host: 'shop', path: '/prints/1'}, expected: {kind: 'explained', queue: 'prints', isStarted: true},
	},
	{
		name: 'goes to the fullest endpoint that has room', stored: [{step: {...room(6000), isLongRunning: true}}], steps: [{...room(9000), count: 2}], expected: {
			isStarted: true, steps: [{outcome: 'starts', endpoints: [{endpointId: 'e1', tasks: 1, free: {cpuMillis: 10_000}}, {endpointId: 'e2', tasks: 1, free}]}],
		},
	},
	{
		name: 'has steps that depend on others', steps: [{}, {after: [0]}], expected: {steps: [{outcome: 'starts'}, {outcome: 'not-ready', endpoints: []}]},
	},
	{
		name: 'is to start later', spec: {repeatCount: 2, startAtMs: 60_000, intervalMs: 1000}, expected: {isStarted: false, steps: [{outcome: 'not-due', endpoints: []}]},
	},
	{name: 'finds no room', stored: [full], expected: waits('no-room', {rank: 1, rankedJobs: 1})},
	{
		name: 'ranks behind a job that waits', stored: [full, {step: {...room(500), isLongRunning: true}}], expected: waits('no-room', {rank: 2, rankedJobs: 2}),
	},
	{name: 'wants a label that no endpoint has', steps: [{requiredLabel: 'b'}], expected: waits('no-endpoint', {rankedJobs: 0})},
	{
		name: 'has more tasks than the limit of endpoints', steps: [{count: 3, endpointLimit: 1}], expected: {isStarted: true, steps: [{outcome: 'starts-in-part', waitReason: 'endpoint-limit', endpoints: [{tasks: 1}, {tasks: 1}]}]},
	},
	{name: 'is a gang that does not fit', steps: [{...room(9000), count: 3, isGang: true}], expected: waits('gang')},
	{name: 'needs advice', advice: {decideMs: 20, eachMs: 1, validMs: 1000}, expected: waits('advice')},
	{
		name: 'asks for more than the cap leaves',
		hasAccounts: true,
		account: 'press',
		stored: [{step: {...room(4500), isLongRunning: true}, traits: {account: 'press'}}],
		expected: waits('account-cap', {
			policy: 'least-cost', isKeyRequired: true, account: {
				name: 'press', cap: {cpuMillis: 5000}, share: {cpuMillis: 5000}, used: {cpuMillis: 4500},
			},
		}),
	},
	{
		name: 'fits within the cap beside waiting jobs', hasAccounts: true, account: 'press', stored: [full], expected: waits('no-room', {policy: 'least-cost', account: {used: {cpuMillis: 0}}}),
	},
	{
		name: 'belongs to a pool whose claim is not confirmed', at: 9000, change(owner) {
			owner.confirmsClaim = false;
		}, expected: waits('claim'),
	},
	{
		name: 'belongs to a pool that is being loaded', change({state}) {
			state.ledger.pools.clear();
		}, expected: waits('survey'),
	},
	{
		name: 'finds endpoints that are not usable', change({state}) {
			state.observation.endpoints.set('e1', {failuresInRow: 3, avoidUntil: askedAt + 1000, slowness: 1});
			state.evacuation.requests.set('e2', {
				requestId: 'first', pool: 'desk', endpointId: 'e2', machine: 'm2', purpose: 'move', dueAt: 0,
			});
		}, expected: waits('no-endpoint', {endpointUses: {avoided: {count: 1}, 'evacuated-for-move': {count: 1}}}),
	},
	{
		name: 'belongs to a pool of another entry', target: {queue: 'scans'}, change({state}) {
			state.authority.claims.set('pool/notify', {
				name: 'pool/notify', node: 'entry-2', incarnation: 'x', token: 9,
			});
			state.authority.members.set('entry-2', {
				node: 'entry-2', incarnation: 'x', weight: 1, peerServer: {address: '10.0.0.2:9100', secret: 'hidden'},
			});
		}, expected: {
			kind: 'owned-elsewhere', queue: 'scans', pool: 'notify', owner: {node: 'entry-2', token: 9}, peerAddress: '10.0.0.2:9100',
		},
	},
	{name: 'belongs to a pool without a known owner', target: {queue: 'scans'}, expected: {kind: 'owner-unknown', queue: 'scans', pool: 'notify'}},
	{name: 'belongs to a queue that does not exist', target: {queue: 'faxes'}, expected: {kind: 'unknown-queue'}},
	{
		name: 'belongs to an account that does not exist', hasAccounts: true, account: 'nobody', expected: {kind: 'unknown-account'},
	},
	{
		name: 'is asked about before a configuration was read', change({state}) {
			state.configuration.current = undefined;
		}, expected: {kind: 'not-configured'},
	},
];

function ask({state}: TestOwner, {steps = [{}], spec, target = {queue: 'prints'}, account, at = askedAt}: Omit<Case, 'name' | 'expected'>): PlacementExplanation {
	return explainPlacement(state, {target, account, spec: createSpec(steps, spec)}, {now: at, wallTime: at});
}

/** Describes all of a state, with the entries of weak maps. */
function describeState({state}: TestOwner): string {
	return inspect(state, {
		depth: Number.POSITIVE_INFINITY, showHidden: true, maxArrayLength: Number.POSITIVE_INFINITY, maxStringLength: Number.POSITIVE_INFINITY, sorted: true,
	});
}

describe('a job that', () => {
	// Guards against an explanation that differs from what placement does, and against one that changes what placement does next or reveals secrets.
	it.each(cases)('$name is explained without a change of the state', ({expected, ...input}) => {
		const owner = createOwner(input);
		const before = describeState(owner);
		const explanation = ask(owner, input);
		expect(explanation).toMatchObject(expected);
		expect(describeState(owner)).toBe(before);
		expect(JSON.stringify(explanation)).not.toMatch(/private|hidden|0{64}/u);
	});

	const started = cases.filter(({expected, spec}) => 'isStarted' in expected && spec === undefined);

	// Guards against an explanation that says what the search for tasks to start does not do.
	it.each(started)('$name is started as explained', ({expected, ...input}) => {
		const owner = createOwner(input);
		const explanation = ask(owner, input);
		const at = input.at ?? askedAt;
		const traits: Partial<JobRecord> = {acceptedAt: at, advice: input.advice, account: input.account};
		const effects = [
			...owner.apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('real', input.steps ?? [{}], traits))}, at),
			...owner.apply({kind: 'tick'}, at + 1),
			...owner.apply({kind: 'tick'}, at + 51),
		];
		const placed = effects.flatMap(effect => effect.kind === 'start-task' && effect.taskId.startsWith('real.') ? [effect.target.endpointId] : []);
		const explained = explanation.kind === 'explained' ? explanation.steps.flatMap(({endpoints}) => endpoints.flatMap(({endpointId, tasks}) => Array.from({length: tasks}, () => endpointId))) : [];
		expect(new Set(placed)).toEqual(new Set(explained));
		expect(placed).toHaveLength(explained.length);
	});
});
