import {describe, expect, it} from 'vitest';
import {type RequestClass} from '@pistachiogauge/model';
import {createOwnerFixture, type OwnerFixture} from '../owned-pool.test-support.js';

function countByClass(owned: OwnerFixture): Record<RequestClass, number> {
	const counts = {urgent: 0, normal: 0, deferrable: 0};
	for (const {request} of owned.listAttempts()) {
		counts[request.requestClass] += 1;
	}

	return counts;
}

function askMany(owned: OwnerFixture, count: number, requestClass: RequestClass, team = 'lobby'): string[] {
	return Array.from({length: count}, () => owned.submitRequest({requestClass, team, timeLeftMs: 100_000}));
}

/** Ends running attempts one by one, each after 10 ms. */
function runFor(owned: OwnerFixture, attempts: number): void {
	for (let count = 0; count < attempts; count += 1) {
		owned.now += 10;
		const [first] = owned.listAttempts();
		if (first !== undefined) {
			owned.answer(first);
		}
	}
}

type Case = {
	readonly name: string;
	readonly act: (owned: OwnerFixture) => unknown;
	readonly expected: unknown;
	readonly options?: Parameters<typeof createOwnerFixture>[0];
};

const cases: readonly Case[] = [
	{
		name: 'one class takes every slot while the others ask for nothing (capacity left idle)',
		options: {instances: 4, slots: 8},
		act(owned) {
			askMany(owned, 50, 'normal');
			return countByClass(owned).normal;
		},
		expected: 32,
	},
	{
		name: 'deferrable work of unknown length leaves the urgent minimum free (long jobs hold every slot)',
		options: {instances: 4, slots: 8},
		act(owned) {
			askMany(owned, 50, 'deferrable');
			const held = countByClass(owned).deferrable;
			askMany(owned, 10, 'urgent');
			return {isLimited: held <= 16, urgent: countByClass(owned).urgent};
		},
		expected: {isLimited: true, urgent: 10},
	},
	{
		name: 'short work of one team does not make the long work of another count as short (long jobs hold every slot)',
		options: {instances: 4, slots: 8, teams: {quick: {maxInFlight: 100, weight: 1}, archive: {maxInFlight: 100, weight: 1}}},
		act(owned) {
			for (let count = 0; count < 30; count += 1) {
				askMany(owned, 1, 'deferrable', 'quick');
				runFor(owned, 1);
			}

			askMany(owned, 50, 'deferrable', 'archive');
			return countByClass(owned).deferrable <= 16;
		},
		expected: true,
	},
	{
		name: 'a class below its minimum goes before a flood that filled the pool (flood keeps the slots)',
		options: {instances: 1, slots: 8},
		act(owned) {
			askMany(owned, 90, 'urgent', 'flood');
			runFor(owned, 40);
			const requestIds = askMany(owned, 2, 'normal', 'desk');
			runFor(owned, 12);
			return requestIds.map(id => owned.getResult(id)?.outcome);
		},
		expected: ['completed', 'completed'],
	},
	{
		name: 'the flood itself still moves on while others use the pool (starvation)',
		options: {instances: 1, slots: 8, service: {queueLimit: 500}},
		act(owned) {
			askMany(owned, 300, 'deferrable', 'flood');
			runFor(owned, 30);
			askMany(owned, 400, 'normal', 'desk');
			const before = owned.state.dispatch.attempts.size;
			runFor(owned, 300);
			return before === 8 && countByClass(owned).deferrable >= 1;
		},
		expected: true,
	},
	{
		name: 'a request whose caller has left is not started (slot wasted)',
		act(owned) {
			const third = askMany(owned, 4, 'normal')[2];
			owned.send({kind: 'caller-gone', requestId: third!});
			runFor(owned, 4);
			return owned.effects.filter(effect => effect.kind === 'send-endpoint' && effect.request.requestId === third).length;
		},
		expected: 0,
	},
	{
		name: 'a waiting request ends as not run at its deadline (answer later than the deadline)',
		act(owned) {
			askMany(owned, 2, 'normal');
			const late = owned.submitRequest({timeLeftMs: 200});
			owned.advance(200);
			return owned.getResult(late);
		},
		expected: expect.objectContaining({outcome: 'not-run', reason: 'deadline-passed'}) as unknown,
	},
	{
		name: 'a request that cannot end before its deadline is not started (slot held for an answer that nobody gets)',
		act(owned) {
			for (let count = 0; count < 30; count += 1) {
				owned.submitRequest();
				owned.now += 100;
				owned.answer(owned.listAttempts()[0]!);
			}

			askMany(owned, 2, 'normal');
			const late = owned.submitRequest({timeLeftMs: 150});
			owned.now += 100;
			owned.answer(owned.listAttempts()[0]!);
			return {running: owned.state.dispatch.attempts.size, reason: owned.getResult(late)?.reason};
		},
		expected: {running: 1, reason: 'deadline-passed'},
	},
	{
		name: 'a timed-out attempt keeps its slot for the expected rest of the work (more than the slots sent)',
		act(owned) {
			askMany(owned, 5, 'normal').pop();
			owned.now += 100;
			owned.fail(owned.listAttempts()[0]!, 'answer-timeout');
			const during = owned.listAttempts().length;
			owned.advance(150);
			return {during, after: owned.listAttempts().length};
		},
		expected: {during: 1, after: 2},
	},
	{
		name: 'an instance that refused for lack of slots gets a pause (refusals in a loop after a takeover)',
		act(owned) {
			askMany(owned, 5, 'normal');
			const sent = owned.effects.length;
			owned.answer(owned.listAttempts()[0]!, 503);
			const during = owned.effects.slice(sent).filter(effect => effect.kind === 'send-endpoint').length;
			owned.advance(100);
			return {during, after: owned.listAttempts().length};
		},
		expected: {during: 0, after: 2},
	},
	{
		name: 'slow idempotent work is cut off by observed run times and sent again elsewhere (silent connection holds the request)',
		options: {instances: 3, slots: 8, service: {queueLimit: 1000}},
		act(owned) {
			askMany(owned, 150, 'normal');
			runFor(owned, 150);
			owned.submitRequest();
			const limitMs = owned.listAttempts()[0]!.timeoutMs;
			owned.submitRequest({isIdempotent: false, method: 'POST'});
			const unlimitedMs = owned.listAttempts()[1]!.timeoutMs;
			return {isCutOff: limitMs < 5000, unlimitedMs};
		},
		expected: {isCutOff: true, unlimitedMs: 10_000},
	},
];

describe('dispatch', () => {
	it.each(cases)('$name', ({act, expected, options}) => {
		expect(act(createOwnerFixture(options))).toEqual(expected);
	});

	// Guards against queue operations whose cost grows with the length of the queue.
	it('cancels and expires in long queues without a pass over them', () => {
		const owned = createOwnerFixture({service: {queueLimit: 100_000}});
		const requestIds = askMany(owned, 40_000, 'normal');
		const start = performance.now();
		for (const requestId of requestIds.slice(2)) {
			owned.send({kind: 'caller-gone', requestId});
		}

		// A pass over the queue for each of 40,000 cancellations takes more than 20 s.
		expect(performance.now() - start).toBeLessThan(5000);
		expect(owned.state.dispatch.waitingRequests.size).toBe(0);
	});
});
