import {describe, expect, it} from 'vitest';
import {
	type ClientAccount, type JobEffect, type JobRecord, type ReportedEnd, type StepSpec,
} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const account: ClientAccount = {
	name: 'a', keyHashes: [], priority: 0, weight: 100, cap: {cpuMillis: 0, memoryMb: 0, gpus: 0},
};

/** Number of the first run of a job's tasks. */
const firstRun = 1;

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

/** Progress of a run, which always rises a little; the first run of each task is at the given percentage once the other job has arrived. */
function getPercent({taskId, run}: {readonly taskId: string; readonly run: number}, now: number, percent: number): number {
	const risen = now / 100_000;
	if (now < 1000) {
		return 1 + risen;
	}

	return (taskId.startsWith('large') && run > firstRun ? 7 : percent) + risen;
}

/** Fills an endpoint with a job, adds another one, and lists the tasks that are stopped within three seconds. */
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
	const ends: ReportedEnd[] = [];
	let endNumber = 0;
	const startedAt = new Map<string, number>();
	for (let now = 25; now < 4000; now += 25) {
		if (now === 100 || now === 1000) {
			effects.push(...owner.apply({kind: 'job-recorded', stored: createStoredTestJob(now === 100 ? large : urgent)}, now));
		}

		// A stopped run ends at once and resumes from a checkpoint at 7 percent; a task of the urgent job takes 500 ms.
		const runs = [...owner.state.supervision.endpoints.get('e1')!.runs.values()];
		const ended = runs.filter(({taskId, stopRequestedAt}) => stopRequestedAt !== undefined || now >= (startedAt.get(taskId) ?? now) + 500);
		for (const {taskId, run, stopRequestedAt} of ended) {
			endNumber += 1;
			ends.push({
				number: endNumber, taskId, run, outcome: stopRequestedAt === undefined ? 'done' : 'stopped', checkpoint: '7',
			});
		}

		const running = runs.filter(run => !ended.includes(run)).map(({taskId, run}) => ({
			taskId, run, checkpoint: '', percent: getPercent({taskId, run}, now, percent), load: 0,
		}));
		for (const {taskId} of running.filter(run => run.taskId.startsWith('urgent'))) {
			startedAt.set(taskId, startedAt.get(taskId) ?? now);
		}

		effects.push(...owner.apply({...createTestPollAnswer('e1', 1000 + now), running, ended: ends}, now), ...owner.apply({kind: 'tick'}, now));
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

	// Guards against discarded work that is not measured. A run at 10 percent of 20 s on a core resumes at 7 percent.
	it('measures the discarded work when the task resumes', () => {
		const {effects} = listStoppedTasks({name: 'one run', expected: 1});
		const discarded = effects.flatMap(effect => effect.kind === 'count' && effect.metric === 'preempted_work_discarded_core_ms_total' ? [effect.by] : []);
		const resumed = effects.flatMap(effect => effect.kind === 'log' && effect.message === 'preempted task resumed' ? [effect.fields] : []);
		expect(discarded).toHaveLength(1);
		expect(resumed).toMatchObject([{discardedCoreMs: discarded[0]}]);
		expect(Number(resumed[0]!.percentBefore) - Number(resumed[0]!.percent)).toBeCloseTo(3, 1);
		// The duration is predicted from the progress, which rises slowly here: 10 to 20 s.
		expect(discarded[0]).toBeGreaterThanOrEqual(290);
		expect(discarded[0]).toBeLessThanOrEqual(610);
	});
});
