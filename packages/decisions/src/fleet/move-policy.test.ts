import {describe, expect, it} from 'vitest';
import {chooseRebalanceAction, loadSampleCount} from './move-policy.js';

/** Creates a full load history that repeats a pattern. */
const createSamples = (pattern: readonly number[]) => Array.from({length: loadSampleCount}, (_, index) => pattern[index % pattern.length]!);

const cases = [
	// Guards against a move for each burst: one sample at five times the mean load, a twentieth of the mean in between.
	{
		name: 'periodic bursts', samples: createSamples([2.5, 0.025, 0.025, 0.025, 0.025]), instances: 7, borrowed: 1, expected: 'none',
	},
	{
		name: 'a history that is too short', samples: createSamples([2]).slice(1), instances: 7, borrowed: 0, expected: 'none',
	},
	{
		name: 'a lasting shortage', samples: createSamples([1.2]), instances: 7, borrowed: 0, expected: 'borrow',
	},
	{
		name: 'a shortage with occasional gaps', samples: createSamples([1.2, 1.2, 1.2, 1.2, 0.1]), instances: 7, borrowed: 0, expected: 'borrow',
	},
	// Guards against an instance that moves back and forth: a load of 1.0 on 7 instances falls to 0.875 once an 8th is borrowed.
	{
		name: 'after borrowing an instance', samples: createSamples([0.875]), instances: 8, borrowed: 1, expected: 'none',
	},
	{
		name: 'a lasting low load with a borrowed instance', samples: createSamples([0.3]), instances: 8, borrowed: 1, expected: 'return',
	},
	{
		name: 'a lasting low load without a borrowed instance', samples: createSamples([0.3]), instances: 8, borrowed: 0, expected: 'none',
	},
	// Guards against returning an instance when the pool would then be short again.
	{
		name: 'a load that is low only because of the borrowed instance', samples: createSamples([0.3]), instances: 2, borrowed: 1, expected: 'none',
	},
];

describe('chooseRebalanceAction', () => {
	it.each(cases)('$name', ({samples, instances, borrowed, expected}) => {
		expect(chooseRebalanceAction(samples, instances, borrowed)).toBe(expected);
	});
});
