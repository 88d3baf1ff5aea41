import {createRandomSource} from '@pistachiogauge/decisions';
import {
	createLinks, type EndpointStandin, type Observation, type StoreStandin,
} from '@pistachiogauge/platform/standins';
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {type EntryProcesses} from './entry-processes.js';
import {type FaultPlan} from './fault-plan.js';
import {startFault} from './faults.js';
import {type Installation} from './installation.js';
import {createRunPlan} from './run-plan.js';

type FakeInstallation = {readonly installation: Installation; readonly calls: string[]; readonly observations: Observation[]};

const owner = {kind: 'owner', pool: 0} as const;
const plan = createRunPlan(1, 10_000);
const times = {atMs: 0, durationMs: 1000};

/** Creates an installation whose parts only record what is done to them; `front-2` owns all pools. */
function createFakeInstallation(): FakeInstallation {
	const calls: string[] = [];
	const observations: Observation[] = [];
	const note = (name: string) => (...parameters: unknown[]): void => {
		calls.push([name, ...parameters].join(' '));
	};

	const endpoints = plan.endpoints.map(({id, service}) => {
		let isUp = true;
		const endpoint: Partial<EndpointStandin> = {
			id, service, isUp: () => isUp, hasLeft: () => false, resetConnections: note(`reset ${id}`),
			crash(...parameters) {
				isUp = false;
				note(`crash ${id}`)(...parameters);
			},
			restart() {
				isUp = true;
				note(`restart ${id}`)();
			},
		};
		return endpoint as EndpointStandin;
	});
	const store: Partial<StoreStandin> = {
		takeKeys: note('take keys'), pauseLeases: note('pause leases'), resumeLeases: note('resume leases'), dropHistory: note('drop history'), resetConnections: note('reset store'),
	};
	const processes: Partial<EntryProcesses> = {signal: note('signal')};
	const installation: Partial<Installation> = {
		plan, endpoints, random: createRandomSource(1), links: createLinks(), store: store as StoreStandin, processes: processes as EntryProcesses,
		findOwner: () => 'front-2', startEntry: note('start'),
		observe(observation) {
			observations.push({at: 0, ...observation});
		},
	};
	return {installation: installation as Installation, calls, observations};
}

type Case = {
	readonly fault: FaultPlan;
	/** What is done at the start and at the end. */
	readonly started?: readonly string[];
	readonly ended?: readonly string[];
	/** States of links while the fault lasts; afterwards all are open. */
	readonly links?: ReadonlyArray<readonly [from: string, to: string, state: string]>;
	readonly participants: readonly string[];
};

const groupCut = {
	kind: 'group-cut', target: owner, endpointCount: 1, firstEndpoint: 1, keys: 'kept', hasReports: true, lateShare: 0, ...times,
} as const;

const cases: readonly Case[] = [
	{
		fault: groupCut,
		links: [['front-2', 'desk-2', 'open'], ['front-2', 'desk-1', 'cut'], ['front-1', 'desk-2', 'cut'], ['front-2', 'store', 'cut'], ['desk-2', 'store', 'open'], ['front-1', 'store', 'open']],
		participants: ['front-2', 'desk-2'],
	},
	{fault: {...groupCut, hasReports: false}, links: [['desk-2', 'store', 'cut'], ['desk-1', 'store', 'open']], participants: ['front-2', 'desk-2']},
	{fault: {...groupCut, lateShare: 1}, links: [['front-1', 'desk-2', 'late'], ['front-2', 'store', 'cut']], participants: ['front-2', 'desk-2']},
	{fault: {...groupCut, keys: 'taken'}, started: ['take keys front-2 false'], participants: ['front-2', 'desk-2', 'store']},
	{fault: {...groupCut, keys: 'taken-and-lease-ended'}, started: ['take keys front-2 true'], participants: ['front-2', 'desk-2', 'store']},
	{
		fault: {
			kind: 'one-way-cut', target: owner, side: 'store', ...times,
		}, links: [['front-2', 'store', 'answers-lost'], ['front-2', 'desk-1', 'open'], ['front-1', 'store', 'open']], participants: ['front-2'],
	},
	{
		fault: {
			kind: 'one-way-cut', target: owner, side: 'both', ...times,
		}, links: [['front-2', 'store', 'answers-lost'], ['front-2', 'desk-1', 'answers-lost']], participants: ['front-2'],
	},
	{
		fault: {
			kind: 'keys-taken', target: owner, endsLease: false, ...times,
		}, started: ['take keys front-2 false'], participants: ['store'],
	},
	{
		fault: {
			kind: 'store-down', entries: 'all', state: 'cut', pausesLeases: true, ...times,
		},
		started: ['pause leases'], ended: ['resume leases'], links: [['front-1', 'store', 'cut'], ['desk-1', 'store', 'cut'], ['front-1', 'desk-1', 'open']], participants: ['store'],
	},
	{
		fault: {
			kind: 'store-down', entries: [0], state: 'reset', pausesLeases: false, ...times,
		},
		started: ['reset store front-1'], links: [['front-1', 'store', 'reset'], ['front-2', 'store', 'open']], participants: ['store'],
	},
	{
		fault: {
			kind: 'store-writes', state: 'late', share: 1, ...times,
		}, links: [['front-1', 'store', 'late'], ['front-1', 'desk-1', 'open']], participants: ['store'],
	},
	{fault: {kind: 'store-history-lost', ...times}, started: ['drop history'], participants: ['store']},
	{
		fault: {kind: 'entry-paused', target: owner, ...times}, started: ['signal front-2 SIGSTOP'], ended: ['signal front-2 SIGCONT'], participants: ['front-2'],
	},
	{
		fault: {kind: 'entry-killed', target: {kind: 'entry', index: 2}, ...times}, started: ['signal front-3 SIGKILL'], ended: ['signal front-3 SIGKILL', 'start front-3'], participants: ['front-3'],
	},
	{
		fault: {kind: 'entry-terminated', target: owner, ...times}, started: ['signal front-2 SIGTERM'], ended: ['signal front-2 SIGKILL', 'start front-2'], participants: ['front-2'],
	},
	{fault: {kind: 'entry-reloaded', target: owner, ...times}, started: ['signal front-2 SIGHUP'], participants: []},
	{
		fault: {
			kind: 'endpoint-crashed', endpoint: 0, isSilent: true, cutForMs: 0, ...times,
		},
		started: ['crash desk-1 true'], ended: ['restart desk-1'], participants: ['desk-1'],
	},
	{
		fault: {
			kind: 'endpoint-cut', endpoint: 0, hasReports: true, ...times,
		},
		links: [['front-1', 'desk-1', 'cut'], ['desk-1', 'store', 'open'], ['front-1', 'desk-2', 'open']], participants: ['desk-1'],
	},
	{fault: {kind: 'orders-late', share: 1, ...times}, links: [['front-1', 'desk-1', 'late'], ['front-1', 'store', 'open']], participants: []},
	{
		fault: {
			kind: 'connections-reset', target: owner, endpoint: 0, ...times,
		},
		started: ['reset store front-2', 'reset desk-1'], participants: ['front-2'],
	},
];

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

