import {describe, expect, it} from 'vitest';
import {holdStarts, playRecut, type RecutCase} from './recut.test-support.js';

const cases: readonly RecutCase[] = [
	// Guards against a next owner that starts a task before the endpoint has returned from a cut with the run.
	{
		name: 'late start, owner lost on the return',
		durationMs: 13_000,
		steps: [[0, 'submit'], [330, 'restart'], [930, 'kill-owner'], [1080, 'cut']],
		route: holdStarts(330, 4000),
	},
	// Guards against a next owner that waits for less than the lease of a start that was sent on the clock of the former process.
	{
		name: 'start on the former clock, owner lost',
		durationMs: 13_000,
		steps: [[0, 'submit'], [20, 'deafen-owner'], [20, 'restart-quickly'], [1000, 'cut'], [1100, 'kill-owner']],
		route: ({kind}, at) => kind === 'start-task' && at < 1000 ? {kind: 'usual'} : undefined,
	},
];

describe('orders that the next process of an endpoint carries out without harm', () => {
	it.each(cases)('$name', each => {
		const {violations, unfinishedJobIds, routedCount} = playRecut(each);
		expect(violations).toEqual([]);
		expect(unfinishedJobIds).toEqual([]);
		expect(routedCount).toBeGreaterThan(0);
	});
});
