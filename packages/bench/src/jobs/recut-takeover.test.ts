import {expect, it} from 'vitest';
import {holdStarts, playRecut} from './recut.test-support.js';

// Guards against a next owner that waits for the leases that were granted before it took over, but not for orders that were on their way.
it('a late start is carried out beyond a long cut after the loss of the owner', () => {
	const {violations, unfinishedJobIds, routedCount} = playRecut({
		name: 'late start unknown to the next owner',
		durationMs: 13_000,
		steps: [[0, 'submit'], [330, 'restart'], [930, 'kill-owner'], [1080, 'cut'], [9000, 'cut']],
		route: holdStarts(330, 4000),
	});
	expect(violations).toEqual([]);
	expect(unfinishedJobIds).toEqual([]);
	expect(routedCount).toBeGreaterThan(0);
});
