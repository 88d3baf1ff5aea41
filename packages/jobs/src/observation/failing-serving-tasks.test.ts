import {expect, it} from 'vitest';
import {type JobEvent, type ReportedEnd} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const endpointIds = ['e1', 'e2', 'e3', 'e4'];
const durationMs = 60_000;
const tickMs = 25;
const pollMs = 250;
/** A long-running task is at work this long after its start. */
const startupMs = 500;
/** A long-running task may be without a run for this long beside an endpoint with room, by the platform's rule on lost work. */
const idleBoundMs = 6000;

type Case = {
	readonly name: string;
	/** Jobs of which each endpoint runs a task, by the time after which each of their runs fails. */
	readonly lifeMs: readonly number[];
};

type Run = {readonly taskId: string; readonly run: number; readonly startedAt: number};

/** Plays long-running jobs with a task for each endpoint. @returns The longest time without a run of any task. */
function measureLongestIdle({lifeMs}: Case): number {
	const steps = [{count: endpointIds.length, isLongRunning: true, endpointLimit: 1}];
	const lives = new Map(lifeMs.map((each, index) => [`job${index}`, each]));
	const owner = createTestOwner({
		roster: {endpointIds}, endpoints: endpointIds, jobs: [...lives.keys()].map(id => createStoredTestJob(createTestJob(id, steps))),
	});
	const runs = new Map(endpointIds.map(id => [id, [] as Run[]]));
	const ends = new Map(endpointIds.map(id => [id, [] as ReportedEnd[]]));
	const idleSince = new Map<string, number>([...lives.keys()].flatMap(job => endpointIds.map((_, index) => [`${job}.0.0.${index}`, 0] as const)));
	let longestMs = 0;
	const apply = (event: JobEvent, now: number) => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				const {taskId, run, target: {endpointId, token}} = effect;
				runs.get(endpointId)!.push({taskId, run, startedAt: now});
				longestMs = Math.max(longestMs, now - (idleSince.get(taskId) ?? now));
				idleSince.delete(taskId);
				apply({
					kind: 'start-answered', endpointId, token, taskId, run, clockMs: 1000 + now,
				}, now);
			}
		}
	};

	for (let now = tickMs; now < durationMs; now += tickMs) {
		for (const id of endpointIds) {
			const failed = runs.get(id)!.filter(({taskId, startedAt}) => now >= startedAt + lives.get(taskId.split('.', 1)[0]!)!);
			runs.set(id, runs.get(id)!.filter(run => !failed.includes(run)));
			for (const {taskId, run} of failed) {
				idleSince.set(taskId, now);
				ends.get(id)!.push({
					number: ends.get(id)!.length + 1, taskId, run, outcome: 'failed', checkpoint: '',
				});
			}

			if (failed.length > 0 || now % pollMs === 0) {
				apply({
					...createTestPollAnswer(id, 1000 + now),
					running: runs.get(id)!.map(({taskId, run, startedAt}) => ({
						taskId, run, checkpoint: '', percent: Math.min(100, Math.round((100 * (now - startedAt)) / startupMs)), load: 0,
					})),
					ended: ends.get(id)!.slice(-20),
				}, now);
			}
		}

		apply({kind: 'tick'}, now);
	}

	return Math.max(longestMs, ...[...idleSince.values()].map(since => durationMs - since));
}

const never = Number.POSITIVE_INFINITY;
const cases: readonly Case[] = [
	{name: 'some time after they were at work', lifeMs: [4000, 4500, 5000, never]},
	{name: 'long after they were at work', lifeMs: [5500, 6100, 6700, 7300, never]},
	{name: 'before they are at work', lifeMs: [250, 350, never]},
	{name: 'before and after they are at work', lifeMs: [200, 300, 400, 3500, 4500, never]},
];

// Guards against a pool whose endpoints are all excluded again and again, as failures of long-running tasks were counted and nothing ever set the count back (issue 35).
it.each(cases)('long-running tasks that fail $name are started again in time, and do not keep others from starting', input => {
	expect(measureLongestIdle(input)).toBeLessThanOrEqual(idleBoundMs);
});
