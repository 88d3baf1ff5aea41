import {describe, expect, it} from 'vitest';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const taskId = 'job.0.0.0';
const answersAt = 1000;
const observedUntil = 12_000;

type Case = {
	readonly name: string;
	/** Runs that the roster names for the silent endpoint. */
	readonly runs: ReadonlyArray<{readonly taskId: string; readonly run: number}>;
	/** Whether the silent endpoint answers, without runs and ends, as it has restarted. */
	readonly isAnswering: boolean;
};

/** Lists the endpoints on which a new owner starts a task whose runs are on record for a silent endpoint. */
function listStarts({runs, isAnswering}: Case): string[] {
	const owner = createTestOwner({roster: {endpointIds: ['spare'], silentRuns: {silent: runs}}, endpoints: ['spare', 'silent'], jobs: [createStoredTestJob(createTestJob('job', [{}]))]});
	const starts: string[] = [];
	for (let now = 25; now < observedUntil; now += 25) {
		const effects = [...owner.apply(createTestPollAnswer('spare', 1000 + now), now)];
		if (isAnswering && now === answersAt) {
			effects.push(...owner.apply(createTestPollAnswer('silent', 1000 + now), now));
		}

		effects.push(...owner.apply({kind: 'tick'}, now));
		starts.push(...effects.flatMap(effect => effect.kind === 'start-task' ? [effect.target.endpointId] : []));
	}

	return starts;
}

// Guards against a task that waits forever, as the roster names a run and the unsaved end of an earlier one for the same endpoint, and only one of them is dropped (jobs-soak --seeds 140 --faults endpoint-reborn).
const cases: readonly Case[] = [
	{name: 'one run and it answers', runs: [{taskId, run: 3}], isAnswering: true},
	{name: 'one run and its lease expires', runs: [{taskId, run: 3}], isAnswering: false},
	{name: 'two runs and it answers', runs: [{taskId, run: 3}, {taskId, run: 2}], isAnswering: true},
	{name: 'two runs and its lease expires', runs: [{taskId, run: 3}, {taskId, run: 2}], isAnswering: false},
];

describe('a task with runs on record for a silent endpoint', () => {
	it.each(cases)('is started again after $name', input => {
		expect(listStarts(input)).toHaveLength(1);
	});
});
