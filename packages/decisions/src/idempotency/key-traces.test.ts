import {describe, expect, it} from 'vitest';
import {
	getRoles, services, startupMs, runKeyTrace, type KeyTrace,
} from '../testing/key-trace.js';

const traces: readonly KeyTrace[] = [
	{
		// Guards against sending a request without the standby's acknowledgement, and against a caller without an answer until the deadline.
		name: 'standby unreachable for the owner only',
		answerMs: 30,
		run({cluster, ask, run, key}) {
			const {owner, standby, other} = getRoles(cluster);
			cluster.setLink(owner, standby, false);
			ask(other, 'r1', key(1));
			run(startupMs);
		},
		outcomes: {r1: 'not-run standby-unreachable'},
		sends: 0,
	},
	{
		// Guards against a request that waits until its deadline because one message was lost.
		name: 'the first reservation is lost',
		answerMs: 30,
		run({cluster, ask, run, key}) {
			let lost = 0;
			cluster.faults.isDropped = (_from, _to, message) => message.kind === 'key-reserve' && lost++ === 0;
			ask(getRoles(cluster).other, 'r1', key(1));
			run(2000);
		},
		outcomes: {r1: 'completed'},
		sends: 1,
	},
	{
		// Guards against a second run when a bundle moves a service: the new pool's owner does not know the service's earlier keys.
		name: 'a service moves to another pool between the request and its repeat',
		answerMs: 30,
		run({cluster, ask, run, key}) {
			const sent = key(1);
			ask('a.1', 'r1', sent);
			run(200);
			cluster.setBundle(2, {...services, badge: 'p2'});
			run(100);
			ask('a.1', 'r2', sent);
			run(startupMs);
			ask('a.1', 'r3', sent);
			run(1000);
			run(10_000);
			ask('a.1', 'r4', key(2));
			run(1000);
		},
		outcomes: {
			r1: 'completed', r2: ['unknown key-not-covered', 'not-run pool-unavailable'], r3: 'unknown key-not-covered', r4: 'completed',
		},
		sends: 2,
	},
	{
		// Guards against two runs while one entry has not yet applied the bundle that moves the service to another pool.
		name: 'a service moves while the former owner has not received the bundle',
		answerMs: 30,
		run({cluster, ask, run, key}) {
			const {owner, other} = getRoles(cluster);
			cluster.faults.isDropped = (_from, to, message) => to === owner && message.kind === 'bundle-sent';
			cluster.setStoreConnection(owner, false);
			cluster.setBundle(2, {...services, badge: 'p2'});
			const sent = key(1);
			ask(owner, 'r1', sent);
			run(100);
			ask(other, 'r2', sent);
			run(startupMs);
		},
		outcomes: {r1: 'completed', r2: ['not-run pool-unavailable', 'unknown key-not-covered']},
		sends: 1,
	},
	{
		// Guards against a caller that gets no answer because the connection of an earlier request with the same key was closed.
		name: 'the first caller of a key disconnects while a repeat waits',
		answerMs: 700,
		run({cluster, ask, run, key}) {
			const {other, standby} = getRoles(cluster);
			for (let count = 1; count <= 8; count++) {
				ask(other, `r${count}`, key(count));
			}

			ask(other, 'r9', key(9));
			run(50);
			ask(standby, 'r10', key(9));
			run(50);
			cluster.pushEvent(other, {kind: 'caller-gone', requestId: 'r9'});
			run(3000);
		},
		outcomes: {r10: 'completed', r8: 'completed'},
		sends: 9,
	},
	{
		// Guards against a delayed release message of an earlier reservation that releases the later reservation of the same key at the standby.
		name: 'the release of a reservation arrives after the next reservation of the same key',
		run({cluster, ask, run, key}) {
			const {owner, other} = getRoles(cluster);
			const sent = key(1);
			for (let count = 2; count <= 9; count++) {
				ask(other, `r${count}`, key(count));
			}

			ask(other, 'r1', sent);
			run(50);
			cluster.faults.isDropped = (from, to, message) => {
				if (message.kind !== 'key-settled' || message.result !== undefined) {
					return false;
				}

				cluster.schedule(300, () => {
					cluster.pushEvent(to, {kind: 'peer-key-settled', from, message});
				});
				return true;
			};

			cluster.pushEvent(other, {kind: 'caller-gone', requestId: 'r1'});
			run(20);
			for (const {attemptId} of cluster.sends) {
				cluster.pushEvent(owner, {
					kind: 'endpoint-answered', attemptId, status: 200, headers: [], body: new Uint8Array(),
				});
			}

			ask(other, 'r10', sent);
			run(500);
			cluster.killEntry(owner);
			run(startupMs);
			ask(other, 'r11', sent);
			run(1000);
		},
		outcomes: {r10: 'unknown connection-lost', r11: 'unknown connection-lost'},
		sends: 9,
	},
	{
		// Guards against running a key without an issue time, or with one that lies before the retention time or in the future.
		name: 'keys without an issue time, too old, and from the future',
		answerMs: 30,
		run({ask, run, key}) {
			ask('a.1', 'r1', 'not-a-uuid');
			ask('a.1', 'r2', key(2, -86_400_000));
			ask('a.1', 'r3', key(3, 6000));
			ask('a.1', 'r4', key(4, 4000));
			ask('a.1', 'r5', key(5, -86_000_000));
			run(1000);
		},
		outcomes: {
			r1: 'not-run key-malformed', r2: 'unknown key-expired', r3: 'not-run key-from-the-future', r4: 'completed', r5: 'completed',
		},
		sends: 2,
	},
];

describe('idempotency keys: reservations, moved services and issue times', () => {
	it.each(traces)('$name', trace => {
		expect(runKeyTrace(trace)).toEqual({
			unexpected: [], sends: trace.sends, sentKeys: trace.sends, handlerFailures: 0,
		});
	});
});
