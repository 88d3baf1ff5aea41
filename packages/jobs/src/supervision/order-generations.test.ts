import {describe, expect, it} from 'vitest';
import {type JobEvent, type OrderRefusal} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration, type TestOwner,
} from '../testing.test-support.js';

const taskId = 'job.0.0.0';
const observedUntil = 2000;

type Start = {readonly run: number; readonly generation: number};

type Case = {
	readonly name: string;
	/** What the owner hears after its first start, and when. */
	readonly hears: ReadonlyArray<{readonly at: number; readonly event: (start: Start) => JobEvent}>;
	/** Generations of the starts that it sends. */
	readonly starts: readonly number[];
	readonly holdsClaim: boolean;
};

const refuseStart = (refusal: OrderRefusal) => ({run}: Start): JobEvent => ({
	kind: 'start-refused', endpointId: 'e1', token: 7, taskId, run, refusal,
});
const refusePoll = (generation: number) => (): JobEvent => ({
	kind: 'poll-refused', endpointId: 'e1', token: 7, generation, refusal: 'fenced',
});
const answerPoll = (clockMs: number, generation = lastGeneration) => (): JobEvent => ({...createTestPollAnswer('e1', clockMs), generation});

const cases: readonly Case[] = [
	{
		name: 'goes on after a start that was not answered, once a poll of the next generation is answered',
		hears: [{at: 150, event: refuseStart('no-answer')}, {at: 200, event: answerPoll(1200)}],
		starts: [0, 1],
		holdsClaim: true,
	},
	{
		// Guards against a task that is started again while its first start is on its way.
		name: 'starts nothing after a start that was not answered while only an earlier poll is answered',
		hears: [{at: 150, event: refuseStart('no-answer')}, {at: 200, event: answerPoll(2200, 0)}],
		starts: [0],
		holdsClaim: true,
	},
	{
		// Guards against an owner that gives up its pool as its own later poll has overtaken one of its orders.
		name: 'keeps its claim if its own later poll shuts an order out',
		hears: [{at: 150, event: refuseStart('no-answer')}, {at: 200, event: refusePoll(0)}, {at: 225, event: answerPoll(1225)}],
		starts: [0, 1],
		holdsClaim: true,
	},
	{
		name: 'gives up its claim if an order of the current generation is shut out',
		hears: [{at: 150, event: refuseStart('no-answer')}, {at: 200, event: refusePoll(1)}],
		starts: [0],
		holdsClaim: false,
	},
	{
		name: 'gives up its claim if a start of the current generation is shut out',
		hears: [{at: 150, event: refuseStart('fenced')}],
		starts: [0],
		holdsClaim: false,
	},
];

function play({hears}: Case): {readonly starts: number[]; readonly holdsClaim: boolean} {
	const owner: TestOwner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [createStoredTestJob(createTestJob('job', [{}]))]});
	const starts: Start[] = [];
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				starts.push({run: effect.run, generation: effect.target.generation});
			}
		}
	};

	apply({kind: 'tick'}, 25);
	apply(createTestPollAnswer('e1', 1000), 50);
	for (let now = 75; now < observedUntil; now += 25) {
		for (const {event} of hears.filter(({at}) => at === now)) {
			apply(event(starts[0]!), now);
		}

		apply({kind: 'tick'}, now);
	}

	return {starts: starts.map(({generation}) => generation), holdsClaim: owner.state.authority.heldClaims.has('pool/desk')};
}

// Guards against orders of an earlier generation that take effect, and shut out the owner's own later ones, in an endpoint that returns.
it('a supervised endpoint that has left and returns gets orders of a higher generation', () => {
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: []});
	const generations = new Set<number>();
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'poll-endpoint') {
				generations.add(effect.target.generation);
			}
		}
	};

	apply({kind: 'tick'}, 25);
	apply(createTestPollAnswer('e1', 1000), 50);
	apply({
		kind: 'poll-refused', endpointId: 'e1', token: 7, generation: lastGeneration, refusal: 'no-answer',
	}, 1000);
	apply({kind: 'endpoint-removed', endpointId: 'e1'}, 1025);
	apply({kind: 'tick'}, 1050);
	expect(owner.state.supervision.endpoints.has('e1')).toBe(false);
	apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('e1', 'desk', {startedAt: 5000})}, 2000);
	apply({kind: 'tick'}, 2025);
	expect([...generations]).toEqual([0, 2]);
});

describe('the owner of a pool', () => {
	it.each(cases)('$name', input => {
		const {starts, holdsClaim} = input;
		expect(play(input)).toEqual({starts, holdsClaim});
	});
});
