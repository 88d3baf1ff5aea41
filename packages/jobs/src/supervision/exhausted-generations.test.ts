import {describe, expect, it} from 'vitest';
import {
	getClaimToken, computeOrderToken, maxOrderGeneration, type JobEvent,
} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

/** Plays an endpoint that answers every poll after its generation has risen to the given one. */
function play(generation: number, leaves: boolean): {readonly startCount: number; readonly claimTokens: readonly number[]} {
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: []});
	let startCount = 0;
	const claimTokens = new Set<number>();
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			startCount += effect.kind === 'start-task' ? 1 : 0;
			if (effect.kind === 'poll-endpoint') {
				claimTokens.add(getClaimToken(computeOrderToken(effect.target)));
			}
		}
	};

	for (let now = 25; now < 60_000; now += 25) {
		if (now === 1000) {
			Object.assign(owner.state.supervision.endpoints.get('e1')!, {generation, isPollPending: false, nextPollAt: now});
			apply({kind: 'tick'}, now);
			if (leaves) {
				apply({
					kind: 'poll-refused', endpointId: 'e1', token: 7, generation, refusal: 'no-answer',
				}, now);
				apply({kind: 'endpoint-removed', endpointId: 'e1'}, now);
			}
		} else if (now < 1000 || now > 2500) {
			apply(createTestPollAnswer('e1', 1000 + now), now);
		}

		if (now === 2000) {
			apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('e1', 'desk', {startedAt: 1})}, now);
		}

		if (now === 3000) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('job', [{}]))}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return {startCount, claimTokens: [...claimTokens]};
}

describe('an endpoint that answers', () => {
	it.each([
		{generation: maxOrderGeneration - 1, leaves: false},
		{generation: maxOrderGeneration, leaves: false},
		{generation: maxOrderGeneration, leaves: true},
	])('is used, under the token of its claim, after generation $generation, leaves: $leaves', ({generation, leaves}) => {
		expect(play(generation, leaves)).toEqual({startCount: 1, claimTokens: [7]});
	});
});
