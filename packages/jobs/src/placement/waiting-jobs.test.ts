import {describe, expect, it} from 'vitest';
import {type JobEffect, type JobRecord, type StepSpec} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const endpointIds = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
const storedAt = 500;
/** The waiting jobs have been accepted this long before the others. */
const waitMs = 2000;
/** Searches are at most 50 ms apart, and the 25 ms tick starts them. */
const startBoundMs = 150;

type Case = {
	readonly name: string;
	/** Jobs that cannot start, and what each of them asks for. */
	readonly count?: number;
	readonly step: Partial<StepSpec>;
	readonly traits?: Partial<JobRecord>;
	/** Why they wait, by the log; an advised job waits for another endpoint once all are barred. */
	readonly reason: string;
};

const room = (cpuMillis: number, memoryMb = 100) => ({room: {cpuMillis, memoryMb, gpus: 0}});

/** Lets a job with longer tasks have less slack: it is due when they end, and others 600 ms later. */
function getOrdinaryTraits({estimateMs = 0}: Partial<StepSpec>): Partial<JobRecord> {
	return {stretch: 1.2, latencyTargetMs: estimateMs > 1000 ? 0 : 600};
}

/** Plays a pool of idle endpoints, jobs that wait in it, and ordinary ones that are stored later. */
function play({count = 30, step, traits}: Omit<Case, 'name' | 'reason'>, ordinary: ReadonlyArray<Partial<StepSpec>>, observedMs: number): {readonly startedAt: Map<string, number>; readonly logs: Array<Readonly<Record<string, unknown>>>; readonly counts: Map<string, number>} {
	const owner = createTestOwner({roster: {endpointIds}, endpoints: endpointIds, jobs: []});
	const startedAt = new Map<string, number>();
	const logs: Array<Readonly<Record<string, unknown>>> = [];
	const counts = new Map<string, number>();
	const collect = (effects: readonly JobEffect[], now: number) => {
		for (const effect of effects) {
			if (effect.kind === 'start-task') {
				startedAt.set(effect.taskId, startedAt.get(effect.taskId) ?? now);
			}

			if (effect.kind === 'log' && effect.message === 'jobs have waited for endpoints') {
				logs.push(effect.fields);
			}

			if (effect.kind === 'count') {
				counts.set(effect.metric, (counts.get(effect.metric) ?? 0) + effect.by);
			}

			if (effect.kind === 'ask-advice') {
				collect(owner.apply({
					kind: 'advice-answered', pool: effect.pool, stepId: effect.stepId, endpointIds: effect.endpointIds, tickets: new Map(), validMs: 1000, isComplete: true,
				}, now), now);
			}
		}
	};

	for (let now = 25; now < storedAt + waitMs + observedMs; now += 25) {
		if (now === storedAt) {
			for (let number = 0; number < count; number++) {
				collect(owner.apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob(`waiting${number}`, [step], {acceptedAt: now, ...traits}))}, now), now);
			}
		}

		if (now === storedAt + waitMs) {
			for (const [number, spec] of ordinary.entries()) {
				collect(owner.apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob(`ordinary${number}`, [spec], {acceptedAt: now, ...getOrdinaryTraits(spec)}))}, now), now);
			}
		}

		for (const id of endpointIds) {
			const runs = [...owner.state.supervision.endpoints.get(id)!.runs.values()].map(({taskId, run}) => ({
				taskId, run, checkpoint: '', percent: Math.min(99, (now - (startedAt.get(taskId) ?? now)) / 100), load: 0,
			}));
			collect(owner.apply({...createTestPollAnswer(id, 1000 + now), running: runs}, now), now);
		}

		collect(owner.apply({kind: 'tick'}, now), now);
	}

	return {startedAt, logs, counts};
}

const advised: Partial<JobRecord> = {advice: {decideMs: 20, eachMs: 1, validMs: 1000}};

const cases: readonly Case[] = [
	{
		name: 'want a label that no endpoint has and are long-running', step: {...room(300), isLongRunning: true, requiredLabel: 'b'}, reason: 'no-endpoint',
	},
	{
		name: 'want a label that no endpoint has and are past their objective', step: {requiredLabel: 'b', estimateMs: 100}, traits: {stretch: 1, latencyTargetMs: 1}, reason: 'no-endpoint',
	},
	{
		name: 'want more memory than an endpoint has', step: {...room(300, 100_000), isLongRunning: true}, reason: 'no-endpoint',
	},
	{
		name: 'have more tasks than their limit lets endpoints run', step: {
			...room(10), count: 7, endpointLimit: 1, isLongRunning: true,
		}, reason: 'endpoint-limit',
	},
	{
		name: 'are gangs that do not fit', step: {
			...room(9000), count: 7, isGang: true, isLongRunning: true,
		}, reason: 'gang',
	},
	{
		name: 'are barred from all endpoints', step: {...room(300), isLongRunning: true}, traits: advised, reason: 'no-endpoint',
	},
	{
		name: 'have no room', step: {...room(15_900), count: 7, isLongRunning: true}, count: 1, reason: 'no-room',
	},
	{
		name: 'number thousands', count: 2000, step: {...room(300), isLongRunning: true, requiredLabel: 'b'}, reason: 'no-endpoint',
	},
];

describe('jobs behind others that cannot start', () => {
	// Guards against a pool whose endpoints stay idle, as a search for tasks to start ended after 24 steps that fit on no endpoint (review/2).
	it.each(cases)('start at once if the others $name', input => {
		const {startedAt} = play(input, [room(50), {...room(50), count: 4}, room(50)], startBoundMs + 25);
		const starts = [...startedAt].filter(([taskId]) => taskId.startsWith('ordinary'));
		expect(starts).toHaveLength(6);
		expect(Math.max(...starts.map(([, at]) => at))).toBeLessThanOrEqual(storedAt + waitMs + startBoundMs);
	});

	// Guards against waiting jobs that cannot be told apart in the logs.
	it.each(cases)('are told apart in a log line every 5 s if they $name', input => {
		const {logs, counts} = play(input, [], 12_000);
		expect(logs.length).toBeGreaterThanOrEqual(2);
		expect(logs.length).toBeLessThanOrEqual(3);
		expect(logs.at(-1)).toMatchObject({
			pool: 'desk', endpoints: endpointIds.length, counts: {[input.reason]: input.count ?? 30}, endpointUses: {usable: {count: endpointIds.length}},
		});
		expect(counts.get(`jobs_unplaced_total{reason="${input.reason}"}`)).toBeGreaterThan(0);
	});

	// Guards against jobs that count as work for the pool's endpoints though none can take them, so that a job with less slack is started after a smaller one.
	it('are not displaced by them', () => {
		const others = {count: 400, step: {...room(1000), count: 2, requiredLabel: 'b'}, traits: {latencyTargetMs: waitMs + 500}};
		const fill = {...room(15_000), count: 6, isLongRunning: true};
		const small = {...room(900), count: 6, estimateMs: 300};
		const large = {...room(900), count: 12, estimateMs: 1200};
		const {startedAt} = play(others, [fill, large, small], 300);
		const started = [...startedAt.keys()].filter(taskId => !taskId.startsWith('ordinary0'));
		expect(started.map(taskId => taskId.split('.', 1)[0])).toEqual(Array.from({length: 6}, () => 'ordinary1'));
	});
});
