import {describe, expect, it} from 'vitest';
import {
	pools, runWithOwnerCheck, services, startupMs, threeEntries,
} from '../testing/one-owner.js';
import {createVirtualCluster} from '../testing/virtual-cluster.js';

const forceCases = [
	// Guards against a forced epoch that bypasses a majority which is still present.
	{
		name: 'refused while a majority is present', killed: ['c.1'], epoch: 2, status: 409, result: 'refused', isServed: true,
	},
	// Guards against two operators forcing different epochs.
	{
		name: 'refused for another epoch than the one in force', killed: ['b.1', 'c.1'], epoch: 7, status: 409, result: 'refused', isServed: false,
	},
	// Guards against a system that cannot recover after two zones are lost permanently.
	{
		name: 'accepted without a majority', killed: ['b.1', 'c.1'], epoch: 1, status: 200, result: 'done', isServed: true,
	},
];

describe('membership-force', () => {
	it.each(forceCases)('$name', ({killed, epoch, status, result, isServed}) => {
		const cluster = createVirtualCluster({entries: threeEntries, services});
		runWithOwnerCheck(cluster, startupMs);
		for (const id of killed) {
			cluster.killEntry(id);
		}

		runWithOwnerCheck(cluster, startupMs);
		cluster.pushEvent('a.1', {
			kind: 'operator-called', callId: 'call', operator: 'ada', command: {command: 'membership-force', epoch},
		});
		runWithOwnerCheck(cluster, 900);
		const actingEarly = pools.flatMap(pool => cluster.listActingOwners(pool)).filter(id => id === 'a.1').length;
		expect(isServed || actingEarly === 0).toBe(true);
		runWithOwnerCheck(cluster, startupMs);
		expect(cluster.operatorAnswers.map(answer => answer.status)).toEqual([status]);
		const {audit} = cluster.entries.get('a.1')!.state;
		expect([...audit.segment, ...audit.unwritten].map(record => [record.action, record.result])).toEqual([['membership-force', result]]);
		expect(pools.every(pool => cluster.listActingOwners(pool).length === 1)).toBe(isServed);
	});
});
