import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {createJobsState} from '../jobs-state.js';
import {createPoolLedger} from '../ledger/ledger-state.js';
import {type PoolReport, type StepSpec} from '../model/index.js';
import {
	createTestEndpoint, createTestJob, createTestRun, createTestSupervisedEndpoint, holdTestClaim,
} from '../testing.test-support.js';
import {reportingFilter} from './reporting-filter.js';

const random = createRandomSource(1);
const poolName = 'desk';

type Input = {
	readonly steps: ReadonlyArray<Partial<StepSpec>>;
	/** Tasks that run on each endpoint; those whose name begins with `long` are long-running. */
	readonly endpoints: Readonly<Record<string, readonly string[]>>;
	/** Endpoints that do not answer. */
	readonly silent?: readonly string[];
	/** When the job ends in ms. */
	readonly endsAt?: number;
};

/** Lists the reports that a pool's owner publishes on ticks at the given times, with these times. */
function listReports({steps, endpoints, silent = [], endsAt = Number.POSITIVE_INFINITY}: Input, at: readonly number[]): Array<readonly [number, PoolReport]> {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const pool = createPoolLedger({pool: poolName, token: 1, now: 0});
	state.ledger.pools.set(poolName, pool);
	if (steps.length > 0) {
		const job = createTestJob('job', steps);
		pool.jobs.set('job', job);
		pool.activeJobs.add(job);
	}

	for (const [id, taskIds] of Object.entries(endpoints)) {
		state.directory.endpoints.set(id, createTestEndpoint(id, poolName));
		state.supervision.endpoints.set(id, createTestSupervisedEndpoint(id, poolName, {
			phase: silent.includes(id) ? 'silent' : 'answering',
			runs: new Map(taskIds.map(taskId => [taskId, createTestRun(taskId, {isLongRunning: taskId.startsWith('long')})])),
		}));
	}

	const reports: Array<readonly [number, PoolReport]> = [];
	for (const now of at) {
		if (now >= endsAt) {
			pool.activeJobs.clear();
		}

		for (const output of reportingFilter.handlers.tick!(state, {kind: 'tick'}, {now, wallTime: now, random})) {
			if (output.kind === 'sink' && output.effect.kind === 'publish-report') {
				reports.push([now, output.effect.report]);
			}
		}
	}

	return reports;
}

const long: Partial<StepSpec> = {isLongRunning: true, count: 5, endpointLimit: 2};

const contents: ReadonlyArray<{readonly name: string; readonly expected: Partial<PoolReport>} & Input> = [
	{
		name: 'resources of long-running tasks count as needed', steps: [long], endpoints: {a: []}, expected: {neededMillis: 5000, backlogMillis: 5000},
	},
	{
		// Load pattern: tasks that fill the memory of their endpoints while CPU is left. An endpoint has 16 cores and 64,000 MB.
		name: 'a pool whose memory is used up first needs the CPU that goes with it', steps: [{...long, room: {cpuMillis: 1000, memoryMb: 12_000, gpus: 0}}], endpoints: {a: []}, expected: {neededMillis: 15_000, backlogMillis: 15_000},
	},
	{
		name: 'long-running tasks need as many endpoints as their limit per endpoint requires', steps: [long], endpoints: {a: []}, expected: {endpointMinimum: 3},
	},
	{
		// Guards against counting endpoints whose machine has left as capacity.
		name: 'silent endpoints are not usable', steps: [], endpoints: {a: [], b: []}, silent: ['b'], expected: {usableEndpoints: ['a'], releasableEndpoints: ['a']},
	},
	{
		name: 'endpoints with the least work are released first, those with long-running tasks never', steps: [], endpoints: {
			a: ['one', 'two'], b: ['long'], c: ['three'], d: [],
		}, expected: {releasableEndpoints: ['d', 'c', 'a']},
	},
];

// Load pattern: a burst that a pool keeps up with. Its work starts at once, so that little of it is left to be counted.
const arrivals = [
	{name: 'a job that has just arrived', endsAt: 1000, at: [300]},
	{name: 'a job that has ended since', endsAt: 400, at: [300, 500]},
] as const;

// Guards against a pool being ignored because its report has not changed and is treated as outdated.
const times = [
	{name: 'an unchanged report is not published on every tick', at: [1000, 1200, 1400, 1900], expected: [1000]},
	{name: 'an unchanged report is published again after a second', at: [1000, 1500, 2000, 2500, 3000], expected: [1000, 2000, 3000]},
] as const;

describe('reportingFilter', () => {
	it.each(contents)('$name', ({expected, ...input}) => {
		expect(listReports(input, [1000])[0]?.[1]).toMatchObject(expected);
	});

	it.each(arrivals)('counts the whole work of $name as arriving', ({at, endsAt}) => {
		// One core for 600 ms, of which half counts, over the longer window.
		expect(listReports({steps: [{estimateMs: 600}], endpoints: {a: []}, endsAt}, at).at(-1)?.[1].arrivingMillis).toBeGreaterThanOrEqual(250);
	});

	it.each(times)('$name', ({at, expected}) => {
		expect(listReports({steps: [], endpoints: {a: []}}, at).map(([now]) => now)).toEqual(expected);
	});
});

// Guards against a count of waiting jobs that leaves out those accepted while the pool's owner did not reach the store.
it.each([
	{
		name: 'the store has confirmed the claim', reachedAt: undefined, confirmedAt: 900, expected: 900,
	},
	{
		name: 'the claim was never confirmed', reachedAt: undefined, confirmedAt: undefined, expected: 0,
	},
	{
		name: 'the store has just been reached again', reachedAt: 800, confirmedAt: 900, expected: 0,
	},
	{
		name: 'the store was reached again some time ago', reachedAt: -1600, confirmedAt: 900, expected: 900,
	},
])('a report tells when it was current if $name', ({reachedAt, confirmedAt, expected}) => {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	state.ledger.pools.set(poolName, createPoolLedger({pool: poolName, token: 1, now: 0}));
	if (confirmedAt !== undefined) {
		holdTestClaim(state, poolName, confirmedAt);
	}

	if (reachedAt !== undefined) {
		reportingFilter.handlers['store-reached']!(state, {kind: 'store-reached'}, {now: reachedAt, wallTime: reachedAt, random});
	}

	const outputs = reportingFilter.handlers.tick!(state, {kind: 'tick'}, {now: 1000, wallTime: 1000, random});
	expect(outputs.flatMap(output => output.kind === 'sink' && output.effect.kind === 'publish-report' ? [output.effect.report.confirmedAt] : [])).toEqual([expected]);
});
