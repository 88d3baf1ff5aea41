import {describe, expect, it} from 'vitest';
import {type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

const answersAt = 9500;
const cutAt = 11_100;
const observedUntil = 40_000;
/** An order of the previous owner that the next process carried out just before its first answer grants this lease. */
const restartedLeaseMs = 10_450;

/** An owner takes over, and the first answer of an endpoint comes from another process than the roster names. @returns Where and when the task is started. */
function play(isListed: boolean): ReadonlyArray<{readonly id: string; readonly at: number}> {
	const owner = createTestOwner({roster: {endpointIds: ['reborn', 'spare'], processes: {reborn: 1, spare: 1}}, endpoints: ['reborn', 'spare'], jobs: []});
	const starts: Array<{readonly id: string; readonly at: number; readonly run: number}> = [];
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				starts.push({id: effect.target.endpointId, at: now, run: effect.run});
				apply({
					kind: 'start-answered', endpointId: effect.target.endpointId, token: 7, taskId: effect.taskId, run: effect.run, clockMs: now,
				}, now);
			}
		}
	};

	for (let now = 25; now < observedUntil; now += 25) {
		const run = starts.find(({id}) => id === 'reborn')?.run;
		if (now >= answersAt && now < cutAt) {
			apply({
				...createTestPollAnswer('reborn', now), startedAt: 5000, running: run === undefined
					? []
					: [{
						taskId: 'job.0.0.0', run, checkpoint: '', percent: 1, load: 0,
					}],
			}, now);
		} else if (now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'reborn', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		}

		if (now >= cutAt) {
			apply(createTestPollAnswer('spare', now), now);
		} else if (now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'spare', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		}

		if (now === answersAt - 25 && isListed) {
			apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('reborn', 'desk', {startedAt: 5000})}, now);
		}

		if (now === answersAt) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('job', [{}]))}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return starts;
}

// Guards against a task that is started elsewhere while a lease runs that a late order of the previous owner granted to the next process.
describe('a task on an endpoint whose first answer comes from another process than the roster names', () => {
	it.each([{name: 'lists that process', isListed: true}, {name: 'does not list it yet', isListed: false}])('is started elsewhere once any lease is over, if the directory $name', ({isListed}) => {
		const [first, second] = play(isListed);
		expect(first?.id).toBe('reborn');
		expect(second?.at ?? Number.POSITIVE_INFINITY).toBeGreaterThan(answersAt + restartedLeaseMs);
	});
});
