import {describe, expect, it} from 'vitest';
import {type RequestResult} from '@pistachiogauge/model';
import {createCompletedResult, createNotRunResult} from '../results.js';
import {
	getRoles, runKeyTrace, type KeyTrace, type TraceDriver,
} from '../testing/key-trace.js';

const completed = createCompletedResult(200, [], new Uint8Array([7]));

/** Sends a request that no endpoint answers, and cuts the link between its receiver and its owner. */
function cutLinkToOwner({cluster, ask, run, key}: TraceDriver): {owner: string; standby: string; other: string} {
	const roles = getRoles(cluster);
	ask(roles.other, 'r1', key(1));
	run(50);
	cluster.setLink(roles.other, roles.owner, false);
	return roles;
}

function pushResult({cluster}: TraceDriver, receiver: string, from: string, result: RequestResult): void {
	cluster.pushEvent(receiver, {kind: 'peer-result', from, message: {kind: 'result', requestId: 'r1', result}});
}

const traces: readonly KeyTrace[] = [
	{
		// Guards against discarding a complete answer because its sender no longer holds the request.
		name: 'a complete answer from a former holder',
		run(driver) {
			const {owner, other} = cutLinkToOwner(driver);
			pushResult(driver, other, owner, completed);
		},
		outcomes: {r1: 'completed'},
		sends: 1,
	},
	{
		// Guards against a second answer to one caller.
		name: 'an answer that arrives twice',
		run(driver) {
			const {owner, other} = cutLinkToOwner(driver);
			pushResult(driver, other, owner, completed);
			pushResult(driver, other, owner, completed);
		},
		outcomes: {r1: 'completed'},
		sends: 1,
	},
	{
		// Guards against reporting "not run" after a refusal by an entry that no longer holds the request, which may be running.
		name: 'a refusal from a former holder',
		run(driver) {
			const {owner, other} = cutLinkToOwner(driver);
			pushResult(driver, other, owner, createNotRunResult('overloaded'));
			driver.run(9000);
		},
		outcomes: {r1: 'unknown answer-timeout'},
		sends: 1,
	},
	{
		// Guards against reporting "not run" after a refusal of an earlier forward, while the request of the later forward runs at the same entry (soak seed 752).
		name: 'a refusal from an entry that held the request before',
		run(driver) {
			const {owner, other} = cutLinkToOwner(driver);
			driver.cluster.setLink(other, owner, true);
			driver.run(300);
			pushResult(driver, other, owner, createNotRunResult('deadline-passed'));
		},
		outcomes: {r1: 'unknown connection-lost'},
		sends: 1,
	},
	{
		// Guards against accepting an answer from an entry that never held the request.
		name: 'an answer from an entry that never held the request',
		run(driver) {
			const {standby, other} = cutLinkToOwner(driver);
			pushResult(driver, other, standby, completed);
			driver.run(9000);
		},
		outcomes: {r1: 'unknown answer-timeout'},
		sends: 1,
	},
	{
		// Guards against a receiver that lets its caller wait past the deadline, or reports a request as possibly run that was never forwarded.
		name: 'deadlines with and without a reachable owner',
		run({cluster, ask, run, key}) {
			const {owner, other} = getRoles(cluster);
			ask(other, 'r1', key(1), {timeLeftMs: 1000});
			run(1300);
			cluster.setLink(other, owner, false);
			ask(other, 'r2', key(2), {timeLeftMs: 1000});
			run(1100);
		},
		outcomes: {r1: 'unknown answer-timeout', r2: 'not-run owner-unreachable'},
		sends: 1,
	},
	{
		// Guards against queue places and keys that stay occupied after many cancellations at once.
		name: 'many cancellations at once',
		answerMs: 500,
		run({cluster, ask, run, key}) {
			const {other} = getRoles(cluster);
			const keys = Array.from({length: 60}, (_, index) => key(index));
			for (const [index, name] of keys.entries()) {
				ask(other, `r${index}`, name);
			}

			run(50);
			for (let index = 8; index < 60; index++) {
				cluster.pushEvent(other, {kind: 'caller-gone', requestId: `r${index}`});
			}

			run(600);
			ask(other, 'again', keys[30]!);
			run(600);
		},
		outcomes: {r0: 'completed', again: 'completed'},
		sends: 9,
	},
];

describe('results, deadlines and cancellations at the receiver', () => {
	it.each(traces)('$name', trace => {
		expect(runKeyTrace(trace)).toEqual({
			unexpected: [], sends: trace.sends, sentKeys: trace.sends, handlerFailures: 0,
		});
	});
});
