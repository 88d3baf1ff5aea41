import {describe, expect, it} from 'vitest';
import {maxOrderDelayMs, playListedRestart} from './listed-restart.test-support.js';

// Guards against a task that runs twice, as the start that its endpoint's former process did not answer is carried out by the next one.
const cases = [
	{name: 'in its pool', pool: 'desk', ownsOtherPool: false},
	{
		name: 'in its pool, with a wall clock that was set back', pool: 'desk', ownsOtherPool: false, bornAt: 3000,
	},
];

describe('a task whose start was not answered', () => {
	it.each(cases)('is not started elsewhere while the start may be carried out by a later process that is listed $name', input => {
		const starts = playListedRestart(input);
		expect(starts[0]?.id).toBe('moved');
		expect(starts[1]!.at).toBeGreaterThanOrEqual(starts[0]!.at + maxOrderDelayMs);
	});
});
