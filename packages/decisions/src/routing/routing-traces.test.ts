import {describe, expect, it} from 'vitest';
import {type RequestResult} from '@pistachiogauge/model';
import {createCompletedResult, createNotRunResult} from '../results.js';
import {
	getRoles, runKeyTrace, type KeyTrace, type TraceDriver,
} from '../testing/key-trace.js';

const completed = createCompletedResult(200, [], new Uint8Array([7]));

/** Sends a request whose result never comes by itself, and loses the link to its owner. */
function loseOwner({cluster, ask, run, key}: TraceDriver): {owner: string; standby: string; other: string} {
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
		// Guards against throwing away a whole answer because its sender no longer holds the request.
		name: 'a whole answer from a former holder',
		run(script) {
			const {owner, other} = loseOwner(script);
			pushResult(script, other, owner, completed);
		},
		outcomes: {r1: 'completed'},
		sends: 1,
	},
	{
		// Guards against a second answer to one caller.
		name: 'an answer that arrives twice',
		run(script) {
			const {owner, other} = loseOwner(script);
			pushResult(script, other, owner, completed);
			pushResult(script, other, owner, completed);
		},
		outcomes: {r1: 'completed'},
		sends: 1,
	},
	{
		// Guards against "not run" from an entry that may no longer decide, while the request runs elsewhere.
		name: 'a refusal from a former holder',
		run(script) {
			const {owner, other} = loseOwner(script);
			pushResult(script, other, owner, createNotRunResult('overloaded'));
			script.run(9000);
		},
		outcomes: {r1: 'unknown answer-timeout'},
		sends: 1,
	},
	{
		// Guards against "not run" from a refusal of an earlier forward, while the same entry still runs the later one (soak seed 752).
		name: 'a refusal from an entry that had the request before',
		run(script) {
			const {owner, other} = loseOwner(script);
			script.cluster.setLink(other, owner, true);
			script.run(300);
			pushResult(script, other, owner, createNotRunResult('deadline-passed'));
		},
		outcomes: {r1: 'unknown connection-lost'},
		sends: 1,
	},
	{
		// Guards against an answer from an entry that never had the request.
		name: 'an answer from a stranger',
		run(script) {
			const {standby, other} = loseOwner(script);
			pushResult(script, other, standby, completed);
			script.run(9000);
		},
		outcomes: {r1: 'unknown answer-timeout'},
		sends: 1,
	},
	{
		// Guards against a receiver that lets its caller wait past the deadline, or claims a run it cannot know of.
		name: 'deadlines with and without an owner in reach',
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
		// Guards against places in the queue and keys that stay taken after a wave of cancellations.
		name: 'cancellations in a wave',
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
