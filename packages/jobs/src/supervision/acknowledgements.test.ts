import {describe, expect, it} from 'vitest';
import {type JobEffect, type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const firstTaskId = 'first.0.0.0';
/** When the only endpoint lists the end of the first task. */
const endsAt = 200;
const observedUntil = 1000;

type Case = {
	readonly name: string;
	/** When the second job is stored. */
	readonly storedAt: number;
	/** Time until a start of the second job, or a poll that acknowledges an end, is answered. */
	readonly startAnswerMs: number;
	readonly pollAnswerMs: number;
	/** When the acknowledgement and the start of the second job are sent. */
	readonly expected: {readonly acknowledgedAt: number; readonly startedAt: number};
};

/** Plays an endpoint that answers polls at once, but for acknowledgements, and begins with a run when it answers its start. */
function play({storedAt, startAnswerMs, pollAnswerMs}: Case): Case['expected'] {
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [createStoredTestJob(createTestJob('first', [{}]))]});
	const due: Array<{readonly at: number; readonly event: JobEvent}> = [];
	let acknowledgedAt = Number.POSITIVE_INFINITY;
	let startedAt = Number.POSITIVE_INFINITY;
	const answerEffect = (effect: JobEffect, now: number): void => {
		if (effect.kind === 'start-task') {
			const {taskId, run} = effect;
			startedAt = taskId === firstTaskId ? startedAt : Math.min(startedAt, now);
			due.push({
				at: now + (taskId === firstTaskId ? 25 : startAnswerMs), event: {
					kind: 'start-answered', endpointId: 'e1', token: 7, taskId, run, clockMs: 1000 + now,
				},
			});
		}

		if (effect.kind === 'poll-endpoint') {
			const isAcknowledging = effect.lastSavedEnd > 0;
			acknowledgedAt = isAcknowledging ? Math.min(acknowledgedAt, now) : acknowledgedAt;
			const at = now + (isAcknowledging ? pollAnswerMs : 25);
			const isRunning = at < endsAt;
			due.push({
				at, event: {
					...createTestPollAnswer('e1', 1000 + at),
					generation: effect.target.generation,
					running: isRunning || at < startedAt + startAnswerMs
						? []
						: [{
							taskId: 'second.0.0.0', run: 1, checkpoint: '', percent: 10, load: 0,
						}],
					ended: isRunning || acknowledgedAt < at
						? []
						: [{
							number: 1, taskId: firstTaskId, run: 1, outcome: 'done', checkpoint: '',
						}],
				},
			});
		}
	};

	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			answerEffect(effect, now);
		}
	};

	for (let now = 25; now < observedUntil; now += 25) {
		for (const {event} of due.filter(({at}) => at === now)) {
			apply(event, now);
		}

		if (now === storedAt) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('second', [{}]))}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return {acknowledgedAt, startedAt};
}

// Guards against an acknowledgement and a start that are both carried out late by the next process of their endpoint: the first would delete the end of the second before its owner has read it.
const cases: readonly Case[] = [
	{
		name: 'no start is sent until an acknowledgement is answered', storedAt: 200, startAnswerMs: 25, pollAnswerMs: 300, expected: {acknowledgedAt: 200, startedAt: 500},
	},
	{
		name: 'no acknowledgement is sent until a start is answered', storedAt: 150, startAnswerMs: 300, pollAnswerMs: 25, expected: {acknowledgedAt: 500, startedAt: 200},
	},
];

describe('the orders to an endpoint', () => {
	it.each(cases)('$name', input => {
		expect(play(input)).toEqual(input.expected);
	});
});
