import {describe, expect, it} from 'vitest';
import {createOwnerFixture, type OwnerFixture, type OwnerFixtureOptions} from '../owned-pool.test-support.js';

/** Runs so many requests of the given length that run times are known. */
function learnRunTime(owned: OwnerFixture, runMs: number): void {
	for (let count = 0; count < 30; count += 1) {
		owned.submitRequest();
		owned.now += runMs;
		owned.answer(owned.listAttempts()[0]!);
	}
}

type Case = {
	readonly name: string;
	readonly options?: OwnerFixtureOptions;
	readonly act: (owned: OwnerFixture) => unknown;
	readonly expected: unknown;
};

const cases: readonly Case[] = [
	{
		name: 'a request that cannot start before its deadline is refused at once, with a time to come back (waits in vain)',
		act(owned) {
			learnRunTime(owned, 1000);
			for (let count = 0; count < 12; count += 1) {
				owned.submitRequest({timeLeftMs: 60_000});
			}

			const result = owned.getResult(owned.submitRequest({timeLeftMs: 2000}));
			return {outcome: result?.outcome, reason: result?.reason, hasRetryAfter: (result?.retryAfterMs ?? 0) >= 2000};
		},
		expected: {outcome: 'not-run', reason: 'overloaded', hasRetryAfter: true},
	},
	{
		name: 'the same request is admitted while run times are unknown (refused on a guess)',
		act(owned) {
			for (let count = 0; count < 12; count += 1) {
				owned.submitRequest({timeLeftMs: 60_000});
			}

			return owned.getResult(owned.submitRequest({timeLeftMs: 2000}));
		},
		expected: undefined,
	},
	{
		name: 'the queue of a flow is bounded (memory grows without end in a flood)',
		options: {service: {queueLimit: 3}},
		act(owned) {
			const requestIds = Array.from({length: 6}, () => owned.submitRequest());
			return requestIds.map(id => owned.getResult(id)?.reason);
		},
		expected: [undefined, undefined, undefined, undefined, undefined, 'overloaded'],
	},
	{
		name: 'a team over its quota is refused and admitted again afterwards (one team takes the queue)',
		options: {teams: {lobby: {maxInFlight: 2, weight: 1}}},
		act(owned) {
			owned.submitRequest();
			owned.submitRequest();
			const third = owned.getResult(owned.submitRequest())?.status;
			owned.answer(owned.listAttempts()[0]!);
			return [third, owned.getResult(owned.submitRequest())?.status];
		},
		expected: [429, undefined],
	},
	{
		name: 'requests returned to their receivers give their quota back (quota lost with the pool)',
		options: {teams: {lobby: {maxInFlight: 3, weight: 1}}},
		act(owned) {
			for (let count = 0; count < 3; count += 1) {
				owned.submitRequest();
			}

			owned.send({kind: 'pool-lost', pool: 'desk'});
			return [...owned.state.admission.inFlightByTeam.values()];
		},
		expected: [2],
	},
	{
		name: 'a request offered twice is not refused while it runs (not-run answered for a request that runs)',
		options: {teams: {lobby: {maxInFlight: 1, weight: 1}}},
		act(owned) {
			const requestId = owned.submitRequest();
			const [{request}] = owned.listAttempts() as [ReturnType<OwnerFixture['listAttempts']>[number]];
			owned.send({
				kind: 'request-submitted', request, receiver: 'e1', pool: 'desk',
			});
			return owned.getResult(requestId);
		},
		expected: undefined,
	},
];

describe('admission', () => {
	it.each(cases)('$name', ({options, act, expected}) => {
		expect(act(createOwnerFixture(options))).toEqual(expected);
	});
});
