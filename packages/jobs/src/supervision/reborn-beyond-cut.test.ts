import {describe, expect, it} from 'vitest';
import {type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration, type TestOwner,
} from '../testing.test-support.js';

const job = createStoredTestJob(createTestJob('job', [{}]));
/** From when no endpoint answers the former owner; the job is stored afterwards, and the store confirms the claim once more. */
const silentFrom = 800;
const storedAt = 900;
const cutAt = 1000;
/** When the next owner has loaded the pool. Both endpoints answer it, without runs. */
const takeoverAt = 2000;
/** When the endpoint answers the former owner again; its permission lasts until 9.5 s. */
const answersAgainAt = 4000;
const observedUntil = 6000;

type Case = {
	readonly name: string;
	/** What the endpoint answers to the former owner's poll after the takeover. */
	readonly answer: JobEvent;
	/** Starts as owner and endpoint. */
	readonly expected: readonly string[];
};

/** Lists the starts of a task by a former owner, which is cut off from the store, and by its successor. */
function listStarts(answer: JobEvent): string[] {
	const starts: string[] = [];
	const apply = (name: string, owner: TestOwner, event: JobEvent, now: number) => {
		starts.push(...owner.apply(event, now).flatMap(effect => effect.kind === 'start-task' ? [`${name}: ${effect.target.endpointId}`] : []));
	};

	const roster = {endpointIds: ['near', 'reborn']};
	const former = createTestOwner({roster, endpoints: roster.endpointIds, jobs: []});
	const next = createTestOwner({roster, endpoints: roster.endpointIds, jobs: [job]});
	for (let now = 25; now < observedUntil; now += 25) {
		former.confirmsClaim = now < cutAt;
		for (const endpointId of roster.endpointIds) {
			if (now < silentFrom) {
				apply('former', former, createTestPollAnswer(endpointId, 1000 + now), now);
			} else if (now % 400 === 0 && (now < answersAgainAt || endpointId === 'near')) {
				apply('former', former, {
					kind: 'poll-refused', endpointId, token: 7, generation: lastGeneration, refusal: 'no-answer',
				}, now);
			}

			if (now >= takeoverAt && now < answersAgainAt) {
				apply('next', next, createTestPollAnswer(endpointId, 1000 + now), now);
			}
		}

		if (now === storedAt) {
			apply('former', former, {kind: 'job-recorded', stored: job}, now);
		}

		if (now === answersAgainAt) {
			apply('former', former, answer, now);
		}

		apply('former', former, {kind: 'tick'}, now);
		if (now >= takeoverAt) {
			apply('next', next, {kind: 'tick'}, now);
		}
	}

	return starts;
}

const cases: readonly Case[] = [
	{
		name: 'refuses its token',
		answer: {
			kind: 'poll-refused', endpointId: 'reborn', token: 7, generation: lastGeneration, refusal: 'fenced',
		},
		expected: ['next: near'],
	},
	{
		// Guards against a start by a former owner on an endpoint that has forgotten the token of the next one.
		name: 'answers in a second life, which has seen no token',
		answer: {...createTestPollAnswer('reborn', 10), startedAt: 2},
		expected: ['next: near'],
	},
];

describe('a former owner', () => {
	it.each(cases)('starts nothing on an endpoint that $name', ({answer, expected}) => {
		expect(listStarts(answer)).toEqual(expected);
	});
});
