import {describe, expect, it} from 'vitest';
import {type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

const silentFrom = 1000;
const secondLife = 5000;
const answersAgainAt = 4000;
/** An endpoint that has restarted is used 1.53 s after its answer, as an order for its former process may have granted a lease until then. */
const observedUntil = 6000;

type Case = {
	readonly name: string;
	/** When the directory lists the second life; undefined if the endpoint only answers with it. */
	readonly listedAt: number | undefined;
	readonly expectedStarts: number;
};

/** Counts the starts of a task on the only endpoint, which falls silent while it runs the task and has a second life under the same id. */
function countStarts(listedAt: number | undefined): number {
	const owner = createTestOwner({roster: {endpointIds: ['reborn']}, endpoints: ['reborn'], jobs: [createStoredTestJob(createTestJob('job', [{}]))]});
	let count = 0;
	let run = 0;
	const apply = (event: JobEvent, now: number) => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				count += 1;
				run = effect.run;
			}
		}
	};

	for (let now = 25; now < observedUntil; now += 25) {
		const running = run === 0 || now >= answersAgainAt
			? []
			: [{
				taskId: 'job.0.0.0', run, checkpoint: '', percent: 10, load: 0,
			}];
		if (now < silentFrom) {
			apply({...createTestPollAnswer('reborn', 1000 + now), running}, now);
		} else if (now < answersAgainAt && now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'reborn', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		} else if (now === answersAgainAt) {
			apply({...createTestPollAnswer('reborn', now), startedAt: secondLife, running}, now);
		}

		if (now === listedAt) {
			apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('reborn', 'desk', {startedAt: secondLife})}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return count;
}

const cases: readonly Case[] = [
	{name: 'it answers before the directory lists it', listedAt: undefined, expectedStarts: 2},
	{name: 'the directory lists it before it is recorded as silent', listedAt: 1500, expectedStarts: 2},
	// Guards against an endpoint that stays on the roster as silent, so that nothing is started there (jobs-soak --seeds 70 --faults endpoint-reborn).
	{name: 'the directory lists it after it was recorded as silent', listedAt: 3000, expectedStarts: 2},
];

describe('an endpoint that falls silent and starts again under the same id', () => {
	it.each(cases)('is used again if $name', ({listedAt, expectedStarts}) => {
		expect(countStarts(listedAt)).toBe(expectedStarts);
	});
});
