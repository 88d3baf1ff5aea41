import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {type ReportedRun} from '../model/index.js';
import {createTestEndpoint, createTestJob} from '../testing.test-support.js';

const random = createRandomSource(1);
const pool = 'desk';

/** An answer of the endpoint: when it reaches the owner, and the endpoint's clock and the percentage of each run in it. */
type Answer = {readonly at: number; readonly clockMs: number; readonly percents: readonly number[]};

/** Lists the runs that the owner stops, while two tasks of one second each run on the only endpoint from 100 ms on. */
function listStops(answers: readonly Answer[]): string[] {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const stops: string[] = [];
	const runs: Array<{taskId: string; run: number}> = [];
	const apply = (event: Parameters<typeof applyJobEvent>[1], now: number) => {
		for (const effect of applyJobEvent(state, event, {now, wallTime: now, random})) {
			if (effect.kind === 'start-task') {
				runs.push({taskId: effect.taskId, run: effect.run});
			}

			if (effect.kind === 'stop-task') {
				stops.push(effect.taskId.split('.').at(-1)!);
			}

			if (effect.kind === 'save-progress') {
				apply({
					kind: 'progress-saved', pool, token: 7, saveId: effect.saveId, result: 'applied', revision: 10, presentRevisions: undefined, isClaimLost: false,
				}, now);
			}
		}
	};

	const answer = ({at, clockMs, percents}: Answer) => {
		const running: ReportedRun[] = percents.map((percent, index) => ({
			taskId: runs[index]!.taskId, run: runs[index]!.run, checkpoint: '', percent, load: 1000,
		}));
		apply({
			kind: 'poll-answered', endpointId: 'e1', token: 7, clockMs, startedAt: 1, running, ended: [],
		}, at);
	};

	apply({kind: 'endpoints-listed', endpoints: [createTestEndpoint('e1', pool, {startedAt: 1})]}, 0);
	apply({
		kind: 'claim-changed', name: `pool/${pool}`, claim: {
			name: `pool/${pool}`, node: 'entry-1', incarnation: 'first', token: 7,
		},
	}, 0);
	const {record} = createTestJob('job', [{count: 2}]);
	apply({
		kind: 'pool-read', pool, token: 7, ended: new Map(), roster: {endpointIds: ['e1']}, rosterRevision: 4, jobs: [{
			job: record, progress: {
				queue: record.queue, status: 'queued', steps: {}, lastRun: 0,
			}, revision: 5, isCancelled: false,
		}],
	}, 0);
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
