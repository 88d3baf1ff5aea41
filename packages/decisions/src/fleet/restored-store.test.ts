import {describe, expect, it} from 'vitest';
import {storeKeys, type OperatorCommand} from '@pistachiogauge/model';
import {createHarness, listServing} from './fleet-harness.test-support.js';

const drain: OperatorCommand = {command: 'drain', pool: 'p', instance: 'p1'};

describe('a store restored from an older copy', () => {
	// Guards against an instance that gets work from two owners: one according to the older record, one according to the newer.
	it('gets back the newer record of a moved instance', () => {
		const {harness, entry} = createHarness(['p']);
		const other = harness.addEntry('other', 1, ['q']);
		harness.run(2000);
		const key = `${storeKeys.instancesPrefix}p1`;
		const older = harness.pairs.get(key)!;
		harness.call(entry, {
			command: 'move', pool: 'p', instance: 'p1', targetPool: 'q',
		});
		harness.run(3000);
		harness.pairs.set(key, older);
		for (const item of [entry, other]) {
			harness.send(item, {kind: 'store-reached'});
			expect(listServing(entry)).not.toContain('p1');
		}

		harness.run(20_000);
		expect(harness.getRecordedPool('p1')).toBe('q');
		expect(listServing(entry)).toEqual(['p2', 'p3']);
		expect(listServing(other, 'q')).toEqual(['p1', 'q1', 'q2']);
	});

	// Guards against a drained instance that gets work again because its permit is missing from the older copy.
	it('gets back the permits', () => {
		const {harness, entry} = createHarness();
		const key = `${storeKeys.poolsPrefix}p`;
		const older = harness.pairs.get(key)!;
		harness.call(entry, drain);
		harness.run(1000);
		harness.pairs.set(key, older);
		harness.send(entry, {kind: 'store-reached'});
		expect(listServing(entry)).not.toContain('p1');
		harness.run(100);
		expect(harness.getRecord('p').permits.p1?.stage).toBe('stopped');
		expect(listServing(entry)).toEqual(['p2', 'p3']);
	});
});
