import {createRandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {countEarlyCancellation, createEarlyCancellations} from './early-cancellations.js';

const random = createRandomSource(1);

type Case = {
	readonly name: string;
	/** Number of cancellations sent before, and their account. */
	readonly before: ReadonlyArray<{readonly account: string | undefined; readonly count: number}>;
	readonly atMs: number;
	readonly account: string | undefined;
	readonly expectedRetryMs: number;
};

// Guards against callers that fill the store with cancellations of random ids, and against one account that keeps others from cancelling.
const cases: readonly Case[] = [
	{
		name: 'the first one is recorded', before: [], atMs: 0, account: undefined, expectedRetryMs: 0,
	},
	{
		name: 'the last one within the limit is recorded', before: [{account: undefined, count: 299}], atMs: 1000, account: undefined, expectedRetryMs: 0,
	},
	{
		name: 'one beyond the limit may come back after the interval', before: [{account: undefined, count: 300}], atMs: 20_000, account: undefined, expectedRetryMs: 40_000,
	},
	{
		name: 'the limit is that of an interval', before: [{account: undefined, count: 300}], atMs: 60_000, account: undefined, expectedRetryMs: 0,
	},
	{
		name: 'an account has a limit of its own', before: [{account: 'museum', count: 100}], atMs: 0, account: 'museum', expectedRetryMs: 60_000,
	},
	{
		name: 'another account is not affected', before: [{account: 'museum', count: 200}], atMs: 0, account: 'library', expectedRetryMs: 0,
	},
];

describe('cancellations of jobs that are not stored', () => {
	it.each(cases)('$name', ({
		before, atMs, account, expectedRetryMs,
	}) => {
		const cancellations = createEarlyCancellations();
		for (const {account: sender, count} of before) {
			for (let index = 0; index < count; index++) {
				countEarlyCancellation(cancellations, sender, {now: 0, wallTime: 0, random});
			}
		}

		expect(countEarlyCancellation(cancellations, account, {now: atMs, wallTime: atMs, random})).toBe(expectedRetryMs);
	});
});
