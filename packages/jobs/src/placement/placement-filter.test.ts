import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {createJobsState} from '../jobs-state.js';
import {createPoolLedger} from '../ledger/ledger-state.js';
import {type JobEvent} from '../model/index.js';
import {
	createTestEndpoint, createTestJob, createTestSupervisedEndpoint, holdTestClaim,
} from '../testing.test-support.js';
import {placementFilter} from './placement-filter.js';

const random = createRandomSource(1);
const poolName = 'desk';

/** Lists the times at which a pool is searched, given the time and kind of each event. */
function listSearches(events: ReadonlyArray<readonly [number, 'placement-due' | 'tick']>): number[] {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const pool = createPoolLedger({pool: poolName, token: 1, now: 0});
	state.ledger.pools.set(poolName, pool);
	holdTestClaim(state, poolName, 0);
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

// Load pattern: in a burst, tasks of a pool end every few ms. A search after each of them kept the event loop of the owner busy, so that everything else waited.
const cases: ReadonlyArray<{readonly name: string; readonly events: ReadonlyArray<readonly [number, 'placement-due' | 'tick']>; readonly expected: readonly number[]}> = [
	{name: 'the first change starts a search at once', events: [[100, 'placement-due']], expected: [100]},
	{name: 'several changes from one input share a search', events: [[100, 'placement-due'], [100, 'placement-due'], [110, 'tick']], expected: [100]},
	{name: 'changes within 8 ms of a search share the next one', events: [[100, 'placement-due'], [103, 'placement-due'], [106, 'placement-due'], [109, 'placement-due']], expected: [100, 109]},
	{name: 'a delayed change is handled by the next tick', events: [[100, 'placement-due'], [103, 'placement-due'], [105, 'tick']], expected: [100, 105]},
	{name: 'without changes, a pool is searched again after 50 ms', events: [[100, 'placement-due'], [125, 'tick'], [149, 'tick'], [151, 'tick']], expected: [100, 151]},
];

describe('placementFilter', () => {
	it.each(cases)('$name', ({events, expected}) => {
		expect(listSearches(events)).toEqual(expected);
	});
});
