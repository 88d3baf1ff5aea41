import {describe, expect, it} from 'vitest';
import {getRetryPauseMs} from './retry-pause.js';

// Guards against a store that is overrun by all entries at once when it comes back.
const cases = [
	{
		name: 'the first failure', failures: 1, fraction: 0, expected: 100,
	},
	{
		name: 'jitter', failures: 1, fraction: 1, expected: 300,
	},
	{
		name: 'a doubled pause', failures: 3, fraction: 0.5, expected: 800,
	},
	{
		name: 'the limit', failures: 50, fraction: 0.5, expected: 3000,
	},
];

describe('getRetryPauseMs', () => {
	it.each(cases)('$name', ({failures, fraction, expected}) => {
		expect(getRetryPauseMs(failures, fraction)).toBe(expected);
	});
});
