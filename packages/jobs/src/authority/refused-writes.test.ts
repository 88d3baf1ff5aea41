import {describe, expect, it} from 'vitest';
import {type JobEffect, type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

/** From when the store refuses all writes, as those of all entries together exceed its limit; it answers reads. */
const refusedFrom = 1000;
const jobStoredAt = 12_000;
const observedUntil = 13_000;

type Case = {
	readonly name: string;
	readonly areWritesRefused: boolean;
};

/** Tells whether the lease of an endpoint is still renewed and a new job started 11 s after the store began to refuse writes. */
function observeOrders(areWritesRefused: boolean): {readonly isRenewed: boolean; readonly isStarted: boolean} {
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [createStoredTestJob(createTestJob('first', [{}]))]});
	let isRenewed = false;
	let isStarted = false;
	let run = 0;
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			handleEffect(effect, now);
		}
	};

	const handleEffect = (effect: JobEffect, now: number): void => {
		if (effect.kind === 'confirm-claim' && !owner.confirmsClaim) {
			apply({
				kind: 'claim-confirmed', name: effect.name, token: effect.token, requestedAt: {now, wallTime: now},
			}, now);
		}

		isRenewed ||= effect.kind === 'poll-endpoint' && effect.deadlineMs !== undefined && now > jobStoredAt;
		isStarted ||= effect.kind === 'start-task' && effect.taskId === 'second.0.0.0';
		run = effect.kind === 'start-task' && effect.taskId === 'first.0.0.0' ? effect.run : run;
	};

	for (let now = 25; now < observedUntil; now += 25) {
		owner.confirmsClaim = !areWritesRefused || now < refusedFrom;
		apply({
			...createTestPollAnswer('e1', 1000 + now), running: run === 0
				? []
				: [{
					taskId: 'first.0.0.0', run, checkpoint: '', percent: Math.min(99, Math.floor(now / 130)), load: 0,
				}],
		}, now);
		if (now === jobStoredAt) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('second', [{}]))}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return {isRenewed, isStarted};
}

// Guards against an owner that stops although the store answers it: its permission is confirmed by writes alone, and it asks for no other confirmation.
const cases: readonly Case[] = [
	{name: 'applies writes', areWritesRefused: false},
	{name: 'refuses writes and answers reads', areWritesRefused: true},
];

describe('an owner whose store', () => {
	it.each(cases)('$name goes on giving orders', ({areWritesRefused}) => {
		expect(observeOrders(areWritesRefused)).toEqual({isRenewed: true, isStarted: true});
	});
});
