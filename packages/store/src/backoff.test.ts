import {describe, expect, it} from 'vitest';
import {computeBackoffMs} from './backoff.js';

// Guards against all entries calling the store at once when it recovers from an outage.
const cases = [
	{
		name: 'the first failure', failures: 1, fraction: 0, expected: 100,
	},
	{
		name: 'jitter', failures: 1, fraction: 1, expected: 300,
	},
	{
		name: 'a doubled delay', failures: 3, fraction: 0.5, expected: 800,
	},
	{
		name: 'the limit', failures: 50, fraction: 0.5, expected: 3000,
	},
];

describe('getRetryPauseMs', () => {
	it.each(cases)('$name', ({failures, fraction, expected}) => {
		expect(computeBackoffMs(failures, fraction)).toBe(expected);
	});
});
