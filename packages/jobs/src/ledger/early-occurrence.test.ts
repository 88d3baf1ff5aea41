import {describe, expect, it} from 'vitest';
import {
	createStoredTestJob, createStepSpec, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const taskId = 'job.0.0.0';
const observedUntil = 6000;

/** Counts the starts of a task by a new owner whose clock shows 0 when it loads the pool; an endpoint lists the end of a run that the previous owner has started. */
function countStarts(startAtMs: number): number {
	const job = createStoredTestJob(createTestJob('job', [], {
		spec: {
			payload: '', steps: [createStepSpec()], repeatCount: 1, startAtMs, intervalMs: 60_000,
		},
	}));
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [job]});
	let lastSavedEnd = 0;
	let count = 0;
	for (let now = 25; now < observedUntil; now += 25) {
		const end = {
			number: 1, taskId, run: 1, outcome: 'done', checkpoint: '',
		} as const;
		const effects = [...owner.apply({...createTestPollAnswer('e1', 1000 + now), ended: lastSavedEnd < end.number ? [end] : []}, now), ...owner.apply({kind: 'tick'}, now)];
		for (const effect of effects) {
			lastSavedEnd = effect.kind === 'poll-endpoint' ? Math.max(lastSavedEnd, effect.lastSavedEnd) : lastSavedEnd;
			count += effect.kind === 'start-task' ? 1 : 0;
		}
	}

	return count;
}

// Guards against an end that is acknowledged without being saved, as the clock of the new owner is behind and it has not created the occurrence yet.
const cases: ReadonlyArray<{readonly name: string; readonly startAtMs: number}> = [
	{name: 'is due', startAtMs: 0},
	{name: 'is due in 3 s by the clock of the new owner', startAtMs: 3000},
];

describe('a task of an occurrence that has ended as done', () => {
	it.each(cases)('is not started again if the occurrence $name', ({startAtMs}) => {
		expect(countStarts(startAtMs)).toBe(0);
	});
});
