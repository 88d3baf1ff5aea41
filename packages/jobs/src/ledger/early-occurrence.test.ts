import {describe, expect, it} from 'vitest';
import {type JobEvent, type ProgressRecord, type Roster} from '../model/index.js';
import {
	createStoredTestJob, createStepSpec, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

const taskId = 'job.0.0.0';
const firstStep = '0.0';
const secondStep = '1.0';
const observedUntil = 6000;

type Case = {
	readonly name: string;
	/** When the occurrence is due by the new owner's clock, which shows 0 when it loads the pool. */
	readonly startAtMs: number;
	readonly repeatCount?: number;
	/** What the previous owner has left. */
	readonly progress?: Partial<ProgressRecord>;
	readonly roster?: Roster;
	/** What the endpoint answers, given the last end that is acknowledged and the time; without an answer it is silent. */
	readonly listRuns: (lastSavedEnd: number, now: number) => Pick<Extract<JobEvent, {kind: 'poll-answered'}>, 'running' | 'ended'> | undefined;
};

/** Lists the starts and stops of a task by a new owner; an endpoint reports a run of it that the previous owner has started. */
function listOrders({startAtMs, repeatCount = 2, progress, roster = {endpointIds: ['e1']}, listRuns}: Case): {readonly orders: string[]; readonly saved: readonly ProgressRecord[]} {
	const job = createStoredTestJob(createTestJob('job', [], {
		spec: {
			payload: '', steps: [createStepSpec()], repeatCount, startAtMs, intervalMs: 60_000,
		},
	}));
	const owner = createTestOwner({roster, endpoints: ['e1', 'e2'], jobs: [{...job, progress: {...job.progress, ...progress}}]});
	let lastSavedEnd = 0;
	const orders: string[] = [];
	const saved: ProgressRecord[] = [];
	for (let now = 25; now < observedUntil; now += 25) {
		const listed = listRuns(lastSavedEnd, now);
		const effects = [
			...owner.apply(createTestPollAnswer('e2', 1000 + now), now),
			...owner.apply(listed === undefined
				? {
					kind: 'poll-refused', endpointId: 'e1', token: 7, generation: lastGeneration, refusal: 'no-answer',
				}
				: {...createTestPollAnswer('e1', 1000 + now), ...listed}, now),
			...owner.apply({kind: 'tick'}, now),
		];
		for (const effect of effects) {
			lastSavedEnd = effect.kind === 'poll-endpoint' && effect.target.endpointId === 'e1' ? Math.max(lastSavedEnd, effect.lastSavedEnd) : lastSavedEnd;
			if (effect.kind === 'start-task' || effect.kind === 'stop-task') {
				orders.push(`${effect.kind} ${effect.taskId}`);
			}

			if (effect.kind === 'save-progress') {
				saved.push(...effect.records.map(record => record.progress));
			}
		}
	}

	return {orders, saved};
}

const listEnd: Case['listRuns'] = lastSavedEnd => ({
	running: [], ended: lastSavedEnd < 1
		? [{
			number: 1, taskId, run: 1, outcome: 'done', checkpoint: '',
		}]
		: [],
});
const listRun: Case['listRuns'] = (_lastSavedEnd, now) => ({
	running: [{
		taskId, run: 1, checkpoint: '', percent: now / 100, load: 0,
	}], ended: [],
});

// Guards against a task that runs twice, as the clock of the new owner is behind and it has not created the occurrence yet: what endpoints report of it was acknowledged without being saved, or ignored.
const cases: readonly Case[] = [
	{name: 'its end is listed when it is due', startAtMs: 0, listRuns: listEnd},
	{name: 'its end is listed before it is due', startAtMs: 3000, listRuns: listEnd},
	{name: 'its run is listed before it is due', startAtMs: 3000, listRuns: listRun},
	{
		name: 'its end was saved by a previous owner before it is due', startAtMs: 3000, progress: {steps: {[firstStep]: 'd'}}, listRuns: () => ({running: [], ended: []}),
	},
	{
		name: 'its run was recorded for a silent endpoint before it is due', startAtMs: 3000, roster: {endpointIds: ['e2'], silentRuns: {e1: [{taskId, run: 1}]}}, listRuns: () => undefined,
	},
];

describe('a task of an occurrence that a previous owner has started', () => {
	it.each(cases)('is neither started again nor stopped if $name', input => {
		expect(listOrders(input).orders).toEqual([]);
	});

	it('is not started before the occurrence is due, even if other tasks of it are', () => {
		const {orders} = listOrders({
			name: '', startAtMs: 30_000, progress: {steps: {[secondStep]: 'd'}}, listRuns: () => ({running: [], ended: []}),
		});
		expect(orders).toEqual([]);
	});

	const savedCases: ReadonlyArray<Omit<Case, 'listRuns'> & {readonly expected: ProgressRecord['steps']}> = [
		{name: 'its end is listed when it is due', startAtMs: 0, expected: {[firstStep]: 'd'}},
		{name: 'its end is listed before it is due', startAtMs: 3000, expected: {[firstStep]: 'd'}},
		{
			name: 'the end of an earlier one is saved before it is due', startAtMs: 0, progress: {steps: {[secondStep]: 'd'}}, expected: {[firstStep]: 'd', [secondStep]: 'd'},
		},
	];

	it.each(savedCases)('stays saved as done if $name', ({expected, ...input}) => {
		const {saved} = listOrders({...input, listRuns: listEnd});
		expect(saved.find(({steps}) => steps[firstStep] === 'd')?.steps).toEqual(expected);
	});

	// Guards against a job that never ends, as its last task had ended before the new owner created the last occurrence.
	const endedCases: readonly Case[] = [
		...cases.filter(({name}) => name.startsWith('its end')),
		{
			name: 'its end was saved by a previous owner and it is due', startAtMs: 0, progress: {steps: {[firstStep]: 'd'}}, listRuns: () => ({running: [], ended: []}),
		},
	];

	it.each(endedCases)('ends its job if it is the last one and $name', input => {
		expect(listOrders({...input, repeatCount: 1}).saved.at(-1)?.status).toBe('done');
	});
});
