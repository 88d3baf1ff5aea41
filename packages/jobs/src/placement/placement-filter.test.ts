import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {createJobsState} from '../jobs-state.js';
import {createPoolLedger} from '../ledger/ledger-state.js';
import {type JobEvent} from '../model/index.js';
import {createTestEndpoint, createTestJob, createTestSupervisedEndpoint} from '../testing.test-support.js';
import {placementFilter} from './placement-filter.js';

const random = createRandomSource(1);
const poolName = 'desk';

/** Times at which a pool is searched, given events written as `at kind`. */
function listSearches(events: ReadonlyArray<readonly [number, 'placement-due' | 'tick']>): number[] {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const pool = createPoolLedger({pool: poolName, token: 1, now: 0});
	state.ledger.pools.set(poolName, pool);
	const job = createTestJob('job', [{room: {cpuMillis: 64_000, memoryMb: 1, gpus: 0}}]);
	pool.jobs.set('job', job);
	pool.activeJobs.add(job);
	pool.rosterEndpointIds = new Set(['endpoint-1']);
	state.directory.endpoints.set('endpoint-1', createTestEndpoint('endpoint-1', poolName));
	state.supervision.endpoints.set('endpoint-1', createTestSupervisedEndpoint('endpoint-1', poolName));
	const searches: number[] = [];
	for (const [now, kind] of events) {
		const event: JobEvent = kind === 'tick' ? {kind} : {kind, pool: poolName};
		const outputs = placementFilter.handlers[kind]!(state, event as never, {now, wallTime: now, random});
		if (outputs.some(output => output.kind === 'sink' && output.effect.kind === 'count' && output.effect.metric === 'placement_searches_total')) {
			searches.push(now);
		}
	}

	return searches;
}

// Pattern: a pool's turn, in which ends of tasks come every few ms. A search for each of them kept the owner's loop busy all the time, and all else waited.
const cases: ReadonlyArray<{readonly name: string; readonly events: ReadonlyArray<readonly [number, 'placement-due' | 'tick']>; readonly expected: readonly number[]}> = [
	{name: 'the first change is seen at once', events: [[100, 'placement-due']], expected: [100]},
	{name: 'several changes of one input are seen by one search', events: [[100, 'placement-due'], [100, 'placement-due'], [110, 'tick']], expected: [100]},
	{name: 'changes within 8 ms wait for each other', events: [[100, 'placement-due'], [103, 'placement-due'], [106, 'placement-due'], [109, 'placement-due']], expected: [100, 109]},
	{name: 'a change that had to wait is seen by the next tick', events: [[100, 'placement-due'], [103, 'placement-due'], [105, 'tick']], expected: [100, 105]},
	{name: 'with no change, a pool is searched again after 50 ms', events: [[100, 'placement-due'], [125, 'tick'], [149, 'tick'], [151, 'tick']], expected: [100, 151]},
];

describe('placementFilter', () => {
	it.each(cases)('$name', ({events, expected}) => {
		expect(listSearches(events)).toEqual(expected);
	});
});
