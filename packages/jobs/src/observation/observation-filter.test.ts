import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {
	type DurationModel, type JobEvent, type ReportedRun, type RunId,
} from '../model/index.js';
import {
	createStepSpec, createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, createTestRun, createTestSupervisedEndpoint,
} from '../testing.test-support.js';
import {observationFilter} from './observation-filter.js';
import {createDurationPredictor} from './observation-state.js';

/** An answer of the endpoint: when it reaches the owner, and the endpoint's clock and the percentage of each run in it. */
type Answer = {readonly at: number; readonly clockMs: number; readonly percents: readonly number[]};

/** Lists the runs that the owner stops, while two tasks of one second each run on the only endpoint from 100 ms on. */
function listStops(answers: readonly Answer[]): string[] {
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [createStoredTestJob(createTestJob('job', [{count: 2}]))]});
	const runs: RunId[] = [];
	const stops: string[] = [];
	const apply = (event: JobEvent, now: number) => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				runs.push({taskId: effect.taskId, run: effect.run});
			}

			if (effect.kind === 'stop-task') {
				stops.push(effect.taskId.split('.').at(-1)!);
			}
		}
	};

	const answer = ({at, clockMs, percents}: Answer) => {
		const running: ReportedRun[] = percents.map((percent, index) => ({
			...runs[index]!, checkpoint: '', percent, load: 1000,
		}));
		apply({...createTestPollAnswer('e1', clockMs), running}, at);
	};

	apply({kind: 'tick'}, 25);
	answer({at: 50, clockMs: 1050, percents: []});
	apply({kind: 'tick'}, 75);
	apply({kind: 'tick'}, 100);
	for (const {taskId, run} of runs) {
		apply({
			kind: 'start-answered', endpointId: 'e1', token: 7, taskId, run, clockMs: 1110,
		}, 110);
	}

	for (const each of answers) {
		answer(each);
	}

	return stops;
}

// Guards against work that is started again elsewhere because its endpoint was slow to report, or because the owner itself was paused.
const cases: ReadonlyArray<{readonly name: string; readonly answers: readonly Answer[]; readonly stops: readonly string[]}> = [
	{
		name: 'runs that make no progress are moved', answers: [
			{at: 600, clockMs: 1600, percents: [50, 50]},
			{at: 1600, clockMs: 2600, percents: [50, 50]},
			{at: 2400, clockMs: 3400, percents: [50, 50]},
		], stops: ['0', '1'],
	},
	{
		name: 'an answer that waited while the owner was paused says nothing about progress', answers: [
			{at: 600, clockMs: 1600, percents: [50, 50]},
			{at: 3800, clockMs: 1650, percents: [50, 50]},
		], stops: [],
	},
	{
		name: 'an answer that arrives 2 s late does not make runs slow', answers: [
			{at: 2900, clockMs: 1900, percents: [30, 30]},
			{at: 2950, clockMs: 1950, percents: [34, 34]},
		], stops: [],
	},
	{
		// Load pattern: callers whose estimates are off by orders of magnitude.
		name: 'runs of one step that take many times their estimate are left alone', answers: [
			{at: 1100, clockMs: 2100, percents: [12, 12]},
			{at: 2100, clockMs: 3100, percents: [25, 25]},
			{at: 3100, clockMs: 4100, percents: [37, 37]},
		], stops: [],
	},
	{
		name: 'an instance that was suspended has not stalled', answers: [
			{at: 600, clockMs: 1600, percents: [50, 50]},
			{at: 4000, clockMs: 1700, percents: [50, 50]},
			{at: 4100, clockMs: 1800, percents: [58, 58]},
		], stops: [],
	},
];

describe('observation', () => {
	it.each(cases)('$name', ({answers, stops}) => {
		expect(listStops(answers)).toEqual(stops);
	});
});

// Guards against a new owner that takes callers' estimates for true again: it orders too few machines until hundreds of tasks have ended.
const takeovers: ReadonlyArray<{readonly name: string; readonly durationModels: Readonly<Record<string, DurationModel>>; readonly predicted: number}> = [
	{name: 'nothing was measured', durationModels: {}, predicted: 100},
	{
		name: 'the previous owner has measured the queue', durationModels: {
			prints: {
				count: 500, meanLogEstimate: Math.log(100), meanLogDuration: Math.log(800), variance: 0.8, covariance: 0,
			},
		}, predicted: 800,
	},
];

describe('a new owner', () => {
	it.each(takeovers)('predicts durations from what is known: $name', ({durationModels, predicted}) => {
		const owner = createTestOwner({
			roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [], durationModels,
		});
		const predict = createDurationPredictor(owner.state, 'prints');
		expect(Math.abs(predict(createStepSpec({estimateMs: 100}), undefined) - predicted)).toBeLessThan(predicted * 0.05);
	});
});

// Guards against a run that counts as stalled as soon as a restarted endpoint has confirmed it, and an endpoint that is avoided for it.
it.each([
	{name: 'it was confirmed just now', clockMs: 3010, isStopped: false},
	{name: 'it has made no progress since it was confirmed', clockMs: 4700, isStopped: true},
])('a run without progress on a restarted endpoint is stopped ($isStopped) if $name', ({clockMs, isStopped}) => {
	const job = createTestJob('job', [{}]);
	const {state} = createTestOwner({roster: {endpointIds: []}, endpoints: [], jobs: [createStoredTestJob(job)]});
	const run = createTestRun('job.0.0.0', {phase: 'running', progressedClockMs: 0, confirmedClockMs: 3000});
	state.supervision.endpoints.set('e1', createTestSupervisedEndpoint('e1', 'desk', {clockMs, runs: new Map([[run.taskId, run]])}));
	const outputs = observationFilter.handlers['poll-answered']!(state, createTestPollAnswer('e1', clockMs), {now: 5000, wallTime: 5000, random: createRandomSource(1)});
	expect(outputs.some(output => output.kind === 'first' && output.event.kind === 'run-stop-requested')).toBe(isStopped);
	expect(state.observation.endpoints.has('e1')).toBe(isStopped);
});

// Guards against durations that a new owner takes for short, as it has seen only the rest of the runs of the previous one.
it.each([
	{name: 'the previous owner has started', isAdopted: true, count: undefined},
	{name: 'it has started itself', isAdopted: false, count: 1},
])('an owner takes note of the duration of a run that $name: $count', ({isAdopted, count}) => {
	const {state, apply} = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [createStoredTestJob(createTestJob('job', [{}]))]});
	const step = state.ledger.pools.get('desk')!.jobs.get('job')!.steps.get('0.0')!;
	const report = {
		taskId: 'job.0.0.0', run: 9, checkpoint: '', load: 0,
	};
	apply({kind: 'tick'}, 25);
	apply({...createTestPollAnswer('e1', 1050), running: isAdopted ? [{...report, percent: 80}] : []}, 50);
	const start = apply({kind: 'tick'}, 75).find(effect => effect.kind === 'start-task');
	const run = start?.run ?? report.run;
	apply({...createTestPollAnswer('e1', 2050), running: [{...report, run, percent: 90}]}, 1050);
	expect(state.observation.stepDurations.has(step)).toBe(!isAdopted);
	apply({
		...createTestPollAnswer('e1', 2575), ended: [{
			...report, run, number: 1, outcome: 'done',
		}],
	}, 1575);
	expect(state.observation.durationModels.get('prints')?.count).toBe(count);
});
