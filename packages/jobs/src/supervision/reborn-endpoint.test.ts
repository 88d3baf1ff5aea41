import {describe, expect, it} from 'vitest';
import {type JobEvent, type JobEventOf, type ReportedRun} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const taskId = 'job.0.0.0';
/** Start times of the endpoint's two lives. */
const lives = {first: 1, second: 5000} as const;
/** The first life's clock is ahead of the owner's by this time; the second life's starts anew. */
const firstClockMs = 500_000;
/** When the endpoint starts its second life, under the same id and at the same address. */
const rebornAt = 2000;
const observedUntil = 2500;
/** From then on the owner starts tasks on the second life, if it has answered by 2300. */
const usableFrom = 4000;

type Step = {readonly at: number; readonly event: (run: number) => JobEvent};

type Case = {
	readonly name: string;
	/** When the job is stored; its task is started on the reborn endpoint at once, as the other one is full. */
	readonly storedAt: number;
	readonly steps: readonly Step[];
	readonly until?: number;
	/** Endpoints on which the task has been started. */
	readonly expected: readonly string[];
};

const createRun = (run: number): ReportedRun => ({
	taskId, run, checkpoint: '', percent: 10, load: 0,
});

function createAnswer(life: keyof typeof lives, at: number, running: readonly ReportedRun[] = []): JobEventOf<'poll-answered'> {
	return {
		...createTestPollAnswer('reborn', life === 'first' ? firstClockMs + at : at - rebornAt), startedAt: lives[life], running,
	};
}

/** Lists the endpoints on which an owner starts a task while the one that it was started on first has a second life and goes on running it. */
function listStarts({storedAt, steps, until = observedUntil}: Case): string[] {
	const owner = createTestOwner({roster: {endpointIds: ['reborn', 'spare']}, endpoints: ['reborn', 'spare'], jobs: []});
	const starts: string[] = [];
	let lastRun = 0;
	const apply = (event: JobEvent, now: number) => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				starts.push(effect.target.endpointId);
				lastRun = effect.run;
			}
		}
	};

	for (let now = 25; now < until; now += 25) {
		if (now < rebornAt && now % 100 === 0) {
			apply(createAnswer('first', now, starts.length > 0 ? [createRun(lastRun)] : []), now);
		}

		// The spare endpoint is not known to answer until the task has been started.
		if (starts.length > 0 && now % 100 === 0) {
			apply(createTestPollAnswer('spare', 1000 + now), now);
		}

		if (now === storedAt) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('job', [{}]))}, now);
		}

		for (const {event} of steps.filter(({at}) => at === now)) {
			apply(event(lastRun), now);
		}

		apply({kind: 'tick'}, now);
	}

	return starts;
}

const listed: Step = {at: 2200, event: () => ({kind: 'endpoint-changed', endpoint: createTestEndpoint('reborn', 'desk', {startedAt: lives.second})})};

const cases: readonly Case[] = [
	{
		name: 'nothing is heard of the second life', storedAt: 2100, steps: [], expected: ['reborn'],
	},
	{
		name: 'the run belongs to the first life',
		storedAt: 1000,
		steps: [
			{
				at: 1100, event: run => ({
					kind: 'start-answered', endpointId: 'reborn', token: 7, taskId, run, clockMs: firstClockMs + 1100,
				}),
			},
			listed,
			{at: 2300, event: () => createAnswer('second', 2300)},
		],
		// The second life is not used yet.
		expected: ['reborn', 'spare'],
	},
	{
		// Guards against a run of the second life that counts as gone when the directory lists that life.
		name: 'the start reached the second life and its answer was lost',
		storedAt: 2100,
		steps: [listed],
		expected: ['reborn'],
	},
	{
		name: 'the second life has answered the start',
		storedAt: 2100,
		steps: [{
			at: 2150, event: run => ({
				kind: 'start-answered', endpointId: 'reborn', token: 7, taskId, run, clockMs: 150,
			}),
		}, listed],
		expected: ['reborn'],
	},
	{
		// Guards against an answer of the first life that arrives late and counts as another restart.
		name: 'an answer of the first life arrives after one of the second',
		storedAt: usableFrom,
		until: usableFrom + 500,
		steps: [
			listed,
			{at: 2225, event: () => createAnswer('second', 2225)},
			{at: usableFrom + 100, event: run => createAnswer('second', usableFrom + 100, [createRun(run)])},
			{at: usableFrom + 150, event: () => ({...createAnswer('first', 1975), generation: 0})},
		],
		expected: ['reborn'],
	},
];

describe('a task whose endpoint starts again under the same id', () => {
	it.each(cases)('is started on $expected if $name', input => {
		expect(listStarts(input)).toEqual(input.expected);
	});
});
