import {describe, expect, it} from 'vitest';
import {storeKeys, type OperatorCommand} from '@pistachiogauge/model';
import {createRig, listServing} from './fleet-rig.test-support.js';

const drain: OperatorCommand = {command: 'drain', pool: 'p', instance: 'p1'};

describe('a store restored from an older copy', () => {
	// Guards against an instance that the owners by the older and by the newer record both send to.
	it('gets the newer record of a moved instance back', () => {
		const {rig, entry} = createRig(['p']);
		const other = rig.addEntry('other', 1, ['q']);
		rig.run(2000);
		const key = `${storeKeys.instancesPrefix}p1`;
		const older = rig.pairs.get(key)!;
		rig.call(entry, {
			command: 'move', pool: 'p', instance: 'p1', targetPool: 'q',
		});
		rig.run(3000);
		rig.pairs.set(key, older);
		for (const item of [entry, other]) {
			rig.push(item, {kind: 'store-reached'});
			expect(listServing(entry)).not.toContain('p1');
		}

		rig.run(20_000);
		expect(rig.getPool('p1')).toBe('q');
		expect(listServing(entry)).toEqual(['p2', 'p3']);
		expect(listServing(other, 'q')).toEqual(['p1', 'q1', 'q2']);
	});

	// Guards against a drained instance that gets work again.
	it('gets the permits back', () => {
		const {rig, entry} = createRig();
		const key = `${storeKeys.poolsPrefix}p`;
		const older = rig.pairs.get(key)!;
		rig.call(entry, drain);
		rig.run(1000);
		rig.pairs.set(key, older);
		rig.push(entry, {kind: 'store-reached'});
		expect(listServing(entry)).not.toContain('p1');
		rig.run(100);
		expect(rig.getRecord('p').permits.p1?.stage).toBe('stopped');
		expect(listServing(entry)).toEqual(['p2', 'p3']);
	});
});
