import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {createJobsState} from '../jobs-state.js';
import {createPoolLedger, findTask} from '../ledger/ledger-state.js';
import {
	createTestEndpoint, createTestJob, createTestRun, createTestSupervisedEndpoint, holdTestClaim,
} from '../testing.test-support.js';
import {evacuationFilter} from './evacuation-filter.js';

const random = createRandomSource(1);
const poolName = 'desk';
const surveyedAt = 10_000;

type Input = {
	readonly now: number;
	readonly isLongRunning?: boolean;
	/** Whether the pool's previous owner is known to be fenced on all endpoints. */
	readonly isSurveyed?: boolean;
	/** Whether the other task of the step is not serving. */
	readonly isOtherUnavailable?: boolean;
	/** Start time of the process that the directory lists as draining, instead of a request. */
	readonly drainingProcess?: number;
};

/** Start time of the processes that answer. */
const startedAt = 5;

/** Lists the tasks that are stopped to evacuate an endpoint for maintenance. */
function listStops({
	now, isLongRunning = true, isSurveyed = true, isOtherUnavailable = false, drainingProcess,
}: Input): string[] {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const pool = createPoolLedger({pool: poolName, token: 1, now: 0});
	const job = createTestJob('job', [{
		count: 2, isLongRunning, missLimit: 1, isCheckpointing: true, estimateMs: 5000,
	}]);
	pool.jobs.set('job', job);
	pool.activeJobs.add(job);
	state.ledger.pools.set(poolName, pool);
	holdTestClaim(state, poolName, now);
	state.supervision.pools.set(poolName, {
		pool: poolName, token: 1, acquiredAt: surveyedAt - 100, unsurveyedIds: new Set(), evacuatedIds: new Set(), formerEndpoints: new Map(), surveyedAt: isSurveyed ? surveyedAt : undefined,
	});
	for (const [index, id] of ['a', 'b'].entries()) {
		const taskId = `job.0.0.${index}`;
		const percent = isOtherUnavailable && id === 'b' ? 10 : 100;
		state.directory.endpoints.set(id, createTestEndpoint(id, poolName, id === 'a' && drainingProcess !== undefined ? {state: 'draining', startedAt: drainingProcess} : {startedAt}));
		state.supervision.endpoints.set(id, createTestSupervisedEndpoint(id, poolName, {
			startedAt,
			runs: new Map([[taskId, createTestRun(taskId, {
				phase: 'running', isLongRunning, percent: isLongRunning ? percent : 10, startedAt: now - 1000, startedClockMs: now - 1000, progressedClockMs: now,
			})]]),
		}));
		findTask({jobs: new Map([['job', job]])}, taskId)!.runs.set(1, id);
	}

	if (drainingProcess === undefined) {
		state.evacuation.requests.set('a', {
			requestId: 'first', pool: poolName, endpointId: 'a', machine: 'machine-a', purpose: 'maintenance', dueAt: now + 5000,
		});
	}

	return evacuationFilter.handlers.tick!(state, {kind: 'tick'}, {now, wallTime: now, random})
		.flatMap(output => output.kind === 'first' && output.event.kind === 'run-stop-requested' ? [output.event.taskId] : []);
}

// Guards against two serving tasks of a step being unavailable at once: a stop of the previous owner takes up to 900 ms, and until then its task is listed as running.
const cases: ReadonlyArray<{readonly name: string; readonly expected: readonly string[]} & Input> = [
	{name: 'a serving task is moved', now: surveyedAt + 1300, expected: ['job.0.0.0']},
	{
		name: 'a serving task is not moved while another one of its step is unavailable', now: surveyedAt + 1300, isOtherUnavailable: true, expected: [],
	},
	{name: 'a serving task is not moved while stops of the previous owner may be in progress', now: surveyedAt + 1000, expected: []},
	{
		name: 'a serving task is not moved before the previous owner is fenced on all endpoints', now: surveyedAt + 1300, isSurveyed: false, expected: [],
	},
	{
		name: 'a task that ends by itself is stopped without waiting for stops of the previous owner', now: surveyedAt + 100, isLongRunning: false, expected: ['job.0.0.0'],
	},
	{
		name: 'a serving task leaves a draining endpoint', now: surveyedAt + 100, drainingProcess: startedAt, expected: ['job.0.0.0'],
	},
	{
		// Guards against serving tasks that are stopped as a process before a restart was draining.
		name: 'a serving task stays if an earlier process was draining', now: surveyedAt + 100, drainingProcess: startedAt - 1, expected: [],
	},
];

describe('evacuationFilter', () => {
	it.each(cases)('$name', ({expected, ...input}) => {
		expect(listStops(input)).toEqual(expected);
	});
});

it('an evacuation is confirmed under the claim on the pool, whatever token the orders to its endpoint carry', () => {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	holdTestClaim(state, poolName, surveyedAt);
	state.supervision.pools.set(poolName, {
		pool: poolName, token: 1, acquiredAt: 0, unsurveyedIds: new Set(), evacuatedIds: new Set(), formerEndpoints: new Map(), surveyedAt,
	});
	state.supervision.endpoints.set('a', createTestSupervisedEndpoint('a', poolName, {token: 2}));
	state.evacuation.requests.set('a', {
		requestId: 'first', pool: poolName, endpointId: 'a', machine: 'machine-a', purpose: 'move', dueAt: 0,
	});
	const outputs = evacuationFilter.handlers.tick!(state, {kind: 'tick'}, {now: surveyedAt, wallTime: surveyedAt, random});
	expect(outputs.flatMap(output => output.kind === 'sink' && output.effect.kind === 'confirm-evacuation' ? [output.effect.token] : [])).toEqual([1]);
});
