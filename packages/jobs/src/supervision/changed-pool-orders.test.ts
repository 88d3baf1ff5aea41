import {describe, expect, it} from 'vitest';
import {maxOrderDelayMs, playListedRestart} from './listed-restart.test-support.js';

// Guards against a task that runs twice, as the start that its endpoint's former process did not answer is carried out by the next one, which is in another pool.
const cases = [
	{name: 'in a pool of another entry', pool: 'lamp', ownsOtherPool: false},
	{name: 'in another pool of its owner', pool: 'lamp', ownsOtherPool: true},
];

describe('a task whose start was not answered', () => {
	it.each(cases)('is not started elsewhere while the start may be carried out by a later process that is listed $name', input => {
		const starts = playListedRestart(input);
		expect(starts[0]?.id).toBe('moved');
		expect(starts[1]!.at).toBeGreaterThanOrEqual(starts[0]!.at + maxOrderDelayMs);
	});
});
