import {describe, expect, it} from 'vitest';
import {type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestEndpoint, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

const observedUntil = 120_000;
/** Orders of the previous owner end 8.92 s after the pool was loaded, arrive up to 12 s later and grant up to 10.45 s. */
const lastLeaseEndMs = 31_500;

/** @returns When a task of a pool that was taken over is started, while an endpoint of the roster answers nothing and is listed as another process at the given times. */
function findStart(listedAt: readonly number[]): number {
	const owner = createTestOwner({roster: {endpointIds: ['reborn', 'spare'], processes: {reborn: 1, spare: 1}}, endpoints: ['reborn', 'spare'], jobs: [createStoredTestJob(createTestJob('job', [{}]))]});
	let found = Number.POSITIVE_INFINITY;
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				found = Math.min(found, now);
			}
		}
	};

	for (let now = 25; now < observedUntil; now += 25) {
		if (listedAt.includes(now)) {
			apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('reborn', 'desk', {startedAt: 5000 + now})}, now);
		}

		if (now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'reborn', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		}

		apply(createTestPollAnswer('spare', 1000 + now), now);
		apply({kind: 'tick'}, now);
	}

	return found;
}

/** The same while the owner itself has sent a start that was not answered. */
function findOwnStart(listedAt: readonly number[]): number {
	const owner = createTestOwner({roster: {endpointIds: ['reborn', 'spare']}, endpoints: ['reborn', 'spare'], jobs: []});
	let found = Number.POSITIVE_INFINITY;
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task' && effect.target.endpointId === 'spare') {
				found = Math.min(found, now);
			}
		}
	};

	for (let now = 25; now < observedUntil; now += 25) {
		if (now <= 500) {
			apply(createTestPollAnswer('reborn', 1000 + now), now);
		} else if (now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'reborn', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		}

		if (now === 500) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('job', [{}]))}, now);
		}

		if (now === 1200) {
			apply({
				kind: 'start-refused', endpointId: 'reborn', token: 7, taskId: 'job.0.0.0', run: 1, refusal: 'no-answer',
			}, now);
		}

		if (listedAt.includes(now)) {
			apply({kind: 'endpoint-changed', endpoint: createTestEndpoint('reborn', 'desk', {startedAt: 5000 + now})}, now);
		}

		if (now > 2000) {
			apply(createTestPollAnswer('spare', 1000 + now), now);
		}

		apply({kind: 'tick'}, now);
	}

	return found;
}

const cases = [{listedAt: [1000]}, {listedAt: [1000, 15_000]}, {listedAt: [1000, 15_000, 29_000]}, {listedAt: Array.from({length: 8}, (_, index) => 1000 + (index * 14_000))}];

// Guards against a pool that stands still for as long as one of its endpoints that is out of reach starts again and again.
describe('an endpoint out of reach that starts again', () => {
	it.each(cases)('after takeover, is not waited for beyond the last order of the previous owner if listed at $listedAt', ({listedAt}) => {
		expect(findStart(listedAt)).toBeLessThan(lastLeaseEndMs);
	});
	it.each(cases)('does not hold an unanswered start beyond the last lease it can get if listed at $listedAt', ({listedAt}) => {
		expect(findOwnStart(listedAt)).toBeLessThan(500 + 700 + 22_450 + 1000);
	});
});
