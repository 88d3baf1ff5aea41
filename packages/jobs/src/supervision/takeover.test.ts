import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {
	type JobEffect, type JobEvent, type ReportedRun, type Roster, type StoredJob,
} from '../model/index.js';
import {createTestEndpoint, createTestJob} from '../testing.test-support.js';

const random = createRandomSource(1);
const poolName = 'desk';
/** Longest time in ms that a former owner's lease can run on an endpoint that does not answer. */
const lapseMs = 6400;

type Input = {
	readonly roster: Roster;
	/** Endpoints that are listed and answer. */
	readonly answering: readonly string[];
	/** What the endpoint named `back` says that it runs. */
	readonly running?: readonly ReportedRun[];
};

/** Tasks of one job of four tasks that a new owner starts, and stops, within the given time after it has read the pool. */
function listStarts({roster, answering, running = []}: Input, forMs: number): string[] {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const starts: string[] = [];
	const held = new Set<string>();
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

			if (effect.kind === 'poll-endpoint') {
				held.add(effect.target.endpointId);
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
		kind: 'pool-read', pool: poolName, token: 7, jobs: [stored], ended: new Map(), roster, rosterRevision: 4,
	}, 0);
	for (let now = 25; now <= forMs; now += 25) {
		apply({kind: 'tick'}, now);
		for (const endpointId of [...held].filter(id => answering.includes(id))) {
			held.delete(endpointId);
			apply({
				kind: 'poll-answered', endpointId, token: 7, clockMs: 1000 + now, startedAt: 1, running: endpointId === 'back' ? running : [], ended: [],
			}, now);
		}
	}

	return starts.sort();
}

// Pattern: entries are restarted in turn while a rack is dark. Each takeover held back all of a pool's tasks for as long as a lease on the dark rack could run.
const cases: ReadonlyArray<{readonly name: string; readonly expected: readonly string[]; readonly forMs: number} & Input> = [
	{
		name: 'all endpoints answer', roster: {endpointIds: ['answers']}, answering: ['answers'], forMs: 500, expected: ['0', '1', '2', '3'],
	},
	{
		name: 'one may have been given any task', roster: {endpointIds: ['answers', 'dark']}, answering: ['answers'], forMs: lapseMs - 300, expected: [],
	},
	{
		name: 'until its lease has run out', roster: {endpointIds: ['answers', 'dark']}, answering: ['answers'], forMs: lapseMs + 300, expected: ['0', '1', '2', '3'],
	},
	{
		name: 'the former owner knew what may be at work on one that was dark', roster: {endpointIds: ['answers'], silentRuns: {dark: [{taskId: 'job.0.0.2', run: 1}]}}, answering: ['answers'], forMs: lapseMs - 300, expected: ['0', '1', '3'],
	},
	{
		name: 'that starts again once the lease has run out', roster: {endpointIds: ['answers'], silentRuns: {dark: [{taskId: 'job.0.0.2', run: 1}]}}, answering: ['answers'], forMs: lapseMs + 300, expected: ['0', '1', '2', '3'],
	},
	{
		name: 'or once the endpoint answers and does not list it', roster: {endpointIds: ['answers'], silentRuns: {back: [{taskId: 'job.0.0.2', run: 1}]}}, answering: ['answers', 'back'], forMs: 500, expected: ['0', '1', '2', '3'],
	},
	{
		// Guards against a run that is at work and counts as gone, as the record names an earlier one on the same endpoint.
		name: 'but not if it runs a later start of it', roster: {endpointIds: ['answers'], silentRuns: {back: [{taskId: 'job.0.0.2', run: 1}]}}, answering: ['answers', 'back'], running: [{
			taskId: 'job.0.0.2', run: 2, checkpoint: '', percent: 10, load: 0,
		}], forMs: 500, expected: ['0', '1', '3'],
	},
];

describe('a takeover', () => {
	it.each(cases)('$name: tasks $expected are started', ({expected, forMs, ...input}) => {
		expect(listStarts(input, forMs)).toEqual(expected);
	});
});
