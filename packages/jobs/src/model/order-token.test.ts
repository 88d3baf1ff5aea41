import {describe, expect, it} from 'vitest';
import {getClaimToken, computeOrderToken, maxOrderGeneration} from './order-token.js';

// Guards against an order of a former owner, or of an earlier generation, that an endpoint takes after a later one.
const cases = [
	{name: 'of a later generation', earlier: {token: 7, generation: 0}, later: {token: 7, generation: 1}},
	{name: 'of the last generation', earlier: {token: 7, generation: maxOrderGeneration - 1}, later: {token: 7, generation: maxOrderGeneration}},
	{name: 'under a later claim', earlier: {token: 7, generation: maxOrderGeneration}, later: {token: 8, generation: 0}},
	{name: 'under a later claim of a store with many revisions', earlier: {token: 100_000_000_000, generation: maxOrderGeneration}, later: {token: 100_000_000_001, generation: 0}},
] as const;

describe('the fencing token of an order', () => {
	it.each(cases)('$name is higher and tells its claim', ({earlier, later}) => {
		expect(computeOrderToken(later)).toBeGreaterThan(computeOrderToken(earlier));
		expect([earlier, later].map(each => getClaimToken(computeOrderToken(each)))).toEqual([earlier.token, later.token]);
	});
});
