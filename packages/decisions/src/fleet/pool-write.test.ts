import {describe, expect, it} from 'vitest';
import {type OperatorCommand} from '@pistachiogauge/model';
import {
	addAttempt, createHarness, listServing, type StoreFault,
} from './fleet-harness.test-support.js';

const drain: OperatorCommand = {command: 'drain', pool: 'p', instance: 'p1'};

type WithdrawalCase = {
	readonly name: string;
	readonly fault: StoreFault;
	readonly outageMs: number;
	/** Whether the drain is in the record at the end. */
	readonly isDrained: boolean;
	readonly status: number;
};

// Guards against a planned stop that takes effect after a store outage, although failures have used up the budget in the meantime (soak seed 96).
const cases: readonly WithdrawalCase[] = [
	{
		name: 'a write that was lost in a long outage is withdrawn', fault: 'write-lost', outageMs: 7000, isDrained: false, status: 504,
	},
	{
		name: 'a write that was lost for two seconds is withdrawn and refused', fault: 'outage', outageMs: 2000, isDrained: false, status: 503,
	},
	{
		name: 'a write that took effect is found by reading back', fault: 'answer-lost', outageMs: 7000, isDrained: true, status: 200,
	},
];

describe('pool writes in a store outage', () => {
	it.each(cases)('$name', ({fault, outageMs, isDrained, status}) => {
		const {harness, entry} = createHarness();
		harness.storeFault = fault;
		harness.call(entry, drain);
		harness.run(500);
		harness.unhealthyInstances.add('p2');
		harness.run(outageMs - 500, () => {
			expect(listServing(entry), 'nothing is sent while the outcome of the write is unknown').not.toContain('p1');
		});
		harness.storeFault = 'none';
		harness.run(3000);
		expect(harness.getRecord('p').permits.p1 !== undefined).toBe(isDrained);
		expect(entry.answers.map(answer => answer.status)).toEqual([status]);
	});
});

// Guards against a stop that continues beyond the budget because its permit was recorded late (soak seed 497).
it('holds a drain while failures use up the budget', () => {
	const {harness, entry} = createHarness();
	addAttempt(entry, 'p1');
	harness.call(entry, drain);
	harness.run(500);
	harness.unhealthyInstances.add('p2');
	harness.run(10_000);
	entry.state.dispatch.attempts.clear();
	harness.run(2000);
	expect(harness.getRecord('p').permits.p1?.stage).toBe('draining');
	harness.unhealthyInstances.clear();
	harness.run(10_000);
	expect(harness.getRecord('p').permits.p1?.stage).toBe('stopped');
});

// Guards against a planned stop that relies on an outdated instance list that does not show recent failures (soak seed 611).
it.each<{listAgeMs: number; status: number}>([
	{listAgeMs: 2000, status: 200},
	{listAgeMs: 4000, status: 409},
])('a list that is $listAgeMs ms old leads to status $status', ({listAgeMs, status}) => {
	const {harness, entry} = createHarness();
	harness.now += listAgeMs;
	harness.call(entry, drain);
	expect(entry.answers).toMatchObject([{status}]);
});
