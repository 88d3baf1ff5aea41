import {describe, expect, it} from 'vitest';
import {hasLeaseExpired, leaseMs} from './lease-clock.js';

const answered = {
	clockMs: 100_000, clockReadAt: 0, leaseDeadlineMs: 100_000 + leaseMs, previousLeaseExpiresAt: 0,
};
const unanswered = {
	clockMs: undefined, clockReadAt: 0, leaseDeadlineMs: 0, previousLeaseExpiresAt: 6370,
};

// Guards against starting a task elsewhere while it may still run on an endpoint whose clock is as slow as allowed.
const cases = [
	{
		name: 'within the lease', times: answered, now: leaseMs - 1, expected: false,
	},
	{
		name: 'at the lease deadline, with a clock that is 2% slow', times: answered, now: leaseMs * 1.02, expected: false,
	},
	{
		name: 'after the deadline and the time that the endpoint needs to end its runs', times: answered, now: (leaseMs + 251) * 1.02, expected: true,
	},
	{
		name: 'before the lease of a previous owner has expired', times: unanswered, now: 6300, expected: false,
	},
	{
		name: 'after the lease of a previous owner has expired', times: unanswered, now: 6371, expected: true,
	},
	{
		name: 'answered, but within the lease of a previous owner', times: {...answered, leaseDeadlineMs: 0, previousLeaseExpiresAt: 6370}, now: 1000, expected: false,
	},
];

describe('hasLeaseExpired', () => {
	it.each(cases)('$name: $expected', ({times, now, expected}) => {
		expect(hasLeaseExpired(times, now)).toBe(expected);
	});
});
