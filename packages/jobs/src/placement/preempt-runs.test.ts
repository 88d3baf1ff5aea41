import {describe, expect, it} from 'vitest';
import {
	type ClientAccount, type JobEffect, type JobRecord, type StepSpec,
} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const account: ClientAccount = {
	name: 'a', keyHashes: [], priority: 0, weight: 100, cap: {cpuMillis: 0, memoryMb: 0, gpus: 0},
};

type Case = {
	readonly name: string;
	/** The job whose runs fill the only endpoint, of 16 cores, when the other arrives. */
	readonly running?: Partial<StepSpec>;
	readonly runningTraits?: Partial<JobRecord>;
	readonly waiting?: Partial<StepSpec>;
	readonly waitingTraits?: Partial<JobRecord>;
	/** Progress of the runs when the other job arrives. */
	readonly percent?: number;
	readonly accounts?: readonly ClientAccount[] | undefined;
	/** Number of runs that are stopped. */
	readonly expected: number;
};

const cases: readonly Case[] = [
	{name: 'an urgent task finds no room beside checkpointed runs of a lower priority', expected: 1},
	{name: 'an urgent job of four tasks does so, and no job loses more than two runs', waiting: {count: 4}, expected: 2},
	{name: 'the runs write no checkpoints', running: {isCheckpointing: false}, expected: 0},
	{name: 'the runs are long-running and may be missed only one at a time', running: {isLongRunning: true, missLimit: 1}, expected: 0},
	{name: 'the runs are those of a gang', running: {isGang: true}, expected: 0},
	{name: 'the runs end soon', percent: 95, expected: 0},
	{name: 'the urgent job has time to wait', waitingTraits: {priority: 0, latencyTargetMs: 60_000}, expected: 0},
	{name: 'a stop would come too late for the urgent job', waitingTraits: {priority: 0, latencyTargetMs: 0}, expected: 0},
	{name: 'both jobs have priority 0 and the same value', runningTraits: {priority: 0}, expected: 0},
	{
		name: 'the waiting job has a lower priority', runningTraits: {priority: 0}, waitingTraits: {priority: 2}, expected: 0,
	},
	{
		name: 'the waiting job has the higher value, as the other is late', runningTraits: {priority: 2, latencyTargetMs: 0, stretch: 0.5}, waitingTraits: {priority: 1}, expected: 1,
	},
	{name: 'the deployment has no accounts', accounts: undefined, expected: 0},
];

/** Fills an endpoint with a job, adds another one, and lists the tasks that are stopped within a second. */
function listStoppedTasks(input: Case): {readonly tasks: string[]; readonly effects: JobEffect[]} {
	const {running, runningTraits, waiting, waitingTraits, percent = 10} = input;
	const accounts = 'accounts' in input ? input.accounts : [account];
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: []});
	owner.apply({
		kind: 'configuration-changed', configuration: {
			version: 1, queues: [], pools: [], accounts, limits: {
				headerBytes: 0, bodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0,
			},
		},
	}, 0);
	const large = createTestJob('large', [{
		count: 16, estimateMs: 20_000, isCheckpointing: true, ...running,
	}], {
		priority: 2, latencyTargetMs: 60_000, account: 'a', ...runningTraits,
	});
	const urgent = createTestJob('urgent', [waiting ?? {}], {
		priority: 0, latencyTargetMs: 1200, acceptedAt: 1000, account: 'a', ...waitingTraits,
	});
	const effects: JobEffect[] = [];
	for (let now = 25; now < 2000; now += 25) {
		if (now === 100 || now === 1000) {
			effects.push(...owner.apply({kind: 'job-recorded', stored: createStoredTestJob(now === 100 ? large : urgent)}, now));
		}

		const runs = [...owner.state.supervision.endpoints.get('e1')!.runs.values()].map(({taskId, run}) => ({
			taskId, run, checkpoint: '', percent: now < 1000 ? 1 : percent, load: 0,
		}));
		effects.push(...owner.apply({...createTestPollAnswer('e1', 1000 + now), running: runs}, now), ...owner.apply({kind: 'tick'}, now));
	}

	return {tasks: [...new Set(effects.flatMap(effect => effect.kind === 'stop-task' ? [effect.taskId] : []))], effects};
}

describe('preemptRuns', () => {
	// Guards against urgent jobs that miss their objective behind long runs that could resume later, and against stops that cost more than the wait.
	it.each(cases)('stops $expected runs if $name', input => {
		const {tasks, effects} = listStoppedTasks(input);
		expect(tasks).toHaveLength(input.expected);
		expect(tasks.every(taskId => taskId.startsWith('large'))).toBe(true);
		const count = effects.flatMap(effect => effect.kind === 'count' && effect.metric.startsWith('runs_preempted_total') ? [effect.by] : []).reduce((sum, by) => sum + by, 0);
		expect(count).toBe(input.expected);
	});
});
