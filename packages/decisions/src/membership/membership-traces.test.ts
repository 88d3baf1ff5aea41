import {describe, expect, it} from 'vitest';
import {storeKeys} from '@pistachiogauge/model';
import {
	getOwner, pools, readEpochRecord, runWithOwnerCheck, services, startupMs, threeEntries,
} from '../testing/one-owner.js';
import {createVirtualCluster, type VirtualCluster} from '../testing/virtual-cluster.js';

type Trace = {
	readonly name: string;
	readonly run: (cluster: VirtualCluster) => void;
	/** Checks the members, owners or epoch at the end, as far as the trace determines them. */
	readonly expected?: (cluster: VirtualCluster) => void;
	/** Whether every pool has an acting owner at the end. */
	readonly isServed: boolean;
};

const traces: readonly Trace[] = [
	{
		// Guards against two first epochs when all entries propose at once and the answers to their writes are lost.
		name: 'racing first proposals with lost answers',
		run(cluster) {
			cluster.faults.isAnswerLost = (_by, effect) => effect.kind === 'write-store' && effect.key === storeKeys.epoch;
			runWithOwnerCheck(cluster, startupMs);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).members).toHaveLength(3);
		},
		isServed: true,
	},
	{
		// Guards against an entry that never discovers the others because its first reads failed.
		name: 'every first read fails',
		run(cluster) {
			cluster.faults.isAnswerLost = (_by, effect) => effect.kind === 'read-store';
			runWithOwnerCheck(cluster, 500);
			cluster.faults.isAnswerLost = () => false;
			runWithOwnerCheck(cluster, startupMs);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).members).toHaveLength(3);
		},
		isServed: true,
	},
	{
		// Guards against a takeover by the only entry that reaches the store while the owners it cannot reach still act.
		// Freezing ownership without a majority would allow it; with vouchers the proposer of an epoch needs a majority.
		name: 'one entry alone still reaches the store',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			cluster.setLinksToOthers(['a.1'], false);
			cluster.setStoreConnection('b.1', false);
			cluster.setStoreConnection('c.1', false);
			runWithOwnerCheck(cluster, startupMs);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).epoch).toBe(1);
			expect(pools.flatMap(pool => cluster.listActingOwners(pool)).sort()).toEqual(['b.1', 'c.1']);
		},
		isServed: false,
	},
	{
		// Guards against a minority that keeps acting, and against a majority that never takes over.
		name: 'minority split with the store on the majority side',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			cluster.setLinksToOthers(['a.1'], false);
			cluster.setStoreConnection('a.1', false);
			runWithOwnerCheck(cluster, startupMs);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).members.map(member => member.id)).toEqual(['b.1', 'c.1']);
		},
		isServed: true,
	},
	{
		// Guards against an owner that acts on vouchers which expired while it was paused.
		name: 'a paused owner resumes after its pools moved',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			cluster.entries.get('b.1')!.isPaused = true;
			runWithOwnerCheck(cluster, startupMs);
			cluster.resumeEntry('b.1');
			runWithOwnerCheck(cluster, startupMs);
		},
		isServed: true,
	},
	{
		// Guards against the removal of healthy members after a pause in which all entries were silent.
		name: 'every entry is paused at the same time',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			for (const entry of cluster.entries.values()) {
				entry.isPaused = true;
			}

			runWithOwnerCheck(cluster, 3000);
			for (const id of cluster.entries.keys()) {
				cluster.entries.get(id)!.eventsDuringPause.length = 0;
				cluster.resumeEntry(id);
			}

			runWithOwnerCheck(cluster, startupMs);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).epoch).toBe(1);
		},
		isServed: true,
	},
	{
		// Guards against the removal of all members because all store leases expired during an outage.
		name: 'every store lease expires in an outage',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			for (const id of cluster.entries.keys()) {
				cluster.setStoreConnection(id, false);
			}

			runWithOwnerCheck(cluster, startupMs);
			for (const id of cluster.entries.keys()) {
				cluster.store.pairs.delete(`${storeKeys.membersPrefix}${id}`);
			}

			for (const id of cluster.entries.keys()) {
				cluster.setStoreConnection(id, true);
			}

			runWithOwnerCheck(cluster, startupMs);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).epoch).toBe(1);
			expect([...cluster.store.pairs.keys()].filter(key => key.startsWith(storeKeys.membersPrefix))).toHaveLength(3);
		},
		isServed: true,
	},
	{
		// Guards against entries that can never change the epoch again because they compare with a revision that the store has lost.
		name: 'the store is restored to an older record',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			const restore = cluster.store.createSnapshot();
			cluster.killEntry('c.1');
			runWithOwnerCheck(cluster, startupMs);
			for (const id of ['a.1', 'b.1']) {
				cluster.setStoreConnection(id, false);
			}

			restore();
			runWithOwnerCheck(cluster, 100);
			for (const id of ['a.1', 'b.1']) {
				cluster.setStoreConnection(id, true);
			}

			runWithOwnerCheck(cluster, startupMs);
			cluster.startEntry('d.1', 'z3');
			runWithOwnerCheck(cluster, startupMs);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).members.map(member => member.id)).toEqual(['a.1', 'b.1', 'd.1']);
		},
		isServed: true,
	},
	{
		// Guards against two owners when the store loses an epoch record that one entry has adopted and a second record gets the
		// same epoch number: vouchers that are valid for the number alone would let the owners of both records act.
		name: 'the store loses a record that only one entry has adopted',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			const former = readEpochRecord(cluster);
			const moved = pools.find(pool => former.pools[pool]!.owner === 'b.1')!;
			cluster.startEntry('d.1', 'z3');
			cluster.setLinksToOthers(['a.1'], false);
			cluster.pushEvent('a.1', {
				kind: 'store-changed', key: storeKeys.epoch, revision: 90, value: JSON.stringify({
					...former, epoch: 2, proposal: 'lost', previousProposal: former.proposal,
					pools: {...former.pools, [moved]: {owner: 'a.1', standby: 'b.1'}},
					previousMembers: former.members.map(member => member.id), previousPools: former.pools,
				}),
			});
			runWithOwnerCheck(cluster, 800);
			cluster.setLinksToOthers(['a.1'], true);
			runWithOwnerCheck(cluster, 2 * startupMs);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).members.map(member => member.id)).toEqual(['a.1', 'b.1', 'c.1', 'd.1']);
		},
		isServed: true,
	},
	{
		// Guards against an owner that is never replaced although it cannot act: it receives nothing, but the others hear it.
		name: 'an owner that sends but does not receive',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			cluster.cutLinks.add('a.1>b.1').add('c.1>b.1');
			runWithOwnerCheck(cluster, startupMs);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).members.map(member => member.id)).toEqual(['a.1', 'c.1']);
		},
		isServed: true,
	},
	{
		// Guards against the removal of a member that only one other member cannot reach.
		name: 'the link between a single pair of entries is cut',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			cluster.setLink('a.1', 'b.1', false);
			runWithOwnerCheck(cluster, startupMs);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).epoch).toBe(1);
		},
		isServed: true,
	},
	{
		// Guards against a system that stays without a majority after every process was restarted on the same address.
		name: 'all entries restart on the same addresses',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			const addresses = [...cluster.entries.values()].map(entry => entry.state.config.peerAddress);
			for (const id of ['a.1', 'b.1', 'c.1']) {
				cluster.killEntry(id);
			}

			for (const [index, name] of ['a', 'b', 'c'].entries()) {
				cluster.startEntry(`${name}.2`, `z${index + 1}`, addresses[index]);
			}

			runWithOwnerCheck(cluster, 2 * startupMs);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).members.map(member => member.id)).toEqual(['a.2', 'b.2', 'c.2']);
		},
		isServed: true,
	},
	{
		// Guards against an interruption longer than the voucher time when an entry shuts down gracefully.
		name: 'an owner shuts down gracefully',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			cluster.pushEvent('b.1', {kind: 'shutdown-requested'});
			runWithOwnerCheck(cluster, 900);
		},
		expected(cluster) {
			expect(readEpochRecord(cluster).members.map(member => member.id)).toEqual(['a.1', 'c.1']);
		},
		isServed: true,
	},
	{
		// Guards against overlapping epoch changes: each change requires the previous epoch to be active.
		name: 'members join and end in quick succession',
		run(cluster) {
			runWithOwnerCheck(cluster, startupMs);
			for (let round = 0; round < 4; round++) {
				cluster.startEntry(`n${round}.1`, `z${(round % 3) + 1}`);
				runWithOwnerCheck(cluster, 1300);
				cluster.killEntry([...cluster.entries.values()].find(entry => !entry.hasExited)!.id);
				runWithOwnerCheck(cluster, 3100);
			}

			runWithOwnerCheck(cluster, startupMs);
		},
		isServed: true,
	},
];

describe('membership under failures', () => {
	it.each(traces)('$name', ({run, expected, isServed}) => {
		const cluster = createVirtualCluster({entries: threeEntries, services});
		run(cluster);
		expected?.(cluster);
		if (isServed) {
			for (const pool of pools) {
				expect(cluster.listActingOwners(pool), pool).toEqual([getOwner(cluster, pool)]);
			}
		}

		expect(cluster.effects.filter(({effect}) => effect.kind === 'handler-failed')).toEqual([]);
	});
});
