import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {
	type JobEvent, type JobEventOf, type OrderTarget, type ReportedEnd, type ReportedRun, type Roster,
} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, listTestConfirmations,
} from '../testing.test-support.js';

const random = createRandomSource(1);
const pool = 'desk';
const token = 7;
/** Maximum number of ends in one answer. */
const maxEndsPerAnswer = 500;
/** Timeout of an order that an endpoint does not answer. */
const orderTimeoutMs = 700;
/** Time for which the new owner is observed; the leases of its predecessor last longer. */
const observedMs = 1500;
/** Time between an order and its answer. */
const answerDelayMs = 50;

type Report = Pick<JobEventOf<'poll-answered'>, 'ended' | 'running'>;

/** Report of an endpoint at its n-th poll, from 1; undefined if it does not answer. */
type Reporter = (poll: number) => Report | undefined;

type Case = {
	readonly name: string;
	readonly roster: Roster;
	/** Listed endpoints. */
	readonly endpoints: Readonly<Record<string, Reporter>>;
	/** Endpoints that the previous owner has evacuated. */
	readonly evacuated?: readonly string[];
	/** Answer of the store to all saves. */
	readonly saveResult?: JobEventOf<'progress-saved'>['result'];
	readonly expected: readonly string[];
};

function createPollEvent({endpointId, generation}: OrderTarget, report: Report | undefined, now: number): JobEvent {
	return report === undefined
		? {
			kind: 'poll-refused', endpointId, token, generation, refusal: 'no-answer',
		}
		: {
			kind: 'poll-answered', endpointId, token, generation, clockMs: 1000 + now, startedAt: 1, ...report,
		};
}

/** Lists the tasks that a new owner starts of a pool whose only job, `job`, has one task. */
function listStartedTasks({roster, endpoints, evacuated = [], saveResult = 'applied'}: Omit<Case, 'name' | 'expected'>): string[] {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const started: string[] = [];
	const polls = new Map<string, number>();
	const due: Array<{readonly at: number; readonly event: JobEvent}> = [];
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of applyJobEvent(state, event, {now, wallTime: now, random})) {
			if (effect.kind === 'start-task') {
				started.push(effect.taskId);
			}

			due.push(...listTestConfirmations(effect, token, {now, wallTime: now}).map(confirmation => ({at: now + answerDelayMs, event: confirmation})));
			if (effect.kind === 'poll-endpoint') {
				const {endpointId} = effect.target;
				const poll = (polls.get(endpointId) ?? 0) + 1;
				polls.set(endpointId, poll);
				const report = endpoints[endpointId]?.(poll);
				due.push({at: now + (report === undefined ? orderTimeoutMs : answerDelayMs), event: createPollEvent(effect.target, report, now)});
			}

			if (effect.kind === 'save-progress') {
				const saved: JobEvent = {
					kind: 'progress-saved', pool, token, saveId: effect.saveId, result: saveResult, revision: 10, presentRevisions: undefined, isClaimLost: false,
				};
				due.push({at: now + answerDelayMs, event: saved});
			}
		}
	};

	apply({kind: 'endpoints-listed', endpoints: Object.keys(endpoints).map(id => createTestEndpoint(id, pool, {startedAt: 1}))}, 0);
	apply({
		kind: 'claim-answered', name: `pool/${pool}`, result: 'applied', token,
	}, 0);
	apply({
		kind: 'pool-read',
		pool,
		token,
		jobs: [createStoredTestJob(createTestJob('job', [{}]))],
		ended: new Map([['old', {queue: 'prints', status: 'done', endedAt: 0}]]),
		roster,
		rosterRevision: 4,
		evacuatedEndpointIds: evacuated,
		durationModels: {},
	}, 0);
	for (let now = 25; now <= observedMs; now += 25) {
		for (const {event} of due.filter(({at}) => at === now)) {
			apply(event, now);
		}

		apply({kind: 'tick'}, now);
	}

	return started;
}

const idle: Reporter = () => ({ended: [], running: []});
const createEnd = (number: number, taskId: string): ReportedEnd => ({
	number, taskId, run: 1, outcome: 'done', checkpoint: '',
});
const run: ReportedRun = {
	taskId: 'job.0.0.0', run: 1, checkpoint: '', percent: 90, load: 0,
};
const oldEnds = Array.from({length: maxEndsPerAnswer}, (_, index) => createEnd(index + 1, `old.0.0.${index}`));

const cases: readonly Case[] = [
	{
		name: 'no endpoint knows the task', roster: {endpointIds: ['rejoined', 'healthy']}, endpoints: {rejoined: idle, healthy: idle}, expected: [run.taskId],
	},
	{
		// Guards against a survey that ends while an endpoint holds ends that did not fit in its first answer.
		name: 'its end is beyond a full answer and the next is lost',
		roster: {endpointIds: ['full', 'healthy']},
		endpoints: {
			full(poll) {
				return poll === 2 ? undefined : {ended: poll === 1 ? oldEnds : [createEnd(maxEndsPerAnswer + 1, run.taskId)], running: []};
			},
			healthy: idle,
		},
		expected: [],
	},
	{
		// Guards against a survey that ends while ends are put off because an earlier one belongs to an unknown job.
		name: 'its end is listed after one of an unknown job',
		roster: {endpointIds: ['rejoined', 'healthy']},
		endpoints: {rejoined: () => ({ended: [createEnd(1, 'unknown.0.0.0'), createEnd(2, run.taskId)], running: []}), healthy: idle},
		expected: [],
	},
	{
		// Guards against a run that is dropped as not listed while its end is put off.
		name: 'its run ends after one of an unknown job',
		roster: {endpointIds: ['rejoined', 'healthy']},
		endpoints: {
			rejoined: poll => poll === 1 ? {ended: [], running: [run]} : {ended: [createEnd(1, 'unknown.0.0.0'), createEnd(2, run.taskId)], running: []},
			healthy: idle,
		},
		expected: [],
	},
	{
		// Guards against more tasks on an endpoint than it has room for: a run of a job that was cancelled before the takeover still occupies it.
		name: 'the only endpoint still lists a run of a job that has ended',
		roster: {endpointIds: ['busy']},
		endpoints: {busy: () => ({ended: [], running: [{...run, taskId: 'old.0.0.0'}]})},
		expected: [],
	},
	{
		name: 'the run of a job that has ended is gone',
		roster: {endpointIds: ['busy']},
		endpoints: {busy: poll => poll < 3 ? {ended: [], running: [{...run, taskId: 'old.0.0.0'}]} : {ended: [], running: []}},
		expected: [run.taskId],
	},
	{
		// Guards against tasks on an endpoint that the next owner will not wait for.
		name: 'a refused roster holds an evacuated endpoint',
		roster: {endpointIds: ['evacuated']},
		endpoints: {evacuated: idle},
		evacuated: ['evacuated'],
		saveResult: 'refused',
		expected: [],
	},
];

describe('a takeover', () => {
	it.each(cases)('starts $expected if $name', ({expected, ...input}) => {
		expect(listStartedTasks(input)).toEqual(expected);
	});
});
