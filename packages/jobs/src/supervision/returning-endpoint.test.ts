import {describe, expect, it} from 'vitest';
import {type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

const silentAt = 20_000;
const leftAt = 20_500;
const relistedAt = 21_500;
const answersAt = 22_000;
const cutAt = 24_000;
const observedUntil = 50_000;
/** A late order for the former process grants the next one at most 10 s x 1.02 + 0.25 s, from its arrival just before the answer of the next generation. */
const restartedLeaseMs = 10_450;

/** An endpoint's next process takes a task and is cut off. @returns When the task is started elsewhere, after the first answer of the next process. */
function play({leaves}: {readonly leaves: boolean}): {readonly first: string | undefined; readonly firstAt: number; readonly elsewhereAt: number} {
	const owner = createTestOwner({roster: {endpointIds: ['reborn', 'spare']}, endpoints: ['reborn', 'spare'], jobs: []});
	const starts: Array<{readonly id: string; readonly at: number; readonly run: number}> = [];
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				starts.push({id: effect.target.endpointId, at: now, run: effect.run});
				apply({
					kind: 'start-answered', endpointId: effect.target.endpointId, token: 7, taskId: effect.taskId, run: effect.run, clockMs: effect.target.endpointId === 'reborn' ? now - relistedAt : now,
				}, now);
			}
		}
	};

	for (let now = 25; now < observedUntil; now += 25) {
		const run = starts.find(({id}) => id === 'reborn')?.run;
		if (now < silentAt) {
			apply(createTestPollAnswer('reborn', 500_000 + now), now);
		} else if (now >= answersAt && now < cutAt) {
			apply({
				...createTestPollAnswer('reborn', now - relistedAt), startedAt: 5000, running: run === undefined
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

		// The other endpoint takes tasks once the first is cut off.
		if (now >= cutAt) {
			apply(createTestPollAnswer('spare', now), now);
		} else if (now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'spare', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		}

		if (now === leftAt && leaves) {
			apply({kind: 'endpoint-removed', endpointId: 'reborn'}, now);
		}

		if (now === relistedAt) {
			apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('reborn', 'desk', {startedAt: 5000})}, now);
		}

		if (now === answersAt) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('job', [{}]))}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return {first: starts[0]?.id, firstAt: starts[0]?.at ?? 0, elsewhereAt: starts[1]?.at ?? Number.POSITIVE_INFINITY};
}

// Guards against a task that is started elsewhere while a lease runs that a late poll for the former process granted to the next one.
describe('a task on an endpoint that started again and is cut off', () => {
	it.each([{name: 'stays listed', leaves: false}, {name: 'left the directory between', leaves: true}])('waits for a confirmed claim before it is started on the next process, if the endpoint $name', input => {
		const played = play(input);
		expect(played.first).toBe('reborn');
		expect(played.firstAt).toBeGreaterThanOrEqual(answersAt + 1500);
	});
	it.each([{name: 'stayed listed', leaves: false}, {name: 'left the directory between', leaves: true}])('is started elsewhere once any lease is over, if the endpoint $name', input => {
		// The last moment at which a late poll can be carried out is just before the answer at `answersAt`.
		const played = play(input);
		expect(played.elsewhereAt).toBeGreaterThan(answersAt + restartedLeaseMs);
	});
});
