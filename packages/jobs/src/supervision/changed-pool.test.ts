import {describe, expect, it} from 'vitest';
import {type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

const otherPool = 'lamp';
/** When the endpoint starts its second life, in another pool and under the same id. */
const movedAt = 2000;
/** Longer than any lease. */
const observedUntil = 16_000;

/** Lists the endpoints on which the task of a pool is started, while the first one moves to another pool. */
function listStarts(ownsOtherPool: boolean): string[] {
	const owner = createTestOwner({roster: {endpointIds: ['moved', 'spare']}, endpoints: ['moved', 'spare'], jobs: [createStoredTestJob(createTestJob('job', [{}]))]});
	const starts: string[] = [];
	let run = 0;
	const apply = (event: JobEvent, now: number) => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				starts.push(effect.target.endpointId);
				run = effect.run;
			}
		}
	};

	if (ownsOtherPool) {
		apply({
			kind: 'claim-answered', name: `pool/${otherPool}`, result: 'applied', token: 8,
		}, 0);
		apply({
			kind: 'pool-read', pool: otherPool, token: 8, jobs: [], ended: new Map(), roster: {endpointIds: []}, rosterRevision: 0, evacuatedEndpointIds: [], durationModels: {},
		}, 0);
	}

	for (let now = 25; now < observedUntil; now += 25) {
		// Answers of the spare endpoint come second, so that the task is started on the other one.
		if (now < movedAt) {
			apply({
				...createTestPollAnswer('moved', 1000 + now), running: run === 0
					? []
					: [{
						taskId: 'job.0.0.0', run, checkpoint: '', percent: 10, load: 0,
					}],
			}, now);
		} else if (now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'moved', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
			apply({...createTestPollAnswer('moved', now - movedAt), startedAt: 2, token: 8}, now);
		}

		apply(createTestPollAnswer('spare', 1000 + now), now);

		if (now === movedAt) {
			apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('moved', otherPool, {startedAt: 2})}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return starts;
}

// Guards against a task that waits forever for a run on an endpoint that is supervised for another pool.
const cases: ReadonlyArray<{readonly name: string; readonly ownsOtherPool: boolean}> = [
	{name: 'another entry owns', ownsOtherPool: false},
	{name: 'the same entry owns', ownsOtherPool: true},
];

describe('a task whose endpoint moves to a pool', () => {
	it.each(cases)('that $name is started again', ({ownsOtherPool}) => {
		expect(listStarts(ownsOtherPool)).toEqual(['moved', 'spare']);
	});
});
