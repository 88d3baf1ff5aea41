import {describe, expect, it} from 'vitest';
import {
	getRoles, readEpochRecord, startupMs, runKeyTrace, type KeyTrace,
} from '../testing/key-trace.js';

const traces: readonly KeyTrace[] = [
	{
		// Guards against a second run by the standby after the owner was lost while an endpoint ran the request.
		name: 'owner lost while the request runs',
		run({cluster, ask, run, key}) {
			const {owner, other} = getRoles(cluster);
			const sent = key(1);
			ask(other, 'r1', sent);
			run(20);
			cluster.killEntry(owner);
			run(startupMs);
			ask(other, 'r2', sent);
			run(1000);
		},
		outcomes: {r1: 'unknown connection-lost', r2: 'unknown connection-lost'},
		sends: 1,
	},
	{
		// Guards against the loss of a result of which the standby has a copy.
		name: 'owner lost after the answer',
		answerMs: 30,
		run({cluster, ask, run, key}) {
			const {owner, other} = getRoles(cluster);
			const sent = key(1);
			ask(other, 'r1', sent);
			run(200);
			cluster.killEntry(owner);
			run(startupMs);
			ask(other, 'r2', sent);
			ask(other, 'r3', sent, {body: 'another'});
			run(1000);
		},
		outcomes: {r1: 'completed', r2: 'completed', r3: 'not-run key-reused'},
		sends: 1,
	},
	{
		// Guards against a new standby that knows only the keys reserved since it was assigned.
		name: 'standby lost, then the owner',
		answerMs: 30,
		run({cluster, ask, run, key}) {
			const {owner, standby, other} = getRoles(cluster);
			const [sent, fresh] = [key(1), key(2)];
			ask(other, 'r1', sent);
			run(200);
			cluster.killEntry(standby);
			run(startupMs);
			cluster.killEntry(owner);
			run(2 * startupMs);
			const {other: nextOther, owner: nextOwner} = getRoles(cluster);
			ask(nextOther ?? nextOwner, 'r2', sent);
			ask(nextOther ?? nextOwner, 'r3', fresh);
			run(1000);
		},
		outcomes: {r1: 'completed', r2: 'completed', r3: 'completed'},
		sends: 2,
	},
	{
		// Guards against the loss of keys when an owner hands its pool over.
		name: 'owner shuts down between the request and its repeat',
		answerMs: 30,
		run({cluster, ask, run, key}) {
			const {owner, other} = getRoles(cluster);
			const [sent, fresh] = [key(1), key(2)];
			ask(other, 'r1', sent);
			run(200);
			cluster.pushEvent(owner, {kind: 'shutdown-requested'});
			run(startupMs);
			ask(other, 'r2', sent);
			ask(other, 'r3', fresh);
			run(1000);
		},
		outcomes: {r1: 'completed', r2: 'completed', r3: 'completed'},
		sends: 2,
	},
	{
		// Guards against an `unknown` result for a request that was not sent before its pool moved: its key must be released first.
		name: 'pool moves while a request waits for a slot',
		answerMs: 1500,
		run({cluster, ask, run, key}) {
			const {owner, other} = getRoles(cluster);
			for (let count = 1; count <= 9; count++) {
				ask(other, `r${count}`, key(count));
			}

			run(100);
			cluster.pushEvent(owner, {kind: 'shutdown-requested'});
			run(startupMs);
		},
		outcomes: {r1: 'completed', r8: 'completed', r9: 'completed'},
		sends: 9,
	},
	{
		// Guards against a repeat that runs again at the new owner, or is answered `unknown` although the former owner will know the result.
		name: 'pool moves while a request runs, and the caller repeats it',
		answerMs: 1500,
		run({cluster, ask, run, key}) {
			const {owner, other} = getRoles(cluster);
			const sent = key(1);
			ask(other, 'r1', sent);
			run(100);
			cluster.pushEvent(owner, {kind: 'shutdown-requested'});
			run(600);
			ask(other, 'r2', sent);
			run(startupMs);
		},
		outcomes: {r1: 'completed', r2: 'completed'},
		sends: 1,
	},
	{
		// Guards against relying on the keys of a standby that missed an epoch in which another entry was the standby.
		name: 'the standby misses the epochs in which another entry was standby',
		run({cluster, ask, run, key}) {
			const {owner, standby} = getRoles(cluster);
			cluster.entries.get(standby)!.isPaused = true;
			run(startupMs);
			const {standby: second} = getRoles(cluster);
			const sent = key(1, 5500);
			ask(owner, 'r1', sent);
			run(100);
			cluster.resumeEntry(standby);
			cluster.killEntry(second);
			run(3000);
			cluster.killEntry(owner);
			run(startupMs);
			const alive = [...cluster.entries.values()].find(entry => !entry.hasExited)!;
			ask(alive.id, 'r2', sent);
			run(2000);
		},
		outcomes: {},
		sends: 1,
	},
	{
		// Guards against a second run when both copies of the key are lost.
		name: 'owner and standby lost together',
		run({cluster, ask, run, key}) {
			const {owner, standby, other} = getRoles(cluster);
			const sent = key(1, 4000);
			ask(other, 'r1', sent);
			run(20);
			cluster.killEntry(owner);
			cluster.killEntry(standby);
			run(3000);
			// The majority of four is lost, so an operator has to force the next epoch.
			cluster.pushEvent(other, {
				kind: 'operator-called', callId: 'call', operator: 'ada', command: {command: 'membership-force', epoch: readEpochRecord(cluster).epoch},
			});
			run(4000);
			ask(other, 'r2', sent);
			run(1000);
		},
		outcomes: {r1: 'unknown key-not-covered', r2: 'unknown key-not-covered'},
		sends: 1,
	},
];

describe('idempotency keys when entries are lost or pools move', () => {
	it.each(traces)('$name', trace => {
		expect(runKeyTrace(trace)).toEqual({
			unexpected: [], sends: trace.sends, sentKeys: trace.sends, handlerFailures: 0,
		});
	});
});
