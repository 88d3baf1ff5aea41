import {describe, expect, it} from 'vitest';
import {type JobEffect, type JobEvent, type ReportedEnd} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

/** Ends listed at a time. */
const maxEndsPerAnswer = 500;
const unansweredAt = 5000;
const observedUntil = 30_000;

/** Plays an endpoint that is within reach all the time, holds ends of earlier jobs, and does not get one start. */
function play(endCount: number): {readonly hasAcknowledged: boolean; readonly startCount: number} {
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: []});
	const due: Array<{readonly at: number; readonly event: JobEvent}> = [];
	const running = new Map<string, number>();
	let ends: ReportedEnd[] = [];
	let hasAcknowledged = false;
	let startCount = 0;
	const answer = (effect: JobEffect, now: number): void => {
		if (effect.kind === 'poll-endpoint') {
			hasAcknowledged ||= effect.lastSavedEnd > 0;
			ends = ends.filter(({number}) => number > effect.lastSavedEnd);
			due.push({
				at: now + 25, event: {
					...createTestPollAnswer('e1', 1000 + now + 25), generation: effect.target.generation, ended: ends.slice(0, maxEndsPerAnswer), running: [...running].map(([taskId, run]) => ({
						taskId, run, checkpoint: '', percent: 1, load: 0,
					})),
				},
			});
		}

		if (effect.kind === 'start-task') {
			startCount += 1;
			const {taskId, run} = effect;
			if (startCount === 1) {
				// The start is lost. Meanwhile many ends pile up.
				ends = Array.from({length: endCount}, (_, index) => ({
					number: index + 1, taskId: `old${index}.0.0.0`, run: 1, outcome: 'done', checkpoint: '',
				}));
				due.push({
					at: now + 700, event: {
						kind: 'start-refused', endpointId: 'e1', token: 7, taskId, run, refusal: 'no-answer',
					},
				});
			} else {
				running.set(taskId, run);
				due.push({
					at: now + 25, event: {
						kind: 'start-answered', endpointId: 'e1', token: 7, taskId, run, clockMs: 1000 + now + 25,
					},
				});
			}
		}
	};

	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			answer(effect, now);
		}
	};

	for (let now = 25; now < observedUntil; now += 25) {
		for (const {event} of due.filter(({at}) => at === now)) {
			apply(event, now);
		}

		if (now === unansweredAt) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('job', [{}]))}, now);
		}

		apply({kind: 'tick'}, now);
	}

	return {hasAcknowledged, startCount};
}

// Guards against an acknowledgement that waits for a start, which waits for the list of ends that only the acknowledgement shortens.
describe('an endpoint that answers after a start was lost', () => {
	it.each([{endCount: 499}, {endCount: 500}, {endCount: 700}])('gets its $endCount ends acknowledged and the task started again', ({endCount}) => {
		expect(play(endCount)).toEqual({hasAcknowledged: true, startCount: 2});
	});
});