describe('faults', () => {
	test.each(cases.map(each => ({...each, title: JSON.stringify(each.fault)})))('$title', ({
		fault, started = [], ended = [], links = [], participants,
	}) => {
		const {installation, calls, observations} = createFakeInstallation();
		const listStates = (): string[] => links.map(([from, to]) => installation.links.getState(from, to, true));
		const end = startFault(installation, fault, 1);
		expect(calls.splice(0)).toEqual(started);
		expect(listStates()).toEqual(links.map(link => link[2]));
		end();
		vi.runAllTimers();
		expect(calls).toEqual(ended);
		expect(listStates()).toEqual(links.map(() => 'open'));
		expect(observations).toMatchObject([{kind: 'fault-started', participants}, {kind: 'fault-ended', participants}]);
	});

	test('an endpoint that comes back behind a cut is out of reach for a while', () => {
		const {installation} = createFakeInstallation();
		startFault(installation, {
			kind: 'endpoint-crashed', endpoint: 0, isSilent: false, cutForMs: 3000, ...times,
		}, 1)();
		const before = installation.links.getState('front-1', 'desk-1', true);
		vi.advanceTimersByTime(3000);
		expect([before, installation.links.getState('front-1', 'desk-1', true)]).toEqual(['cut', 'open']);
	});

	const recut: FaultPlan = {
		kind: 'endpoints-recut', pool: 0, endpointCount: 3, firstEndpoint: 1, lateShare: 1, lateness: 'delayed', darkOrders: 'kept',
		cutAfterMs: 400, hasReports: false, killAfterMs: -100, ownerDownMs: 900, atMs: 0, durationMs: 10_500,
	};
	const listCalls = (name: string) => [2, 3, 4].map(number => name.replace('ID', `desk-${number}`));
	const crashes = listCalls('crash ID true kept');

	test.each([
		{
			title: 'loses answers', untilMs: 499, expected: [], link: 'delayed', reports: 'open',
		},
		{
			title: 'is down', untilMs: 999, expected: crashes, link: 'open', reports: 'open',
		},
		{
			title: 'is cut off as the owner starts again', untilMs: 1900, expected: [...crashes, 'signal front-2 SIGKILL', ...listCalls('restart ID'), 'start front-2'], link: 'cut', reports: 'cut',
		},
	])('an endpoint that is cut off after a restart $title', ({
		untilMs, expected, link, reports,
	}) => {
		const {installation, calls} = createFakeInstallation();
		const getStates = () => [['front-1', 'desk-2'], ['desk-2', 'store'], ['front-1', 'desk-1']].map(([from, to]) => installation.links.getState(from, to!, true));
		const end = startFault(installation, recut, 1);
		vi.advanceTimersByTime(untilMs);
		expect(calls).toEqual(expected);
		expect(getStates()).toEqual([link, reports, 'open']);
		end();
		vi.runAllTimers();
		expect([...getStates(), ...installation.endpoints.map(endpoint => endpoint.isUp())]).toEqual(['open', 'open', 'open', ...plan.endpoints.map(() => true)]);
	});
});
