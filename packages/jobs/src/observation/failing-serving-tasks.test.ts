import {expect, it} from 'vitest';
import {type JobEvent, type ReportedEnd} from '../model/index.js';
import {
	createStoredTestJob, createTestJob, createTestOwner, createTestPollAnswer,
} from '../testing.test-support.js';

const endpointIds = ['e1', 'e2', 'e3', 'e4'];
const never = Number.POSITIVE_INFINITY;
const durationMs = 60_000;
const tickMs = 25;
const pollMs = 250;
/** A long-running task is at work this long after its start. */
const startupMs = 500;
/** A long-running task may be without a run for this long beside an endpoint with room, by the platform's rule on lost work. */
const idleBoundMs = 6000;

/** Time after which each run of a job's tasks fails; on an endpoint of its own if that is given. */
type Life = {readonly lifeMs: number; readonly endpointId?: string};

type Played = {readonly longestIdleMs: number; /** Starts by endpoint. */ readonly startCounts: ReadonlyMap<string, number>};

type Run = {readonly taskId: string; readonly run: number; readonly startedAt: number};

/** Plays long-running jobs with as many tasks as there are endpoints, of which each may run one. */
function play(jobLives: readonly Life[], taskCount = endpointIds.length): Played {
	const steps = [{count: taskCount, isLongRunning: true, endpointLimit: 1}];
	const lives = new Map(jobLives.map((each, index) => [`job${index}`, each]));
	const owner = createTestOwner({
		roster: {endpointIds}, endpoints: endpointIds, jobs: [...lives.keys()].map(id => createStoredTestJob(createTestJob(id, steps))),
	});
	const getLifeMs = (taskId: string, endpoint: string) => {
		const {lifeMs, endpointId = endpoint} = lives.get(taskId.split('.', 1)[0]!)!;
		return endpointId === endpoint ? lifeMs : never;
	};

	const startCounts = new Map<string, number>();
	const runs = new Map(endpointIds.map(id => [id, [] as Run[]]));
	const ends = new Map(endpointIds.map(id => [id, [] as ReportedEnd[]]));
	const idleSince = new Map<string, number>([...lives.keys()].flatMap(job => Array.from({length: taskCount}, (_, index) => [`${job}.0.0.${index}`, 0] as const)));
	let longestMs = 0;
	const apply = (event: JobEvent, now: number) => {
		for (const effect of owner.apply(event, now)) {
			if (effect.kind === 'start-task') {
				const {taskId, run, target: {endpointId, token}} = effect;
				startCounts.set(endpointId, (startCounts.get(endpointId) ?? 0) + 1);
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
			const failed = runs.get(id)!.filter(({taskId, startedAt}) => now >= startedAt + getLifeMs(taskId, id));
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

	return {longestIdleMs: Math.max(longestMs, ...[...idleSince.values()].map(since => durationMs - since)), startCounts};
}

// Guards against a pool whose endpoints are all excluded again and again, as failures of long-running tasks were counted and nothing ever set the count back (issue 35).
it.each([
	{name: 'some time after they were at work', lives: [4000, 4500, 5000, never]},
	{name: 'long after they were at work', lives: [5500, 6100, 6700, 7300, never]},
	{name: 'before they are at work', lives: [250, 350, never]},
	{name: 'before and after they are at work', lives: [200, 300, 400, 3500, 4500, never]},
])('long-running tasks that fail $name are started again in time, and do not keep others from starting', ({lives}) => {
	expect(play(lives.map(lifeMs => ({lifeMs}))).longestIdleMs).toBeLessThanOrEqual(idleBoundMs);
});

// Guards against starts without end of tasks that fail at once, as failures of long-running tasks no longer exclude endpoints.
it('a long-running task that fails at once is started again after a growing delay', () => {
	const {startCounts} = play([{lifeMs: 50}], 1);
	const startCount = [...startCounts.values()].reduce((sum, count) => sum + count, 0);
	expect(startCount).toBeLessThanOrEqual((durationMs / 2000) + 5);
});

// Guards against an endpoint that fails all that it starts, and is not noticed because long-running tasks fail by themselves as well.
it('an endpoint on which long-running tasks fail at once, and not on others, is avoided', () => {
	const {startCounts, longestIdleMs} = play([50, 50, 50, 50].map(lifeMs => ({lifeMs, endpointId: 'e1'})), endpointIds.length - 1);
	expect(startCounts.get('e1')).toBeLessThanOrEqual(5);
	expect(longestIdleMs).toBeLessThanOrEqual(idleBoundMs);
});
