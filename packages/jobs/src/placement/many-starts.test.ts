import {createChain, createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {jobFilters, type applyJobEvent} from '../apply-job-event.js';
import {type JobFilter} from '../filter.js';
import {type JobsState} from '../jobs-state.js';
import {type JobEffect, type JobEvent, type StepSpec} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, type TestOwner,
} from '../testing.test-support.js';
import {placementFilter} from './placement-filter.js';

const endpointIds = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
const smallTask: Partial<StepSpec> = {room: {cpuMillis: 1, memoryMb: 4, gpus: 0}, estimateMs: 400};
/** Unanswered starts for which an endpoint has time before they are no longer valid. */
const maxUnanswered = 100;

/** Lets an owner place tasks for a while on endpoints that answer no start. */
function playUnanswered(steps: ReadonlyArray<Partial<StepSpec>>): {readonly owner: TestOwner; readonly effects: JobEffect[]} {
	const jobs = steps.map((step, number) => createStoredTestJob(createTestJob(`job${number}`, [step])));
	const owner = createTestOwner({roster: {endpointIds}, endpoints: endpointIds, jobs});
	const effects: JobEffect[] = [];
	for (let now = 25; now <= 300; now += 25) {
		effects.push(...owner.apply({kind: 'tick'}, now));
		if (now === 50) {
			for (const id of endpointIds) {
				effects.push(...owner.apply(createTestPollAnswer(id, 1000 + now), now));
			}
		}
	}

	return {owner, effects};
}

function listLedgerRuns({state}: Pick<TestOwner, 'state'>): string[] {
	const steps = [...state.ledger.pools.get('desk')!.jobs.values()].flatMap(job => [...job.steps.values()]);
	const tasks = steps.flatMap(({tasks: {started}}) => [...started.values()]);
	return tasks.flatMap(({id, runs}) => [...runs].map(([run, endpointId]) => `${id} ${run} ${endpointId}`)).sort();
}

function listSupervisedRuns({state}: Pick<TestOwner, 'state'>): string[] {
	return [...state.supervision.endpoints.values()].flatMap(({id, runs}) => [...runs.values()].map(({taskId, run}) => `${taskId} ${run} ${id}`)).sort();
}

// Guards against jobs that stand still for good as so many tasks are placed at once that a list is too long for one call, or starts wait until they are not valid any more.
const cases: ReadonlyArray<{readonly name: string; readonly steps: ReadonlyArray<Partial<StepSpec>>}> = [
	{name: 'jobs of many small tasks', steps: Array.from({length: 5}, () => ({...smallTask, count: 16_000}))},
	{name: 'small jobs beside large ones', steps: [{...smallTask, count: 20_000}, {...smallTask, count: 20_000}, {...smallTask, count: 3}, {...smallTask, count: 1}]},
	{name: 'long-running tasks beside large jobs', steps: [{...smallTask, count: 20_000}, {...smallTask, count: 20_000}, {...smallTask, count: 4, isLongRunning: true}]},
	{name: 'a gang beside large jobs', steps: [{...smallTask, count: 20_000}, {...smallTask, count: 20_000}, {...smallTask, count: 12, isGang: true}]},
];

describe('an owner that has room for a great many tasks at once', () => {
	it.each(cases)('starts something of each job at once: $name', ({steps}) => {
		const {owner, effects} = playUnanswered(steps);
		expect(effects.filter(({kind}) => kind === 'handler-failed')).toEqual([]);
		const starts = effects.flatMap(effect => effect.kind === 'start-task' ? [effect] : []);
		expect(new Set(starts.map(({taskId}) => taskId.split('.', 1)[0])).size).toBe(steps.length);
		for (const id of endpointIds) {
			expect(starts.filter(({target}) => target.endpointId === id).length).toBeLessThanOrEqual(maxUnanswered);
		}

		expect(listLedgerRuns(owner)).toEqual(listSupervisedRuns(owner));
	});
});

/** Creates the chain with a placement filter that fails once, after it has placed tasks. */
function createFailingChain(): typeof applyJobEvent {
	let hasFailed = false;
	const place = placementFilter.handlers['placement-due']!;
	const failingFilter: JobFilter<JobsState> = {
		...placementFilter,
		handlers: {
			...placementFilter.handlers,
			'placement-due'(state, event, context) {
				const outputs = place(state, event, context);
				if (!hasFailed && outputs.some(output => output.kind === 'first' && output.event.kind === 'task-placed')) {
					hasFailed = true;
					throw new Error('handler fails');
				}

				return outputs;
			},
		},
	};
	return createChain<JobsState, JobEvent, JobEffect>(jobFilters.map(filter => filter === placementFilter ? failingFilter : filter));
}

// Guards against tasks that count as running for good, as a handler has failed after it recorded their starts and before these were sent.
it('an owner whose placement has failed once starts the tasks later', () => {
	const applyEvent = createFailingChain();
	const {state} = createTestOwner({roster: {endpointIds}, endpoints: endpointIds, jobs: [createStoredTestJob(createTestJob('job', [{count: 20}]))]});
	const random = createRandomSource(1);
	const effects: JobEffect[] = [];
	for (let now = 25; now <= 500; now += 25) {
		const context = {now, wallTime: now, random};
		effects.push(...applyEvent(state, {kind: 'tick'}, context));
		for (const [id, {generation}] of state.supervision.endpoints) {
			effects.push(
				...applyEvent(state, {...createTestPollAnswer(id, 1000 + now), generation}, context),
				...applyEvent(state, {
					kind: 'claim-confirmed', name: 'pool/desk', token: 7, requestedAt: {now, wallTime: now},
				}, context),
			);
		}
	}

	expect(effects.filter(({kind}) => kind === 'handler-failed')).toHaveLength(1);
	expect(new Set(effects.flatMap(effect => effect.kind === 'start-task' ? [effect.taskId] : [])).size).toBe(20);
	expect(listLedgerRuns({state})).toEqual(listSupervisedRuns({state}));
});
