import {describe, expect, it} from 'vitest';
import {holdStarts, playRecut, type RecutCase} from './recut.test-support.js';

const cases: readonly RecutCase[] = [
	// Guards against a second run of a task whose start is given up because the next process has not carried it out yet.
	{
		name: 'late start, the task runs elsewhere',
		durationMs: 8000,
		steps: [[0, 'submit'], [330, 'restart']],
		route: holdStarts(330, 3500),
	},
	// Guards against a start after an end as done, by an order that was given up.
	{
		name: 'late start, the task is done elsewhere',
		durationMs: 300,
		steps: [[0, 'submit'], [330, 'restart']],
		route: holdStarts(330, 4500),
	},
	// Guards against a start that is given up because the lease of the former process has expired.
	{
		name: 'late start, the lease has expired',
		durationMs: 13_000,
		steps: [[0, 'submit'], [200, 'block-orders'], [330, 'restart'], [16_000, 'unblock-orders']],
		route: holdStarts(330, 9000),
	},
	// Guards against a start that is given up and can no longer be stopped, as the endpoint is cut off and the owner lost.
	{
		name: 'late start, cut off and owner lost',
		durationMs: 8000,
		steps: [[0, 'submit'], [330, 'restart'], [2100, 'kill-owner'], [2150, 'cut']],
		route: holdStarts(330, 5000),
	},
	// Guards against a run that is taken for gone, as a list that was made before its start shows a restart.
	{
		name: 'list made before an answered start',
		durationMs: 8000,
		steps: [[800, 'restart-quickly'], [2860, 'submit']],
		route: ({kind}, at) => kind === 'poll-endpoint' && at > 800 && at < 1000 ? {kind: 'slow', delayMs: 0, answerDelayMs: 450} : undefined,
	},
	// Guards against a lease that lasts longer than the owner counts, as a deadline on the clock of the former process lies far ahead.
	{
		name: 'late poll extends the next lease',
		durationMs: 13_000,
		steps: [[0, 'submit'], [100, 'submit-filler'], [2000, 'restart'], [8100, 'cut']],
		route: ({kind}, at) => kind === 'poll-endpoint' && at < 2000 ? {kind: 'late', delayMs: 8000 - at} : undefined,
	},
	// Guards against an acknowledgement for the former process that deletes an end of the next one.
	{
		name: 'late acknowledgement of an unread end',
		durationMs: 300,
		steps: [[0, 'submit'], [1000, 'restart'], [5900, 'submit-filler'], [6000, 'submit']],
		route(order, at) {
			if (order.kind !== 'poll-endpoint') {
				return undefined;
			}

			if (at < 1000 && order.lastSavedEnd === 1) {
				return {kind: 'late', delayMs: 7000 - at};
			}

			// The answer that lists the end is lost.
			return at > 4800 && at < 6000 ? {kind: 'late', delayMs: 0} : undefined;
		},
	},
	// Guards against a lease that is counted on the clock of the former process.
	{
		name: 'start on the clock of the former one',
		durationMs: 13_000,
		steps: [[0, 'submit'], [20, 'deafen-owner'], [20, 'restart-quickly'], [1000, 'cut']],
		route: ({kind}, at) => kind === 'start-task' && at < 1000 ? {kind: 'usual'} : undefined,
	},
];

describe('orders that the next process of an endpoint carries out', () => {
	it.each(cases)('$name', each => {
		const {violations, unfinishedJobIds, routedCount} = playRecut(each);
		expect(violations).toEqual([]);
		expect(unfinishedJobIds).toEqual([]);
		expect(routedCount).toBeGreaterThan(0);
	});
});
