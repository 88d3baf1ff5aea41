import {describe, expect, it} from 'vitest';
import {type OperatorCommand} from '@pistachiogauge/model';
import {
	addAttempt, createRig, listServing, type StoreFault,
} from './fleet-rig.test-support.js';

const drain: OperatorCommand = {command: 'drain', pool: 'p', instance: 'p1'};

type WithdrawalCase = {
	readonly name: string;
	readonly fault: StoreFault;
	readonly outageMs: number;
	/** Whether the drain is in the record at the end. */
	readonly isDrained: boolean;
	readonly status: number;
};

// Guards against a planned stop that takes effect after an outage in which the budget was used up by failures (soak seed 96).
const cases: readonly WithdrawalCase[] = [
	{
		name: 'a write that was lost in a long outage is withdrawn', fault: 'write-lost', outageMs: 7000, isDrained: false, status: 504,
	},
	{
		name: 'a write that was lost for two seconds is withdrawn and refused', fault: 'out', outageMs: 2000, isDrained: false, status: 503,
	},
	{
		name: 'a write that took effect is found by reading back', fault: 'answer-lost', outageMs: 7000, isDrained: true, status: 200,
	},
];

describe('pool writes in an outage', () => {
	it.each(cases)('$name', ({fault, outageMs, isDrained, status}) => {
		const {rig, entry} = createRig();
		rig.fault = fault;
		rig.call(entry, drain);
		rig.run(500);
		rig.down.add('p2');
		rig.run(outageMs - 500, () => {
			expect(listServing(entry), 'nothing is sent while the write is open').not.toContain('p1');
		});
		rig.fault = 'none';
		rig.run(3000);
		expect(rig.getRecord('p').permits.p1 !== undefined).toBe(isDrained);
		expect(entry.answers.map(answer => answer.status)).toEqual([status]);
	});
});

// Guards against a stop that goes on beyond the budget because its permit was recorded late (soak seed 497).
it('holds a drain while failures have used the budget up', () => {
	const {rig, entry} = createRig();
	addAttempt(entry, 'p1');
	rig.call(entry, drain);
	rig.run(500);
	rig.down.add('p2');
	rig.run(10_000);
	entry.state.dispatch.attempts.clear();
	rig.run(2000);
	expect(rig.getRecord('p').permits.p1?.stage).toBe('draining');
	rig.down.clear();
	rig.run(10_000);
	expect(rig.getRecord('p').permits.p1?.stage).toBe('stopped');
});

// Guards against a planned stop that relies on a list in which failures have not shown yet (soak seed 611).
it.each<{listAgeMs: number; status: number}>([
	{listAgeMs: 2000, status: 200},
	{listAgeMs: 4000, status: 409},
])('a list that is $listAgeMs ms old leads to status $status', ({listAgeMs, status}) => {
	const {rig, entry} = createRig();
	rig.now += listAgeMs;
	rig.call(entry, drain);
	expect(entry.answers).toMatchObject([{status}]);
});
