import {describe, expect, it} from 'vitest';
import {storeKeys} from '@pistachiogauge/model';
import {
	getOwner, pools, readEpochRecord, runWithOwnerCheck, services, startupMs, threeEntries,
} from '../testing/one-owner.js';
import {createVirtualCluster, type VirtualCluster} from '../testing/virtual-cluster.js';

type Trace = {
	readonly name: string;
	readonly run: (cluster: VirtualCluster) => void;
	/** Entries that own a pool at the end, as far as the trace decides it. */
	readonly expected?: (cluster: VirtualCluster) => void;
	/** Whether every pool has an acting owner at the end. */
	readonly isServed: boolean;
};

const traces: readonly Trace[] = [
	{
		// Guards against two first epochs when every entry proposes and the answers to the writes are lost.
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
		// Guards against an entry that never learns of the others because its first reads failed.
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
		// The trace that breaks "freeze ownership without a majority": the one entry that reaches the store would take over
		// from owners that only lost sight of it. The others' vouchers keep the epoch that they follow in force.
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
		// Guards against a minority that goes on acting, and against a majority that never takes over.
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
		// Guards against an owner that acts on vouchers which ran out while it was paused.
		name: 'a paused owner wakes after its pools moved',
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
		// Guards against the removal of healthy members because everyone was silent for the same pause.
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
		// Guards against removing everyone because every lease lapsed during an outage.
		name: 'every lease lapses in an outage',
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
		// Guards against an epoch that can never change again because the entries wait for a revision that the store has lost.
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
		// Guards against two records with one epoch number when the store forgets the first of them: vouchers that count
		// for the number alone let the owners of both records act.
		name: 'the store forgets a record that only one entry has adopted',
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
		// Guards against a member that hears nobody and is still heard by all: it cannot act, and nobody would replace it.
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
		// Guards against the removal of a member that only one other cannot reach.
		name: 'a single pair of entries is cut',
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
		// Guards against a fleet that is locked out after every process was restarted on its address.
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
		// Guards against an interruption longer than the voucher time when an entry ends in order.
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
		// Guards against epochs that overtake each other: each needs the one before to be active.
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

describe('traces of membership under failure', () => {
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
