import {
	type JobRequest, type Observation, type QueuePlan, type StepRequest,
} from '@pistachiogauge/platform/standins';
import {describe, expect, test} from 'vitest';
import {listViolations, type Rule} from './index.js';

type Case = {readonly title: string; readonly rules: readonly Rule[]; readonly observations: readonly Observation[]};

const jobId = '00000000000000a1';
const first = `${jobId}.0.0.0`;
const second = `${jobId}.0.1.0`;
const queues: readonly QueuePlan[] = [{queue: 'jobs', service: 'desk', attempts: 2}];
const plainStep: StepRequest = {
	taskCount: 1, cpuMillis: 500, memoryMb: 100, estimateMs: 700, after: [], isLongRunning: false, mayDuplicate: false,
};

function createJob(steps: ReadonlyArray<Partial<StepRequest>> = [{}]): JobRequest {
	return {
		jobId, queue: 'jobs', payload: 'ms=500', steps: steps.map(step => ({...plainStep, ...step})),
	};
}

function submit(status = 200, job = createJob(), at = 100): Observation {
	return {
		at, kind: 'submit-answered', job, isRepeat: false, entry: 'front-1', sentAt: at - 50, status,
	};
}

type StartChange = Partial<Extract<Observation, {kind: 'run-started'}>>;

function start(at: number, endpoint: string, run: number, change: StartChange = {}): Observation {
	return {
		at, kind: 'run-started', endpoint, bornAt: 1, taskId: first, run, payload: 'ms=500', token: 7, entry: 'front-1', isLate: false, isOverCapacity: false, ...change,
	};
}

function end(at: number, endpoint: string, outcome: 'done' | 'failed' | 'lapsed' = 'done', change: {readonly taskId?: string; readonly number?: number} = {}): Observation {
	return {
		at, kind: 'run-ended', endpoint, bornAt: 1, taskId: first, run: 1, outcome, number: 1, ...change,
	};
}

function acknowledge(at: number, endpoint: string, lastNumber = 1): Observation {
	return {
		at, kind: 'ends-acknowledged', endpoint, bornAt: 1, lastNumber, token: 7, entry: 'front-1',
	};
}

function show(at: number, status: number, state?: string, id = jobId): Observation {
	return {
		at, kind: 'state-answered', jobId: id, state, entry: 'front-1', sentAt: at - 20, status,
	};
}

function cancel(at: number, status = 200): Observation {
	return {
		at, kind: 'cancel-answered', jobId, entry: 'front-1', sentAt: at - 20, status,
	};
}

function countWaiting(at: number, waiting: number): Observation {
	return {
		at, kind: 'waiting-answered', queue: 'jobs', waiting, entry: 'front-1', sentAt: at - 20, status: 200,
	};
}

function delay(at: number, lateMs: number): Observation {
	return {
		at, kind: 'start-delayed', endpoint: 'e1', taskId: first, run: 1, lateMs,
	};
}

function disturb(startedAt: number, endedAt: number, participants: readonly string[], number = 1): Observation[] {
	return [
		{
			at: startedAt, kind: 'fault-started', number, fault: 'group-cut', participants,
		},
		{
			at: endedAt, kind: 'fault-ended', number, fault: 'group-cut', participants,
		},
	];
}

const doneFirst = [start(1000, 'e1', 1), end(1500, 'e1'), acknowledge(1600, 'e1')];
const failedTwice = [
	start(1000, 'e1', 1), end(1500, 'e1', 'failed'), acknowledge(1600, 'e1'), start(2000, 'e2', 2), end(2500, 'e2', 'failed'),
];
const duplicable = createJob([{mayDuplicate: true}]);
const chained = createJob([{}, {after: [0]}]);
const longRunning = createJob([{isLongRunning: true}]);
const faultsOver: Observation = {at: 5000, kind: 'faults-over'};

