import {describe, expect, it} from 'vitest';
import {storeKeys, type EpochRecord} from '@pistachiogauge/model';
import {
	pools, readEpochRecord, runWithOwnerCheck, services, startupMs, threeEntries,
} from '../testing/one-owner.js';
import {createVirtualCluster} from '../testing/virtual-cluster.js';

describe('ownership frozen without a majority', () => {
	// The rejected design lets an owner keep its pools for as long as it knows no newer epoch. An entry that is cut off from
	// the others and alone reaches the store would then take over as well, and both would act. The test writes the record
	// that the rejected design would write.
	it('names two owners for a pool, of which vouchers let only one act', () => {
		const cluster = createVirtualCluster({entries: threeEntries, services});
		runWithOwnerCheck(cluster, startupMs);
		cluster.setLinksToOthers(['a.1'], false);
		cluster.setStoreConnection('b.1', false);
		cluster.setStoreConnection('c.1', false);
		const former = readEpochRecord(cluster);
		const taken: EpochRecord = {
			...former, epoch: 2, members: former.members.filter(member => member.id === 'a.1'), pools: Object.fromEntries(pools.map(pool => [pool, {owner: 'a.1'}])),
			previousMembers: former.members.map(member => member.id), previousPools: former.pools, proposal: 'frozen', previousProposal: former.proposal,
		};
		cluster.pushEvent('a.1', {
			kind: 'store-changed', key: storeKeys.epoch, revision: 90, value: JSON.stringify(taken),
		});
		runWithOwnerCheck(cluster, startupMs);
		const frozenOwners = [...cluster.entries.values()].flatMap(({id, state}) => pools.filter(pool => state.membership.record?.pools[pool]?.owner === id));
		expect(frozenOwners.length).toBeGreaterThan(pools.length);
		expect(pools.map(pool => cluster.listActingOwners(pool))).toEqual(pools.map(pool => [former.pools[pool]!.owner]));
	});
});
