import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {applyJobEvent} from '../apply-job-event.js';
import {createJobsState} from '../jobs-state.js';
import {type CallerAnswer, type JobEventOf} from '../model/index.js';
import {createTestJob} from '../testing.test-support.js';

const random = createRandomSource(1);
const {spec} = createTestJob('job', [{}]).record;

/** The store's result for a submission, or that the store cannot be reached. */
type Attempt = JobEventOf<'job-stored'>['result'] | 'out of reach';

/** Submits one job several times at an entry and returns the kinds of its answers. */
function listAnswers(attempts: readonly Attempt[], gapMs: number): Array<CallerAnswer['kind']> {
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const answers: Array<CallerAnswer['kind']> = [];
	const apply = (event: Parameters<typeof applyJobEvent>[1], now: number) => {
		for (const effect of applyJobEvent(state, event, {now, wallTime: now, random})) {
			if (effect.kind === 'answer-caller') {
				answers.push(effect.answer.kind);
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
	}, 0);
	for (const [index, attempt] of attempts.entries()) {
		const now = index * gapMs;
		const requestId = `request-${index}`;
		apply({kind: attempt === 'out of reach' ? 'store-lost' : 'store-reached'}, now);
		apply({
			kind: 'caller-requested', requestId, action: 'submit', queue: 'prints', jobId: 'job', spec, keyHash: undefined,
		}, now);
		if (attempt !== 'out of reach') {
			apply({kind: 'job-stored', requestId, result: attempt}, now);
		}
	}

	return answers;
}

// Guards against telling a caller that its job was not accepted, and never runs, after an earlier request for it was accepted or its answer was lost.
const cases: ReadonlyArray<{readonly name: string; readonly attempts: readonly Attempt[]; readonly gapMs?: number; readonly expected: ReadonlyArray<CallerAnswer['kind']>}> = [
	{name: 'the store is out of reach at the first request', attempts: ['out of reach'], expected: ['refused']},
	{name: 'the store refuses the first request', attempts: ['refused', 'refused'], expected: ['refused', 'refused']},
	{name: 'the job was accepted before the store was lost', attempts: ['applied', 'out of reach'], expected: ['accepted', 'accepted']},
	{name: 'the answer of the store was lost before the store was', attempts: ['unknown', 'out of reach'], expected: ['undecided', 'undecided']},
	{name: 'the answer of the store was lost, and it refuses the repeated request', attempts: ['unknown', 'refused'], expected: ['undecided', 'undecided']},
	{name: 'the job was accepted, and the store refuses the repeated request', attempts: ['applied', 'refused'], expected: ['accepted', 'accepted']},
	{name: 'a lost answer is settled by the repeated request', attempts: ['unknown', 'conflict', 'out of reach'], expected: ['undecided', 'accepted', 'accepted']},
	{
		name: 'the earlier request is long ago', attempts: ['unknown', 'out of reach'], gapMs: 61_000, expected: ['undecided', 'refused'],
	},
];

describe('a job that is submitted again', () => {
	it.each(cases)('$name: $expected', ({attempts, gapMs = 1000, expected}) => {
		expect(listAnswers(attempts, gapMs)).toEqual(expected);
	});
});
