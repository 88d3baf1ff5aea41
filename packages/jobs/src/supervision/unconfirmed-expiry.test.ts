import {describe, expect, it} from 'vitest';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

const taskId = 'job.0.0.0';
/** When the endpoint with the run answers for the last time. Its lease lasts 6 s from then on. */
const lastAnswerAt = 4000;
/** When the store confirms the claim for the last time before the lease ends; the owner may give orders for 8.5 s more. */
const cutAt = 4500;
const leaseEndsBy = 10_600;
const observedUntil = 12_000;

type Case = {
	readonly name: string;
	/** When the call was sent that confirms the claim; its answer arrives at `leaseEndsBy`. */
	readonly confirmedAt: number | undefined;
	/** Endpoints on which the task is started again. */
	readonly expected: readonly string[];
};

/** Lists the endpoints on which an owner starts a task whose endpoint has stopped answering. */
function listRestarts(confirmedAt: number | undefined): string[] {
	const owner = createTestOwner({roster: {endpointIds: ['near', 'far']}, endpoints: ['near', 'far'], jobs: [createStoredTestJob(createTestJob('job', [{}]))]});
	const restarts: string[] = [];
	const apply = (event: Parameters<typeof owner.apply>[0], now: number) => {
		restarts.push(...owner.apply(event, now).flatMap(effect => effect.kind === 'start-task' ? [effect.target.endpointId] : []));
	};

	for (let now = 25; now < observedUntil; now += 25) {
		owner.confirmsClaim = now < cutAt;
		apply(createTestPollAnswer('near', 1000 + now), now);
		if (now <= lastAnswerAt) {
			apply({
				...createTestPollAnswer('far', 1000 + now), running: [{
					taskId, run: 1, checkpoint: '', percent: 10, load: 0,
				}],
			}, now);
		} else if (now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'far', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		}

		if (now === leaseEndsBy && confirmedAt !== undefined) {
			apply({
				kind: 'claim-confirmed', name: 'pool/desk', token: 7, requestedAt: {now: confirmedAt, wallTime: confirmedAt},
			}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return restarts;
}

// Guards against a task that runs twice: an owner that was cut off from the store took the leases of endpoints beyond the cut as expired, while its successor renewed them.
const cases: readonly Case[] = [
	{name: 'nothing has confirmed the claim since', confirmedAt: undefined, expected: []},
	{name: 'the claim was confirmed before the lease ended', confirmedAt: 9000, expected: []},
	{name: 'the claim was confirmed after the lease had ended', confirmedAt: leaseEndsBy, expected: ['near']},
];

describe('an owner whose endpoint no longer answers', () => {
	it.each(cases)('starts its task again on $expected if $name', ({confirmedAt, expected}) => {
		expect(listRestarts(confirmedAt)).toEqual(expected);
	});
});
