import {describe, expect, it} from 'vitest';
import {hasLapsed, leaseMs} from './lease-clock.js';

const answered = {
	clockMs: 100_000, clockReadAt: 0, leaseDeadlineMs: 100_000 + leaseMs, previousLeaseExpiresAt: 0,
};
const unanswered = {
	clockMs: undefined, clockReadAt: 0, leaseDeadlineMs: 0, previousLeaseExpiresAt: 6370,
};

// Guards against starting a task elsewhere while it may still run on an endpoint whose clock is as slow as it may be.
const cases = [
	{
		name: 'within the lease', watch: answered, now: leaseMs - 1, expected: false,
	},
	{
		name: 'at the lease\'s end, on a clock 2% slow', watch: answered, now: leaseMs * 1.02, expected: false,
	},
	{
		name: 'after it, with time for the endpoint to end what runs', watch: answered, now: (leaseMs + 251) * 1.02, expected: true,
	},
	{
		name: 'before a former owner\'s lease has ended', watch: unanswered, now: 6300, expected: false,
	},
	{
		name: 'after a former owner\'s lease has ended', watch: unanswered, now: 6371, expected: true,
	},
	{
		name: 'answered, but within a former owner\'s lease', watch: {...answered, leaseDeadlineMs: 0, previousLeaseExpiresAt: 6370}, now: 1000, expected: false,
	},
];

describe('hasLapsed', () => {
	it.each(cases)('$name: $expected', ({watch, now, expected}) => {
		expect(hasLapsed(watch, now)).toBe(expected);
	});
});
