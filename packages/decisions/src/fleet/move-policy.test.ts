import {describe, expect, it} from 'vitest';
import {chooseRebalanceAction, loadSampleCount} from './move-policy.js';

const repeat = (pattern: readonly number[]) => Array.from({length: loadSampleCount}, (_, index) => pattern[index % pattern.length]!);

const cases = [
	// Guards against a move for each burst: five times the mean for one sample, a twentieth of it in between.
	{
		name: 'bursts in turn', samples: repeat([2.5, 0.025, 0.025, 0.025, 0.025]), instances: 7, borrowed: 1, expected: 'none',
	},
	{
		name: 'a short history', samples: repeat([2]).slice(1), instances: 7, borrowed: 0, expected: 'none',
	},
	{
		name: 'lasting shortage', samples: repeat([1.2]), instances: 7, borrowed: 0, expected: 'borrow',
	},
	{
		name: 'shortage with a gap now and then', samples: repeat([1.2, 1.2, 1.2, 1.2, 0.1]), instances: 7, borrowed: 0, expected: 'borrow',
	},
	// Guards against an instance that goes back and forth: after a loan from 1.0 at 7 instances the load is 0.875.
	{
		name: 'after a loan', samples: repeat([0.875]), instances: 8, borrowed: 1, expected: 'none',
	},
	{
		name: 'lasting calm with a loan', samples: repeat([0.3]), instances: 8, borrowed: 1, expected: 'return',
	},
	{
		name: 'lasting calm without a loan', samples: repeat([0.3]), instances: 8, borrowed: 0, expected: 'none',
	},
	// Guards against a return after which the pool would be short again.
	{
		name: 'calm only with the loan', samples: repeat([0.3]), instances: 2, borrowed: 1, expected: 'none',
	},
];

describe('decideMoveWish', () => {
	it.each(cases)('$name', ({samples, instances, borrowed, expected}) => {
		expect(chooseRebalanceAction(samples, instances, borrowed)).toBe(expected);
	});
});
