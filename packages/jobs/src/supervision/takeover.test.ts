import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {
	type JobEffect, type JobEvent, type ReportedRun, type Roster, type StoredJob,
} from '../model/index.js';
import {createTestEndpoint, createTestJob, listTestConfirmations} from '../testing.test-support.js';

const random = createRandomSource(1);
const poolName = 'desk';
/** Longest time that a lease of a previous owner can last on an endpoint that does not answer. */
const previousLeaseMs = 8950;
/** Time after which a poll without an answer has failed. */
const orderTimeoutMs = 700;

type Input = {
	readonly roster: Roster;
	/** Endpoints that are listed and answer. */
	readonly answering: readonly string[];
	/** Endpoints that the previous owner has evacuated. */
	readonly evacuated?: readonly string[];
	/** Runs that the endpoint named `recovered` lists. */
	readonly running?: readonly ReportedRun[];
};

/** Lists the starts and stops of a new owner within the given time after it has loaded a pool with one job of four tasks. */
function listStarts({
	roster, answering, evacuated = [], running = [],
}: Input, forMs: number): string[] {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const starts: string[] = [];
	const polled = new Map<string, number>();
	const apply = (event: JobEvent, now: number): JobEffect[] => {
		const effects = applyJobEvent(state, event, {now, wallTime: now, random});
		for (const effect of effects) {
			if (effect.kind === 'start-task') {
				starts.push(effect.taskId.split('.').at(-1)!);
			}

			if (effect.kind === 'stop-task') {
				starts.push(`stop ${effect.taskId}`);
			}

			if (effect.kind === 'save-progress') {
				apply({
					kind: 'progress-saved', pool: poolName, token: 7, saveId: effect.saveId, result: 'applied', revision: 10, presentRevisions: undefined, isClaimLost: false,
				}, now);
			}

			for (const confirmation of listTestConfirmations(effect, 7, {now, wallTime: now})) {
				apply(confirmation, now);
			}

			if (effect.kind === 'poll-endpoint') {
				polled.set(effect.target.endpointId, effect.target.generation);
			}
		}

		return effects;
	};

	apply({kind: 'endpoints-listed', endpoints: answering.map(id => createTestEndpoint(id, poolName, {startedAt: 1}))}, 0);
	apply({
		kind: 'claim-changed', name: `pool/${poolName}`, claim: {
			name: `pool/${poolName}`, node: 'entry-1', incarnation: 'first', token: 7,
		},
	}, 0);
	const {record} = createTestJob('job', [{count: 4}]);
	const stored: StoredJob = {
		job: record, progress: {
			queue: record.queue, status: 'running', steps: {}, lastRun: 1,
		}, revision: 5, isCancelled: false,
	};
	apply({
		kind: 'pool-read', pool: poolName, token: 7, jobs: [stored], ended: new Map(), roster, rosterRevision: 4, evacuatedEndpointIds: evacuated, durationModels: {},
	}, 0);
	for (let now = 25; now <= forMs; now += 25) {
		apply({kind: 'tick'}, now);
		for (const [endpointId, generation] of [...polled].filter(([id]) => !answering.includes(id) && now % orderTimeoutMs === 0)) {
			polled.delete(endpointId);
			apply({
				kind: 'poll-refused', endpointId, token: 7, generation, refusal: 'no-answer',
			}, now);
		}

		for (const [endpointId, generation] of [...polled].filter(([id]) => answering.includes(id))) {
			polled.delete(endpointId);
			apply({
				kind: 'poll-answered', endpointId, token: 7, generation, clockMs: 1000 + now, startedAt: 1, running: endpointId === 'recovered' ? running : [], ended: [],
			}, now);
		}
	}

	return starts.sort();
}

// Guards against a takeover that holds back all tasks of a pool until the leases on an unreachable rack have expired. It happened at each takeover while entries were restarted one after another.
const cases: ReadonlyArray<{readonly name: string; readonly expected: readonly string[]; readonly forMs: number} & Input> = [
	{
		name: 'all endpoints answer', roster: {endpointIds: ['healthy']}, answering: ['healthy'], forMs: 500, expected: ['0', '1', '2', '3'],
	},
	{
		name: 'an unreachable endpoint on the roster may run any task', roster: {endpointIds: ['healthy', 'unreachable']}, answering: ['healthy'], forMs: previousLeaseMs - 300, expected: [],
	},
	{
		name: 'an unreachable endpoint on the roster runs nothing once its lease has expired',
		roster: {endpointIds: ['healthy', 'unreachable']}, answering: ['healthy'], forMs: previousLeaseMs + 300, expected: ['0', '1', '2', '3'],
	},
	{
		// Guards against waiting for endpoints whose machines have left, when the previous owner could not write its roster any more.
		name: 'an evacuated endpoint that does not answer runs nothing', roster: {endpointIds: ['gone', 'healthy']}, answering: ['healthy'], evacuated: ['gone'], forMs: 1500, expected: ['0', '1', '2', '3'],
	},
	{
		// Guards against tasks on an endpoint whose machine is about to be ordered away.
		name: 'no task is started on an evacuated endpoint', roster: {endpointIds: ['evacuated']}, answering: ['evacuated'], evacuated: ['evacuated'], forMs: 1500, expected: [],
	},
	{
		name: 'only the recorded runs of an endpoint that was unreachable before are waited for',
		roster: {endpointIds: ['healthy'], silentRuns: {unreachable: [{taskId: 'job.0.0.2', run: 1}]}}, answering: ['healthy'], forMs: previousLeaseMs - 300, expected: ['0', '1', '3'],
	},
	{
		name: 'a recorded run is started elsewhere once the lease has expired',
		roster: {endpointIds: ['healthy'], silentRuns: {unreachable: [{taskId: 'job.0.0.2', run: 1}]}}, answering: ['healthy'], forMs: previousLeaseMs + 300, expected: ['0', '1', '2', '3'],
	},
	{
		name: 'a recorded run is started elsewhere once the endpoint answers and does not list it',
		roster: {endpointIds: ['healthy'], silentRuns: {recovered: [{taskId: 'job.0.0.2', run: 1}]}}, answering: ['healthy', 'recovered'], forMs: 500, expected: ['0', '1', '2', '3'],
	},
	{
		// Guards against a run that is dropped while it is running because the roster names an earlier run of the task on the same endpoint.
		name: 'a task is not started elsewhere if the endpoint lists a later run of it',
		roster: {endpointIds: ['healthy'], silentRuns: {recovered: [{taskId: 'job.0.0.2', run: 1}]}}, answering: ['healthy', 'recovered'], running: [{
			taskId: 'job.0.0.2', run: 2, checkpoint: '', percent: 10, load: 0,
		}], forMs: 500, expected: ['0', '1', '3'],
	},
];

describe('a takeover', () => {
	it.each(cases)('$name: tasks $expected are started', ({expected, forMs, ...input}) => {
		expect(listStarts(input, forMs)).toEqual(expected);
	});
});