const cases: readonly Case[] = [
	{title: 'one run of each task', rules: [], observations: [submit(), ...doneFirst, show(1700, 200, 'done')]},
	{title: 'two runs at once', rules: ['twice'], observations: [submit(), start(1000, 'e1', 1), start(1200, 'e2', 2)]},
	{title: 'two runs at once on an order that was carried out late', rules: ['twice'], observations: [submit(), start(1000, 'e1', 1), start(1200, 'e2', 2, {isLate: true})]},
	{title: 'a start after the first run lapsed', rules: [], observations: [submit(), start(1000, 'e1', 1), end(1100, 'e1', 'lapsed'), start(1200, 'e2', 2)]},
	{
		title: 'a start after the endpoint of the first run crashed', rules: [], observations: [submit(), start(1000, 'e1', 1), {
			at: 1100, kind: 'endpoint-crashed', endpoint: 'e1', bornAt: 1,
		}, start(1200, 'e2', 2)],
	},
	{title: 'copies that the step allows', rules: [], observations: [submit(200, duplicable), start(1000, 'e1', 1), start(1200, 'e2', 2)]},
	{title: 'a start after an acknowledged end', rules: ['twice'], observations: [submit(), ...doneFirst, start(1700, 'e2', 2)]},
	{
		title: 'a start after an end that is acknowledged later',
		rules: ['twice'],
		observations: [submit(), start(1000, 'e1', 1), end(1500, 'e1'), start(1700, 'e2', 2), acknowledge(1800, 'e1')],
	},
	{title: 'a start after an end that is never acknowledged', rules: [], observations: [submit(), start(1000, 'e1', 1), end(1500, 'e1'), start(1700, 'e2', 2)]},
	{
		title: 'a start after an acknowledgement of earlier ends only',
		rules: [],
		observations: [submit(), start(1000, 'e1', 1), end(1500, 'e1', 'done', {number: 2}), acknowledge(1600, 'e1', 1), start(1700, 'e2', 2)],
	},
	{
		title: 'a lease that lapsed between the end and its acknowledgement', rules: [], observations: [submit(), start(1000, 'e1', 1), end(1500, 'e1'), {
			at: 1550, kind: 'lease-lapsed', endpoint: 'e1', bornAt: 1,
		}, acknowledge(1600, 'e1'), start(1700, 'e2', 2)],
	},
	{
		title: 'a lease that lapsed after the acknowledgement', rules: ['twice'], observations: [submit(), ...doneFirst, {
			at: 1650, kind: 'lease-lapsed', endpoint: 'e1', bornAt: 1,
		}, start(1700, 'e2', 2)],
	},
	{
		title: 'a crash between the end and its acknowledgement', rules: [], observations: [submit(), start(1000, 'e1', 1), end(1500, 'e1'), {
			at: 1550, kind: 'endpoint-crashed', endpoint: 'e1', bornAt: 1,
		}, acknowledge(1600, 'e1'), start(1700, 'e2', 2)],
	},
	{title: 'a copy soon after the acknowledged end', rules: [], observations: [submit(200, duplicable), ...doneFirst, start(2500, 'e2', 2)]},
	{title: 'a copy over a second after the acknowledged end', rules: ['twice'], observations: [submit(200, duplicable), ...doneFirst, start(2700, 'e2', 2)]},
	{
		title: 'a copy over a second after the job was shown as done',
		rules: ['twice'],
		observations: [submit(200, duplicable), start(1000, 'e1', 1), end(1500, 'e1'), show(1600, 200, 'done'), start(2700, 'e2', 2)],
	},
	{title: 'such a copy by an entry that is not in touch', rules: [], observations: [submit(200, duplicable), ...disturb(900, 1000, ['front-1']), ...doneFirst, start(2700, 'e2', 2)]},

	{title: 'a step after the one that it waits for', rules: [], observations: [submit(200, chained), ...doneFirst, start(1700, 'e1', 1, {taskId: second})]},
	{title: 'a step before the one that it waits for is done', rules: ['order'], observations: [submit(200, chained), start(1000, 'e1', 1), start(1200, 'e1', 1, {taskId: second})]},
	{
		title: 'a step after the one that it waits for failed',
		rules: ['order'],
		observations: [submit(200, chained), start(1000, 'e1', 1), end(1500, 'e1', 'failed'), start(1700, 'e1', 1, {taskId: second})],
	},

	{title: 'a start after the last failure allowed', rules: ['budget'], observations: [submit(), ...failedTwice, acknowledge(2600, 'e2'), start(3000, 'e1', 3)]},
	{title: 'a start after a failure that is not acknowledged', rules: [], observations: [submit(), ...failedTwice, start(3000, 'e1', 3)]},
	{title: 'a long-running task after its failures', rules: [], observations: [submit(200, longRunning), ...failedTwice, acknowledge(2600, 'e2'), start(3000, 'e1', 3)]},

	{title: 'a start of a job that nobody submitted', rules: ['unasked'], observations: [start(1000, 'e1', 1)]},
	{title: 'a start of a task that the job does not have', rules: ['unasked'], observations: [submit(), start(1000, 'e1', 1, {taskId: `${jobId}.0.0.1`})]},
	{title: 'a start with another payload', rules: ['unasked'], observations: [submit(), start(1000, 'e1', 1, {payload: 'ms=1'})]},
	{title: 'a start long after the cancellation', rules: ['unasked'], observations: [submit(), cancel(1000), start(4100, 'e1', 1)]},
	{title: 'such a start by an entry that is not in touch', rules: [], observations: [submit(), cancel(1000), ...disturb(1100, 1200, ['store']), start(4100, 'e1', 1)]},
	{title: 'a run that goes on after the cancellation', rules: ['unasked'], observations: [submit(), start(900, 'e1', 1), cancel(1000), end(5000, 'e1')]},
	{title: 'such a run with a fault near', rules: [], observations: [submit(), start(900, 'e1', 1), cancel(1000), ...disturb(2000, 2100, ['e1']), end(5000, 'e1')]},

	{title: 'a start of a job that was rejected', rules: ['refused'], observations: [submit(503), submit(429), start(1000, 'e1', 1)]},
	{title: 'a start of a job without an answer', rules: [], observations: [submit(503), submit(0), start(1000, 'e1', 1)]},
	{title: 'a start that exceeds the capacity', rules: ['limit'], observations: [submit(), start(1000, 'e1', 1, {isOverCapacity: true})]},

	{title: 'a job shown as done too early', rules: ['mixed'], observations: [submit(), start(1000, 'e1', 1), show(1200, 200, 'done')]},
	{title: 'a job shown that nobody submitted', rules: ['mixed'], observations: [show(1200, 200, 'queued', 'f')]},
	{title: 'a state that cannot be read', rules: ['mixed'], observations: [submit(), show(1200, 200)]},
	{title: 'too few waiting jobs', rules: ['mixed'], observations: [submit(), countWaiting(5200, 0)]},
	{title: 'the count of waiting jobs', rules: [], observations: [submit(), countWaiting(5200, 1)]},
	{title: 'too few waiting jobs, soon after they came', rules: [], observations: [submit(), countWaiting(5000, 0)]},
	{title: 'too few waiting jobs at an entry that is not in touch', rules: [], observations: [submit(), ...disturb(2000, 2300, ['front-1']), countWaiting(5200, 0)]},

	{title: 'too few waiting jobs while a start is delayed', rules: [], observations: [submit(), delay(1000, 6000), countWaiting(6900, 0), countWaiting(11_900, 0)]},
	{title: 'too few waiting jobs after a delayed start did not take place', rules: ['mixed'], observations: [submit(), delay(1000, 6000), countWaiting(12_100, 0)]},

	{title: 'an accepted job that is not known', rules: ['lost'], observations: [submit(), show(3200, 410)]},
	{title: 'an accepted job that is not known yet', rules: [], observations: [submit(), show(3000, 410)]},
	{title: 'a cancelled job that is not known', rules: [], observations: [submit(), cancel(1000), show(3200, 410)]},
	{title: 'a job shown as failed without cause', rules: ['lost'], observations: [submit(), start(1000, 'e1', 1), end(1500, 'e1', 'failed'), show(1600, 200, 'failed')]},
	{title: 'a job shown as failed', rules: [], observations: [submit(), ...failedTwice, show(2600, 200, 'failed')]},
	{title: 'a job shown as cancelled without cause', rules: ['lost'], observations: [submit(), show(1600, 200, 'cancelled')]},
	{title: 'a job that stays queued after the faults', rules: ['lost'], observations: [submit(), faultsOver, show(20_000, 200, 'queued')]},
	{title: 'a job that still runs after the faults', rules: [], observations: [submit(), faultsOver, start(18_000, 'e1', 1), show(20_000, 200, 'running')]},
	{title: 'a job without an answer after the faults', rules: ['lost'], observations: [submit(), faultsOver, show(20_000, 0)]},
	{
		title: 'a long-running task that is not restarted',
		rules: ['lost'],
		observations: [submit(200, longRunning), start(1000, 'e1', 1), end(1500, 'e1', 'lapsed'), faultsOver, show(20_000, 200, 'running')],
	},
	{
		title: 'a process that ends by itself', rules: ['exit'], observations: [{
			at: 900, kind: 'entry-exited', entry: 'front-1', pid: 1, isOwnEnd: true,
		}],
	},
];

describe('checks of a run', () => {
	test.each(cases)('$title', ({rules, observations}) => {
		expect(listViolations(observations, queues).map(({rule}) => rule)).toEqual(rules);
	});
});
