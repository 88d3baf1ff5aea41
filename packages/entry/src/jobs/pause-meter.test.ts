import {describe, expect, it} from 'vitest';
import {createPauseMeter} from './pause-meter.js';

// Guards against a process that acts on a permission which ran out while it was paused or suspended.
const cases = [
	{
		name: 'events at the rate of ticks', now: 1025, wallTime: 5025, expected: undefined,
	},
	{
		name: 'a busy loop', now: 1300, wallTime: 5300, expected: undefined,
	},
	{
		name: 'a paused process', now: 4000, wallTime: 8000, expected: 3000,
	},
	{
		name: 'a suspended machine, whose monotonic clock stood still', now: 1025, wallTime: 8000, expected: 3000,
	},
	{
		name: 'a wall clock that was set back', now: 1025, wallTime: 2000, expected: undefined,
	},
	{
		name: 'a pause during which the wall clock was set back', now: 4000, wallTime: 2000, expected: 3000,
	},
] as const;

describe('createPauseMeter', () => {
	it.each(cases)('$name: $expected', ({now, wallTime, expected}) => {
		const measurePause = createPauseMeter({now: 1000, wallTime: 5000});
		expect(measurePause({now, wallTime})).toBe(expected);
		expect(measurePause({now: now + 25, wallTime: wallTime + 25})).toBeUndefined();
	});
});
