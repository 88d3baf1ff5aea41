import {expect, it} from 'vitest';
import {compareShares, isShareKept} from './compare-shares.js';

it.each([
	{title: 'none is lost', onTime: 400, expected: true},
	{title: 'a twentieth is lost', onTime: 380, expected: true},
	{title: 'more is lost', onTime: 379, expected: false},
	{title: 'more are on time', onTime: 401, expected: true},
])('whether the share of the other accounts is kept: $title', ({onTime, expected}) => {
	expect(isShareKept({without: {sent: 420, onTime: 400}, beside: {sent: 420, onTime}})).toBe(expected);
});

// Guards against a comparison of loads that differ by more than the hot account.
it('gives the other accounts the same load with and without the hot one, and the hot one more than it has capacity for', () => {
	const {without, beside, hot} = compareShares(1, 6);
	expect(beside.sent).toBe(without.sent);
	expect(without.onTime).toBeGreaterThan(without.sent * 0.9);
	expect(hot.sent).toBeGreaterThan(beside.sent);
});
