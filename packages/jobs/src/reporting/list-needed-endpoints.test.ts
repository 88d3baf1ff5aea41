import {expect, it} from 'vitest';
import {createJobsState} from '../jobs-state.js';
import {createPoolLedger, findTask} from '../ledger/ledger-state.js';
import {keepTask, listPendingTasks} from '../ledger/task-table.js';
import {type StepSpec} from '../model/index.js';
import {
	createTestEndpoint, createTestJob, createTestRun, createTestSupervisedEndpoint,
} from '../testing.test-support.js';
import {listNeededEndpoints} from './list-needed-endpoints.js';

const now = 5000;
/** The endpoints `a` and `b` are being evacuated, `c` is not; all have 16 cores and 64,000 MB. */
const endpointIds = ['a', 'b', 'c'];
const evacuatedIds = ['a', 'b'];

type Case = {
	readonly name: string;
	readonly step: Partial<StepSpec>;
	/** Time for which the tasks wait. */
	readonly waitedMs?: number;
	/** Endpoints that run a task of the step: its first, second and so on. */
	readonly running?: readonly string[];
	readonly silent?: readonly string[];
	/** Cores that other tasks take on the endpoint `a`. */
	readonly usedCores?: number;
	readonly isRetryDelayed?: boolean;
	readonly expected: readonly string[];
};

// Guards against endpoints that stand empty while tasks wait which only they can run, and against giving back more than these need (issue 35).
const cases: readonly Case[] = [
	{name: 'one task waits', step: {}, expected: ['a']},
	{name: 'tasks wait that fit on one endpoint together', step: {count: 16}, expected: ['a']},
	{name: 'tasks wait that need two endpoints by their size', step: {count: 17}, expected: ['a', 'b']},
	{name: 'tasks wait that need two endpoints by their limit', step: {count: 2, endpointLimit: 1}, expected: ['a', 'b']},
	{name: 'tasks wait that need two endpoints by their memory', step: {count: 2, room: {cpuMillis: 10, memoryMb: 40_000, gpus: 0}}, expected: ['a', 'b']},
	{
		name: 'a task waits that may not run beside another of its step', step: {count: 2, endpointLimit: 1, isLongRunning: true}, running: ['a'], expected: ['b'],
	},
	{
		name: 'a task waits that does not fit beside others', step: {room: {cpuMillis: 9000, memoryMb: 100, gpus: 0}}, usedCores: 8, expected: ['b'],
	},
	{name: 'a task waits that fits on no endpoint', step: {room: {cpuMillis: 17_000, memoryMb: 100, gpus: 0}}, expected: []},
	{name: 'a task waits for a label', step: {requiredLabel: 'rack-2'}, expected: []},
	{
		name: 'a task has become ready a second ago', step: {}, waitedMs: 1000, expected: [],
	},
	{
		name: 'a task waits while others of its job run', step: {count: 2}, running: ['c'], expected: [],
	},
	{
		name: 'a long-running task waits while others of its job run', step: {count: 2, isLongRunning: true}, running: ['c'], expected: ['a'],
	},
	{
		name: 'the evacuated endpoints do not answer', step: {}, silent: evacuatedIds, expected: [],
	},
	{
		name: 'a task is to be started again later', step: {isLongRunning: true}, isRetryDelayed: true, expected: [],
	},
	{
		name: 'all tasks run', step: {count: 2}, running: ['c', 'c'], expected: [],
	},
];

it.each(cases)('evacuated endpoints are needed if $name: $expected', ({step, waitedMs = 2000, running = [], silent = [], usedCores = 0, isRetryDelayed = false, expected}) => {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const pool = createPoolLedger({pool: 'desk', token: 1, now: 0});
	const job = createTestJob('job', [step]);
	pool.activeJobs.add(job);
	for (const task of listPendingTasks(job.steps.get('0.0')!)) {
		keepTask(task);
		task.idleSince = now - waitedMs;
		if (isRetryDelayed) {
			state.observation.earlyEnds.set(task, {count: 1, retryAt: now + 1});
		}
	}

	for (const [index, id] of running.entries()) {
		findTask({jobs: new Map([['job', job]])}, `job.0.0.${index}`)!.runs.set(1, id);
	}

	for (const id of endpointIds) {
		const runs = new Map(id === 'a' ? Array.from({length: usedCores}, (_, index) => [`other.0.0.${index}`, createTestRun(`other.0.0.${index}`)] as const) : []);
		state.directory.endpoints.set(id, createTestEndpoint(id, 'desk'));
		state.supervision.endpoints.set(id, createTestSupervisedEndpoint(id, 'desk', {phase: silent.includes(id) ? 'silent' : 'answering', runs}));
	}

	for (const id of evacuatedIds) {
		state.evacuation.requests.set(id, {
			requestId: id, pool: 'desk', endpointId: id, machine: `machine-of-${id}`, purpose: 'move', dueAt: 0,
		});
	}

	expect(listNeededEndpoints(state, pool, now)).toEqual(expected);
});
