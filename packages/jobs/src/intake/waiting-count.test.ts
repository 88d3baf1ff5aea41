import {createRandomSource} from '@pistachiogauge/chain';
import {expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {type CallerAnswer, type JobEvent, type PoolReport} from '../model/index.js';
import {createTestReport} from '../testing.test-support.js';

const random = createRandomSource(1);
const wallTime = 1_000_000;

type Case = {
	readonly name: string;
	/** Age of the confirmation of the claim behind the last report; undefined if there is no report. */
	readonly reportAgeMs: number | undefined;
	/** Number of queued jobs by their records; undefined if they cannot be read. */
	readonly stored: number | undefined;
	readonly expected: Partial<CallerAnswer>;
};

// Guards against a count of waiting jobs that leaves out those accepted while the pool's owner was cut off one way: its claim and its last report stay in the store.
const cases: readonly Case[] = [
	{
		name: 'the report is current', reportAgeMs: 1500, stored: undefined, expected: {kind: 'waiting', waiting: 2},
	},
	{
		name: 'the report is old', reportAgeMs: 4000, stored: 17, expected: {kind: 'waiting', waiting: 17},
	},
	{
		name: 'the owner has another time of day', reportAgeMs: -60_000, stored: 3, expected: {kind: 'waiting', waiting: 3},
	},
	{
		name: 'there is no report', reportAgeMs: undefined, stored: 1, expected: {kind: 'waiting', waiting: 1},
	},
	{
		name: 'the report is old and the records cannot be read', reportAgeMs: 4000, stored: undefined, expected: {kind: 'refused'},
	},
];

it.each(cases)('a caller is told how many jobs wait if $name', ({reportAgeMs, stored, expected}) => {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const answers: CallerAnswer[] = [];
	const report: PoolReport | undefined = reportAgeMs === undefined ? undefined : createTestReport('desk', {waiting: {prints: 2}, confirmedAt: wallTime - reportAgeMs});
	const apply = (event: JobEvent) => {
		for (const effect of applyJobEvent(state, event, {now: 0, wallTime, random})) {
			if (effect.kind === 'read-reports') {
				apply({
					kind: 'reports-read', requestId: effect.requestId, result: 'found', reports: report === undefined ? [] : [report],
				});
			}

			if (effect.kind === 'count-queued-jobs') {
				apply({
					kind: 'queued-jobs-counted', requestId: effect.requestId, result: stored === undefined ? 'failed' : 'found', count: stored ?? 0,
				});
			}

			if (effect.kind === 'answer-caller') {
				answers.push(effect.answer);
			}
		}
	};

	apply({
		kind: 'configuration-changed', configuration: {
			version: 1,
			queues: [{
				name: 'prints', host: 'a', prefix: '/', pool: 'desk', priority: 0, attempts: 1, stretch: 1, latencyTargetMs: 1, advice: undefined, isPublic: true,
			}],
			pools: [{name: 'desk', isSpare: false}],
			limits: {
				headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
		},
	});
	apply({kind: 'store-reached'});
	apply({
		kind: 'caller-requested', requestId: 'request', action: 'count', queue: 'prints', jobId: '', spec: undefined, keyHash: undefined,
	});
	expect(answers).toEqual([expect.objectContaining(expected)]);
});
