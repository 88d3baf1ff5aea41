import {describe, expect, it} from 'vitest';
import {type RequestClass} from '@pistachiogauge/model';
import {createOwnerFixture, type OwnerFixture} from '../owner-fixture.test-support.js';

function countByClass(owner: OwnerFixture): Record<RequestClass, number> {
	const counts = {urgent: 0, normal: 0, deferrable: 0};
	for (const {request} of owner.listAttempts()) {
		counts[request.requestClass] += 1;
	}

	return counts;
}

function submitMany(owner: OwnerFixture, count: number, requestClass: RequestClass, team = 'lobby'): string[] {
	return Array.from({length: count}, () => owner.submitRequest({requestClass, team, timeLeftMs: 100_000}));
}

/** Answers running attempts one by one, each after 10 ms. */
function answerAttempts(owner: OwnerFixture, attempts: number): void {
	for (let count = 0; count < attempts; count += 1) {
		owner.now += 10;
		const [first] = owner.listAttempts();
		if (first !== undefined) {
			owner.answer(first);
		}
	}
}

type Case = {
	readonly name: string;
	readonly act: (owner: OwnerFixture) => unknown;
	readonly expected: unknown;
	readonly options?: Parameters<typeof createOwnerFixture>[0];
};

// The parentheses name the fault that a case guards against.
const cases: readonly Case[] = [
	{
		name: 'one class takes every slot while the others have no requests (capacity left idle)',
		options: {instances: 4, slots: 8},
		act(owner) {
			submitMany(owner, 50, 'normal');
			return countByClass(owner).normal;
		},
		expected: 32,
	},
	{
		name: 'deferrable requests of unknown service time leave the guaranteed urgent slots free (long requests hold every slot)',
		options: {instances: 4, slots: 8},
		act(owner) {
			submitMany(owner, 50, 'deferrable');
			const deferrableCount = countByClass(owner).deferrable;
			submitMany(owner, 10, 'urgent');
			return {isLimited: deferrableCount <= 16, urgent: countByClass(owner).urgent};
		},
		expected: {isLimited: true, urgent: 10},
	},
	{
		name: 'short requests of one team do not make the long requests of another count as short (long requests hold every slot)',
		options: {instances: 4, slots: 8, teams: {quick: {maxInFlight: 100, weight: 1}, archive: {maxInFlight: 100, weight: 1}}},
		act(owner) {
			for (let count = 0; count < 30; count += 1) {
				submitMany(owner, 1, 'deferrable', 'quick');
				answerAttempts(owner, 1);
			}

			submitMany(owner, 50, 'deferrable', 'archive');
			return countByClass(owner).deferrable <= 16;
		},
		expected: true,
	},
	{
		name: 'a class below its guaranteed slots goes before an overloading flow that filled the pool (the overloading flow keeps the slots)',
		options: {instances: 1, slots: 8},
		act(owner) {
			submitMany(owner, 90, 'urgent', 'flood');
			answerAttempts(owner, 40);
			const requestIds = submitMany(owner, 2, 'normal', 'desk');
			answerAttempts(owner, 12);
			return requestIds.map(id => owner.getResult(id)?.outcome);
		},
		expected: ['completed', 'completed'],
	},
	{
		name: 'an overloading flow still makes progress while others use the pool (starvation)',
		options: {instances: 1, slots: 8, service: {queueLimit: 500}},
		act(owner) {
			submitMany(owner, 300, 'deferrable', 'flood');
			answerAttempts(owner, 30);
			submitMany(owner, 400, 'normal', 'desk');
			const before = owner.state.dispatch.attempts.size;
			answerAttempts(owner, 300);
			return before === 8 && countByClass(owner).deferrable >= 1;
		},
		expected: true,
	},
	{
		name: 'a request whose caller has disconnected is not started (slot wasted)',
		act(owner) {
			const third = submitMany(owner, 4, 'normal')[2];
			owner.send({kind: 'caller-gone', requestId: third!});
			answerAttempts(owner, 4);
			return owner.effects.filter(effect => effect.kind === 'send-endpoint' && effect.request.requestId === third).length;
		},
		expected: 0,
	},
	{
		name: 'a waiting request ends as not run at its deadline (answered after the deadline)',
		act(owner) {
			submitMany(owner, 2, 'normal');
			const late = owner.submitRequest({timeLeftMs: 200});
			owner.advance(200);
			return owner.getResult(late);
		},
		expected: expect.objectContaining({outcome: 'not-run', reason: 'deadline-passed'}) as unknown,
	},
	{
		name: 'a request that cannot end before its deadline is not started (slot held for an answer that no caller waits for)',
		act(owner) {
			for (let count = 0; count < 30; count += 1) {
				owner.submitRequest();
				owner.now += 100;
				owner.answer(owner.listAttempts()[0]!);
			}

			submitMany(owner, 2, 'normal');
			const late = owner.submitRequest({timeLeftMs: 150});
			owner.now += 100;
			owner.answer(owner.listAttempts()[0]!);
			return {running: owner.state.dispatch.attempts.size, reason: owner.getResult(late)?.reason};
		},
		expected: {running: 1, reason: 'deadline-passed'},
	},
	{
		name: 'a timed-out attempt keeps its slot for the expected rest of its service time (more requests sent than the instance has slots)',
		act(owner) {
			submitMany(owner, 5, 'normal').pop();
			owner.now += 100;
			owner.fail(owner.listAttempts()[0]!, 'answer-timeout');
			const during = owner.listAttempts().length;
			owner.advance(150);
			return {during, after: owner.listAttempts().length};
		},
		expected: {during: 1, after: 2},
	},
	{
		name: 'an instance that refused a request for lack of slots gets a backoff (loop of refusals after a takeover)',
		act(owner) {
			submitMany(owner, 5, 'normal');
			const sent = owner.effects.length;
			owner.answer(owner.listAttempts()[0]!, 503);
			const during = owner.effects.slice(sent).filter(effect => effect.kind === 'send-endpoint').length;
			owner.advance(100);
			return {during, after: owner.listAttempts().length};
		},
		expected: {during: 0, after: 2},
	},
	{
		name: 'slow idempotent requests time out by observed service times and are retried elsewhere (request stuck on a silent connection)',
		options: {instances: 3, slots: 8, service: {queueLimit: 1000}},
		act(owner) {
			submitMany(owner, 150, 'normal');
			answerAttempts(owner, 150);
			owner.submitRequest();
			const limitMs = owner.listAttempts()[0]!.timeoutMs;
			owner.submitRequest({isIdempotent: false, method: 'POST'});
			const unlimitedMs = owner.listAttempts()[1]!.timeoutMs;
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
	it('cancels requests in long queues without a pass over the queue', () => {
		const owner = createOwnerFixture({service: {queueLimit: 100_000}});
		const requestIds = submitMany(owner, 40_000, 'normal');
		const start = performance.now();
		for (const requestId of requestIds.slice(2)) {
			owner.send({kind: 'caller-gone', requestId});
		}

		// A pass over the queue for each of 40,000 cancellations takes more than 20 s.
		expect(performance.now() - start).toBeLessThan(5000);
		expect(owner.state.dispatch.waitingRequests.size).toBe(0);
	});
});
