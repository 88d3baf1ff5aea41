import {type JobRequest, type Observation, type StepRequest} from '@pistachiogauge/platform/standins';
import {expect, test} from 'vitest';
import {checkIdle} from './check-idle.js';
import {createRunRecord} from './run-record.js';

const jobId = '00000000000000a1';
const firstTask = `${jobId}.0.0.0`;
const secondTask = `${jobId}.0.0.1`;
const plainStep: StepRequest = {
	taskCount: 1, cpuMillis: 500, memoryMb: 100, estimateMs: 700, after: [], isLongRunning: false, mayDuplicate: false,
};
const servingStep = {
	...plainStep, taskCount: 2, isLongRunning: true, endpointLimit: 1,
};

function submit(steps: readonly StepRequest[] = [plainStep]): Observation {
	const job: JobRequest = {
		jobId, queue: 'jobs', payload: '', steps,
	};
	return {
		at: 0, kind: 'submit-answered', job, isRepeat: false, entry: 'front-1', sentAt: 0, status: 200,
	};
}

function list(endpoint: string, traits: Partial<Extract<Observation, {kind: 'endpoint-listed'}>> = {}): Observation[] {
	return [
		{
			at: 0, kind: 'endpoint-started', endpoint, bornAt: 1,
		},
		{
			at: 0, kind: 'endpoint-listed', endpoint, bornAt: 1, service: 'desk', cpuMillis: 1000, memoryMb: 1000, labels: ['kind-a'], ...traits,
		},
	];
}

function start(at: number, taskId: string, endpoint: string): Observation {
	return {
		at, kind: 'run-started', endpoint, bornAt: 1, taskId, run: 1, payload: '', token: 7, entry: 'front-1', isLate: false, isOverCapacity: false,
	};
}

function end(at: number, taskId: string, endpoint: string, outcome: 'done' | 'failed' = 'failed'): Observation {
	return {
		at, kind: 'run-ended', endpoint, bornAt: 1, taskId, run: 1, outcome, number: 1,
	};
}

function disturb(at: number): Observation[] {
	return (['fault-started', 'fault-ended'] as const).map(kind => ({
		at, kind, number: 1, fault: 'endpoint-cut', participants: ['e9'],
	}));
}

/** The last observation, at which a record ends. */
const finish = (at: number): Observation => ({at, kind: 'faults-over'});

type Case = {readonly title: string; readonly observations: readonly Observation[]; readonly subjects: readonly string[]};

const job = `job ${jobId}`;
const cases: readonly Case[] = [
	{title: 'a job that waits for 3 s beside an endpoint with room', observations: [submit(), ...list('e1'), finish(3600)], subjects: [job]},
	{title: 'a job that waits for less', observations: [submit(), ...list('e1'), finish(2700)], subjects: []},
	{title: 'a job that waits while the endpoint has room only once', observations: [submit(), ...list('e1', {cpuMillis: 900}), finish(9000)], subjects: []},
	{title: 'a job that waits beside an endpoint of another pool', observations: [submit(), ...list('e1', {service: 'notify'}), finish(9000)], subjects: []},
	{title: 'a job that waits for a label', observations: [submit([{...plainStep, requiredLabel: 'kind-b'}]), ...list('e1'), finish(9000)], subjects: []},
	{
		title: 'a job that waits beside an endpoint that is down', observations: [submit(), ...list('e1'), {
			at: 100, kind: 'endpoint-crashed', endpoint: 'e1', bornAt: 1,
		}, finish(9000)], subjects: [],
	},
	{
		title: 'a job that waits beside an endpoint that is not registered', observations: [submit(), ...list('e1'), {at: 100, kind: 'endpoint-unlisted', endpoint: 'e1'}, finish(9000)], subjects: [],
	},
	{title: 'a job that waits after a fault', observations: [submit(), ...list('e1'), ...disturb(100), finish(6900)], subjects: []},
	{title: 'a job that waits for long after a fault', observations: [submit(), ...list('e1'), ...disturb(100), finish(7600)], subjects: [job]},
	{title: 'a job that runs', observations: [submit(), ...list('e1'), start(500, firstTask, 'e1'), finish(9000)], subjects: []},
	{title: 'a job that is done', observations: [submit(), ...list('e1'), start(500, firstTask, 'e1'), end(900, firstTask, 'e1', 'done'), finish(9000)], subjects: []},
	{
		title: 'a job that is cancelled', observations: [submit(), ...list('e1'), {
			at: 600, kind: 'cancel-answered', jobId, entry: 'front-1', sentAt: 500, status: 200,
		}, finish(9000)], subjects: [],
	},
	{
		title: 'a second step that waits', observations: [submit([plainStep, {...plainStep, after: [0]}]), ...list('e1'), start(500, firstTask, 'e1'), end(900, firstTask, 'e1', 'done'), finish(4600)], subjects: [job],
	},
	{
		title: 'a long-running task that has not run for 9 s beside an endpoint that may run it', observations: [submit([servingStep]), ...list('e1'), ...list('e2'), start(100, firstTask, 'e1'), finish(9600)], subjects: [`long-running task ${secondTask}`],
	},
	{
		title: 'a long-running task that has not run for less', observations: [submit([servingStep]), ...list('e1'), ...list('e2'), start(100, firstTask, 'e1'), finish(8900)], subjects: [],
	},
	{
		title: 'a long-running task that waits as its limit is reached', observations: [submit([servingStep]), ...list('e1', {cpuMillis: 9000}), start(100, firstTask, 'e1'), finish(12_000)], subjects: [],
	},
	{
		title: 'long-running tasks that fail and are started again', observations: [
			submit([servingStep]), ...list('e1'), ...list('e2'), start(100, firstTask, 'e1'), start(100, secondTask, 'e2'), end(4000, secondTask, 'e2'), start(10_000, secondTask, 'e2'), finish(12_000),
		], subjects: [],
	},
];

test.each(cases)('idle work is found: $title', ({observations, subjects}) => {
	const sorted = [...observations].sort((left, right) => left.at - right.at);
	const violations = checkIdle(createRunRecord(sorted, [{queue: 'jobs', service: 'desk', attempts: 2}]));
	expect(violations.map(({message}) => message.split(' does not run', 1)[0])).toEqual(subjects);
});
