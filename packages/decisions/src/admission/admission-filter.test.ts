import {describe, expect, it} from 'vitest';
import {createOwnerFixture, type OwnerFixture, type OwnerFixtureOptions} from '../owner-fixture.test-support.js';

/** Runs enough requests of the given service time for the statistics to be available. */
function recordServiceTimes(owner: OwnerFixture, serviceTimeMs: number): void {
	for (let count = 0; count < 30; count += 1) {
		owner.submitRequest();
		owner.now += serviceTimeMs;
		owner.answer(owner.listAttempts()[0]!);
	}
}

type Case = {
	readonly name: string;
	readonly options?: OwnerFixtureOptions;
	readonly act: (owner: OwnerFixture) => unknown;
	readonly expected: unknown;
};

// The parentheses name the fault that a case guards against.
const cases: readonly Case[] = [
	{
		name: 'a request that cannot start before its deadline is rejected at once with a retry delay (queued until it expires)',
		act(owner) {
			recordServiceTimes(owner, 1000);
			for (let count = 0; count < 12; count += 1) {
				owner.submitRequest({timeLeftMs: 60_000});
			}

			const result = owner.getResult(owner.submitRequest({timeLeftMs: 2000}));
			return {outcome: result?.outcome, reason: result?.reason, hasRetryAfter: (result?.retryAfterMs ?? 0) >= 2000};
		},
		expected: {outcome: 'not-run', reason: 'overloaded', hasRetryAfter: true},
	},
	{
		name: 'the same request is admitted while there are no service times (rejected without evidence)',
		act(owner) {
			for (let count = 0; count < 12; count += 1) {
				owner.submitRequest({timeLeftMs: 60_000});
			}

			return owner.getResult(owner.submitRequest({timeLeftMs: 2000}));
		},
		expected: undefined,
	},
	{
		name: 'the queue of a flow is bounded (memory grows without limit under overload)',
		options: {service: {queueLimit: 3}},
		act(owner) {
			const requestIds = Array.from({length: 6}, () => owner.submitRequest());
			return requestIds.map(id => owner.getResult(id)?.reason);
		},
		expected: [undefined, undefined, undefined, undefined, undefined, 'overloaded'],
	},
	{
		name: 'a team over its quota is rejected and admitted again afterwards (one team fills the queue)',
		options: {teams: {lobby: {maxInFlight: 2, weight: 1}}},
		act(owner) {
			owner.submitRequest();
			owner.submitRequest();
			const third = owner.getResult(owner.submitRequest())?.status;
			owner.answer(owner.listAttempts()[0]!);
			return [third, owner.getResult(owner.submitRequest())?.status];
		},
		expected: [429, undefined],
	},
	{
		name: 'requests returned to their receivers release their quota (quota leaked when the pool is lost)',
		options: {teams: {lobby: {maxInFlight: 3, weight: 1}}},
		act(owner) {
			for (let count = 0; count < 3; count += 1) {
				owner.submitRequest();
			}

			owner.send({kind: 'pool-lost', pool: 'desk'});
			return [...owner.state.admission.inFlightByQuotaKey.values()];
		},
		expected: [2],
	},
	{
		name: 'a request submitted twice is not rejected while it runs (not-run reported for a running request)',
		options: {teams: {lobby: {maxInFlight: 1, weight: 1}}},
		act(owner) {
			const requestId = owner.submitRequest();
			const [{request}] = owner.listAttempts() as [ReturnType<OwnerFixture['listAttempts']>[number]];
			owner.send({
				kind: 'request-submitted', request, receiver: 'e1', pool: 'desk',
			});
			return owner.getResult(requestId);
		},
		expected: undefined,
	},
];

describe('admission', () => {
	it.each(cases)('$name', ({options, act, expected}) => {
		expect(act(createOwnerFixture(options))).toEqual(expected);
	});
});
