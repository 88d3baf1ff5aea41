import {describe, expect, it} from 'vitest';
import {createTestJob} from '../testing.test-support.js';
import {type Step, type Task} from './ledger-state.js';
import {restoreJob} from './restore-job.js';
import {
	completeTask, countPendingTasks, formatMarks, getTask, hasPendingTask, keepTask, listIdleTimes, listPendingTasks, releaseDoneTasks,
} from './task-table.js';

const actions = {
	start(task: Task) {
		keepTask(task);
		task.runs.set(1, 'endpoint-1');
	},
	stop(task: Task) {
		task.runs.clear();
		task.idleSince = 70;
	},
	complete: completeTask,
} as const;

type Action = keyof typeof actions;

function createStep(marks: string, failedRuns: ReadonlyArray<readonly [taskId: string, runs: readonly number[]]> = []): Step {
	const {record} = createTestJob('job', [{count: 5}]);
	const job = restoreJob({
		job: record, progress: {
			queue: record.queue, status: 'running', steps: Object.fromEntries([['0.0', marks]]), failedRuns: Object.fromEntries(failedRuns), lastRun: 1,
		}, revision: 1, isCancelled: false,
	}, {now: 40, wallTime: 0});
	return job.steps.get('0.0')!;
}

// Guards against tasks that are never started, or started again after their end, as tasks that wait have no objects.
const cases: ReadonlyArray<{
	readonly name: string;
	readonly saved?: string;
	readonly actions?: ReadonlyArray<readonly [Action, number]>;
	readonly pending: readonly number[];
	readonly kept: readonly number[];
	readonly marks: string;
	readonly idleTimes: readonly number[];
}> = [
	{
		name: 'none has been started', pending: [0, 1, 2, 3, 4], kept: [], marks: '', idleTimes: [40],
	},
	{
		name: 'a previous owner has saved some as done', saved: '.d..d', pending: [0, 2, 3], kept: [], marks: '.d..d', idleTimes: [40],
	},
	{
		name: 'more are saved than the step has', saved: 'dddddddd', pending: [], kept: [], marks: 'ddddd', idleTimes: [],
	},
	{
		name: 'some run', actions: [['start', 0], ['start', 3]], pending: [1, 2, 4], kept: [0, 3], marks: '', idleTimes: [40, 40, 40],
	},
	{
		name: 'one has stopped before it was done', actions: [['start', 0], ['start', 1], ['stop', 0]], pending: [0, 2, 3, 4], kept: [0, 1], marks: '', idleTimes: [70, 40, 40],
	},
	{
		name: 'one is done', actions: [['start', 0], ['start', 1], ['stop', 0], ['complete', 0]], pending: [2, 3, 4], kept: [1], marks: 'd', idleTimes: [40, 40],
	},
	{
		name: 'one is done and another run of it goes on', actions: [['start', 2], ['complete', 2]], pending: [0, 1, 3, 4], kept: [2], marks: '..d', idleTimes: [40],
	},
	{
		name: 'one is done that was never started', actions: [['complete', 4]], pending: [0, 1, 2, 3], kept: [], marks: '....d', idleTimes: [40],
	},
];

describe('the tasks of a step', () => {
	it.each(cases)('that wait, are kept and are saved if $name: $pending, $kept, $marks', ({saved = '', actions: done = [], pending, kept, marks, idleTimes}) => {
		const step = createStep(saved);
		for (const [action, index] of done) {
			actions[action](getTask(step, index)!);
		}

		releaseDoneTasks(step);
		expect([...listPendingTasks(step)].map(({index}) => index)).toEqual(pending);
		expect(countPendingTasks(step)).toBe(pending.length);
		expect(hasPendingTask(step)).toBe(pending.length > 0);
		expect([...step.tasks.started.keys()].sort((left, right) => left - right)).toEqual(kept);
		expect(formatMarks(step.tasks)).toBe(marks);
		expect([...listIdleTimes(step)]).toEqual(idleTimes);
	});

	it('keep the failures that a previous owner has saved', () => {
		const step = createStep('d', [['0.0.2', [4, 9]], ['1.0.3', [5]], ['0.0.7', [6]]]);
		expect([...step.tasks.started].map(([index, {failedRuns}]) => [index, [...failedRuns]])).toEqual([[2, [4, 9]]]);
	});

	it.each([-1, 5, 0.5, Number.NaN])('have none with the index %s', index => {
		expect(getTask(createStep(''), index)).toBeUndefined();
	});
});
