import {describe, expect, it} from 'vitest';
import {type JobEvent} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer, lastGeneration,
} from '../testing.test-support.js';

const silentAt = 22_000;
const answeredAt = 22_800;
const observedUntil = 60_000;
/** The process that answered a start for a former one may have granted it a lease of 10 s. */
const maxLeaseMs = 10_000;

/** Two starts are sent, the answer to one shows a clock that went back, before or after the other counts as unanswered. @returns When the answered task is started on the other endpoint. */
function play(otherRefusedAt: number): number {
	const owner = createTestOwner({roster: {endpointIds: ['reborn', 'spare']}, endpoints: ['reborn', 'spare'], jobs: []});
	const starts: Array<{readonly id: string; readonly taskId: string; readonly at: number; readonly run: number}> = [];
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				starts.push({
					id: effect.target.endpointId, taskId: effect.taskId, at: now, run: effect.run,
				});
				if (effect.target.endpointId === 'spare') {
					apply({
						kind: 'start-answered', endpointId: 'spare', token: 7, taskId: effect.taskId, run: effect.run, clockMs: 1_000_000 + now,
					}, now);
				}
			}
		}
	};

	for (let now = 25; now < observedUntil; now += 25) {
		if (now <= silentAt) {
			apply(createTestPollAnswer('reborn', 500_000 + now), now);
		} else if (now > 23_500 && now % 500 === 0) {
			apply({
				kind: 'poll-refused', endpointId: 'reborn', token: 7, generation: lastGeneration, refusal: 'no-answer',
			}, now);
		}

		if (now === silentAt) {
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('answered', [{}]))}, now);
			apply({kind: 'job-recorded', stored: createStoredTestJob(createTestJob('lost', [{}]))}, now);
		}

		if (now === otherRefusedAt) {
			const {run} = starts.find(({taskId}) => taskId.startsWith('lost.'))!;
			apply({
				kind: 'start-refused', endpointId: 'reborn', token: 7, taskId: 'lost.0.0.0', run, refusal: 'no-answer',
			}, now);
		}

		if (now === answeredAt) {
			const {run} = starts.find(({taskId}) => taskId.startsWith('answered.'))!;
			// Carried out by the next process, whose clock has begun anew.
			apply({
				kind: 'start-answered', endpointId: 'reborn', token: 7, taskId: 'answered.0.0.0', run, clockMs: 100,
			}, now);
		}

		// The other endpoint takes tasks later.
		if (now > 24_000) {
			apply(createTestPollAnswer('spare', 1_000_000 + now), now);
		}

		apply({kind: 'tick'}, now);
	}

	expect(starts[0]?.id).toBe('reborn');
	expect(starts[1]?.id).toBe('reborn');
	return starts.find(({id, taskId}) => id === 'spare' && taskId.startsWith('answered.'))?.at ?? Number.POSITIVE_INFINITY;
}

// Guards against a task that runs twice: an answer tells that a later process runs it, and its lease is counted on the clock of the former one.
describe('a task whose start was answered by a clock that went back', () => {
	it.each([{name: 'after', otherRefusedAt: 22_825}, {name: 'before', otherRefusedAt: 22_775}])('is not started elsewhere before its lease is over if another start counts as unanswered $name that', ({otherRefusedAt}) => {
		expect(play(otherRefusedAt)).toBeGreaterThan(answeredAt + maxLeaseMs);
	});
});
