import {describe, expect, it} from 'vitest';
import {type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

const taskId = 'job.0.0.0';
/** Endpoints shorten longer leases to this time. */
const maxLeaseMs = 10_000;
/** When the endpoint starts its second life, in which its clock starts anew, and answers the poll that was meant for the first. */
const rebornAt = 2000;
/** The owner uses the second life from 1.6 s after its first answer. */
const jobStoredAt = 3600;
/** When the endpoint answers for the last time; its task is running then. */
const lastAnswerAt = 3800;
const observedUntil = 16_000;

type Case = {
	readonly name: string;
	/** Whether the second life takes the poll that was sent to the first. */
	readonly isPollTaken: boolean;
	/** The clock of the first life is ahead of the owner's by this time. */
	readonly firstClockMs: number;
};

/** Returns how long the endpoint's lease lasts, and when the owner starts the task again elsewhere, both in ms. */
function measureRestart({isPollTaken, firstClockMs}: Case): {readonly leaseEndsAt: number; readonly restartedAt: number} {
	const owner = createTestOwner({roster: {endpointIds: ['reborn', 'spare']}, endpoints: ['reborn', 'spare'], jobs: []});
	let leaseEndsAt = 0;
	let restartedAt = Number.POSITIVE_INFINITY;
	let run = 0;
	const apply = (event: JobEvent, now: number) => {
		for (const effect of owner.apply(event, now)) {
			const isReached = (effect.kind === 'poll-endpoint' || effect.kind === 'start-task') && effect.target.endpointId === 'reborn' && now >= rebornAt - (isPollTaken ? 25 : 0) && now <= lastAnswerAt;
			if (isReached && effect.deadlineMs !== undefined) {
				const clockMs = Math.max(0, now - rebornAt);
				leaseEndsAt = Math.max(leaseEndsAt, now + Math.min(effect.deadlineMs - clockMs, maxLeaseMs));
			}

			if (effect.kind === 'start-task' && effect.target.endpointId === 'reborn') {
				run = effect.run;
			}

			if (effect.kind === 'start-task' && effect.target.endpointId === 'spare') {
				restartedAt = Math.min(restartedAt, now);
			}
		}
	};

	for (let now = 25; now < observedUntil; now += 25) {
		const running = run === 0
			? []
			: [{
				taskId, run, checkpoint: '', percent: 10, load: 0,
			}];
		if (now < rebornAt) {
			apply(createTestPollAnswer('reborn', firstClockMs + now), now);
		} else if (now <= lastAnswerAt) {
			apply({...createTestPollAnswer('reborn', now - rebornAt), startedAt: 2, running}, now);
		} else if (now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'reborn', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		}

		// The spare endpoint is not known to answer until the task has been started.
		if (run !== 0) {
			apply(createTestPollAnswer('spare', 1000 + now), now);
		}

		if (now === jobStoredAt) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('job', [{}]))}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return {leaseEndsAt, restartedAt};
}

const cases: readonly Case[] = [
	{name: 'the poll was lost', isPollTaken: false, firstClockMs: 500_000},
	// Guards against a lease that counts as expired before it is, as the endpoint took the deadline of a poll on the clock of its first life.
	{name: 'the poll was taken', isPollTaken: true, firstClockMs: 0},
	{name: 'the poll was taken and the first clock was far ahead', isPollTaken: true, firstClockMs: 500_000},
];

describe('a task on an endpoint that was reborn under a pending poll and falls silent', () => {
	it.each(cases)('is started elsewhere after its lease if $name', input => {
		const {leaseEndsAt, restartedAt} = measureRestart(input);
		expect(restartedAt).toBeLessThan(observedUntil);
		expect(restartedAt).toBeGreaterThan(leaseEndsAt);
	});
});
