import {describe, expect, it} from 'vitest';
import {type JobEvent} from '../model/index.js';
import {createTestProcess, createTestRunLog, type TestOrder} from '../supervision/test-endpoint.test-support.js';
import {createStoredTestJob, createTestJob, createTestOwner} from '../testing.test-support.js';

const observedUntil = 30_000;
const stepMs = 25;
const endpointIds = ['e1', 'e2', 'e3'];

type Case = {
	readonly name: string;
	/** Duration of the tasks, which are estimated at 1 s. */
	readonly durationMs: number;
	readonly maxStartsPerTask: number;
};

/** Plays six jobs of one task each. @returns The largest number of starts of a task, and whether all jobs have ended. */
function playTasks({durationMs}: Case): {readonly mostStarts: number; readonly areAllDone: boolean} {
	const jobs = Array.from({length: 6}, (_, index) => createStoredTestJob(createTestJob(`job${index}`, [{}])));
	const owner = createTestOwner({roster: {endpointIds}, endpoints: endpointIds, jobs});
	const log = createTestRunLog();
	const processes = new Map(endpointIds.map(name => [name, createTestProcess({
		name, startedAt: 1, bornAt: -1000, durationMs, log,
	})]));
	const startCounts = new Map<string, number>();
	const due: Array<{readonly at: number; readonly order: TestOrder}> = [];
	const apply = (event: JobEvent, now: number): void => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'poll-endpoint' || effect.kind === 'start-task' || effect.kind === 'stop-task') {
				due.push({at: now + stepMs, order: effect});
			}

			if (effect.kind === 'start-task') {
				startCounts.set(effect.taskId, (startCounts.get(effect.taskId) ?? 0) + 1);
			}
		}
	};

	for (let now = stepMs; now < observedUntil; now += stepMs) {
		for (const process of processes.values()) {
			process.advance(now);
		}

		for (const {order} of due.filter(({at}) => at === now)) {
			apply(processes.get(order.target.endpointId)!.carryOut(order, now), now);
		}

		apply({kind: 'tick'}, now);
	}

	return {mostStarts: Math.max(...startCounts.values()), areAllDone: owner.state.ledger.pools.get('desk')?.jobs.size === 0};
}

const cases: readonly Case[] = [
	{name: 'as long as estimated', durationMs: 1000, maxStartsPerTask: 1},
	// Guards against tasks that are stopped as slow on one endpoint after the other and never end.
	{name: 'twelve times as long as estimated', durationMs: 12_000, maxStartsPerTask: 2},
];

describe('tasks that take', () => {
	it.each(cases)('$name are started at most $maxStartsPerTask times and end', input => {
		const {mostStarts, areAllDone} = playTasks(input);
		expect(areAllDone).toBe(true);
		expect(mostStarts).toBeLessThanOrEqual(input.maxStartsPerTask);
	});
});
