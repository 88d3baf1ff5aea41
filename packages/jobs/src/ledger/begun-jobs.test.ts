import {describe, expect, it} from 'vitest';
import {type JobEvent, type PoolReport} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

type Start = {readonly taskId: string; readonly run: number};

/** Answers to the start of the only task; none if the start or its answer is lost. */
type Reply = (start: Start) => readonly JobEvent[];

/** Returns the number of waiting jobs that the owner of a pool with one job reports last. */
function countWaiting(reply: Reply): number {
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [createStoredTestJob(createTestJob('job', [{}]))]});
	let report: PoolReport | undefined;
	const apply = (event: JobEvent, now: number) => {
		for (const effect of owner.apply(event, now)) {
			report = effect.kind === 'publish-report' ? effect.report : report;
			if (effect.kind === 'start-task') {
				for (const answer of reply(effect)) {
					apply(answer, now + 5);
				}
			}
		}
	};

	apply({kind: 'tick'}, 25);
	apply(createTestPollAnswer('e1', 1000), 50);
	for (let now = 75; now < 2000; now += 25) {
		apply({kind: 'tick'}, now);
	}

	return report?.waiting.prints ?? 0;
}

const refused = ({taskId, run}: Start): JobEvent => ({
	kind: 'start-refused', endpointId: 'e1', token: 7, taskId, run, refusal: 'no-answer',
});

// Guards against a count of waiting jobs that leaves out jobs whose starts never arrived.
const cases: ReadonlyArray<{readonly name: string; readonly reply: Reply; readonly expected: number}> = [
	{name: 'is not answered', reply: () => [], expected: 1},
	{name: 'is lost', reply: start => [refused(start)], expected: 1},
	{
		name: 'is answered', reply: ({taskId, run}) => [{
			kind: 'start-answered', endpointId: 'e1', token: 7, taskId, run, clockMs: 1060,
		}], expected: 0,
	},
	{
		name: 'is lost, but the endpoint lists the run', reply: start => [refused(start), {
			...createTestPollAnswer('e1', 1100), running: [{
				taskId: start.taskId, run: start.run, checkpoint: '', percent: 1, load: 0,
			}],
		}], expected: 0,
	},
	{
		name: 'is lost, but the endpoint lists its end', reply: start => [refused(start), {
			...createTestPollAnswer('e1', 1100), ended: [{
				number: 1, taskId: start.taskId, run: start.run, outcome: 'failed', checkpoint: '',
			}],
		}], expected: 0,
	},
];

describe('a job', () => {
	it.each(cases)('is reported as waiting ($expected) if its only start $name', ({reply, expected}) => {
		expect(countWaiting(reply)).toBe(expected);
	});
});
