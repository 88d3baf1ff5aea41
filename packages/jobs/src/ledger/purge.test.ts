import {createRandomSource} from '@pistachiogauge/chain';
import {expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {type EndedJob, type JobEvent} from '../model/index.js';

const cases: ReadonlyArray<{readonly endedCount: number; readonly expected: readonly number[]}> = [
	{endedCount: 0, expected: []},
	{endedCount: 10, expected: [10]},
	{endedCount: 25, expected: [10, 10, 5]},
	{endedCount: 400, expected: Array.from({length: 16}, () => 10)},
];

// Guards against a store that grows as jobs end faster than one transaction in five seconds deletes them, and against transactions that it refuses for their size.
it.each(cases)('the records of $endedCount jobs that ended long ago are deleted in transactions of $expected jobs', ({endedCount, expected}) => {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const random = createRandomSource(1);
	const ended = new Map(Array.from({length: endedCount}, (_, index): [string, EndedJob] => [`job-${index}`, {queue: 'prints', status: 'done', endedAt: 0}]));
	const apply = (event: JobEvent, now: number, wallTime: number) => applyJobEvent(state, event, {now, wallTime, random});
	apply({
		kind: 'claim-answered', name: 'pool/desk', result: 'applied', token: 7,
	}, 0, 0);
	apply({
		kind: 'pool-read', pool: 'desk', token: 7, jobs: [], ended, roster: {endpointIds: []}, rosterRevision: 0, evacuatedEndpointIds: [], durationModels: {},
	}, 0, 0);
	const counts = apply({kind: 'tick'}, 6000, 200_000).flatMap(effect => effect.kind === 'delete-ended-jobs' ? [effect.jobIds.length] : []);
	expect(counts).toEqual(expected);
});
