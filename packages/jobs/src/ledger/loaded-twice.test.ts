import {describe, expect, it} from 'vitest';
import {type ReportedEnd} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const job = createStoredTestJob(createTestJob('job', [{}, {after: [0]}]));
const firstTaskId = 'job.0.0.0';
const observedUntil = 2000;

/** Counts the starts of a task that ends as done after 200 ms, while the records of the pool, as they were before, arrive again at the given time. */
function countStarts(loadedAgainAt: number | undefined): number {
	const owner = createTestOwner({roster: {endpointIds: ['e1']}, endpoints: ['e1'], jobs: [job]});
	let count = 0;
	let run = 0;
	let startedAt = Number.POSITIVE_INFINITY;
	let acknowledged = 0;
	for (let now = 25; now < observedUntil; now += 25) {
		const end: ReportedEnd = {
			number: 1, taskId: firstTaskId, run, outcome: 'done', checkpoint: '',
		};
		const isEnded = now > startedAt + 200;
		const answer = {
			...createTestPollAnswer('e1', 1000 + now),
			running: Number.isFinite(startedAt) && !isEnded
				? [{
					taskId: firstTaskId, run, checkpoint: '', percent: 10, load: 0,
				}]
				: [],
			ended: isEnded && acknowledged < end.number ? [end] : [],
		};
		const effects = [...owner.apply(answer, now), ...owner.apply({kind: 'tick'}, now)];
		if (now === loadedAgainAt) {
			effects.push(...owner.apply({
				kind: 'pool-read', pool: 'desk', token: 7, jobs: [job], ended: new Map(), roster: {endpointIds: ['e1']}, rosterRevision: 4, evacuatedEndpointIds: [], durationModels: {},
			}, now));
		}

		for (const effect of effects) {
			if (effect.kind === 'poll-endpoint') {
				acknowledged = Math.max(acknowledged, effect.lastSavedEnd);
			}

			if (effect.kind === 'start-task' && effect.taskId === firstTaskId) {
				count += 1;
				run = effect.run;
				startedAt = Math.min(startedAt, now);
			}
		}
	}

	return count;
}

// Guards against saved progress that is replaced by older records of the same load (see the load that is repeated in repeated-load.test.ts of the entry).
const cases: ReadonlyArray<{readonly name: string; readonly loadedAgainAt: number | undefined}> = [
	{name: 'loaded once', loadedAgainAt: undefined},
	{name: 'loaded again under the same claim', loadedAgainAt: 1000},
];

describe('a task that has ended as done in a pool', () => {
	it.each(cases)('that is $name is started once', ({loadedAgainAt}) => {
		expect(countStarts(loadedAgainAt)).toBe(1);
	});
});
