import {describe, expect, it} from 'vitest';
import {createOwnerFixture, type OwnerFixture, type OwnerFixtureOptions} from '../owner-fixture.test-support.js';
import {type TrustStage} from './health-state.js';

type Case = {
	readonly name: string;
	readonly options?: OwnerFixtureOptions;
	readonly act: (owner: OwnerFixture) => unknown;
	readonly expected: unknown;
};

/** Runs requests one at a time; instances in `faulty` answer with the given status. Returns how many requests each of these got. */
function runRequests(owner: OwnerFixture, count: number, faulty: readonly string[], status = 500): number[] {
	const received = new Map(faulty.map(id => [id, 0]));
	for (let index = 0; index < count; index += 1) {
		// Every third request is idempotent; the others are not retried and show how many reach a faulty instance.
		owner.submitRequest(index % 3 === 0 ? {} : {isIdempotent: false, method: 'POST'});
		for (const attempt of owner.listAttempts()) {
			const instanceId = `i${attempt.address.split(':')[0]!.split('.').at(-1)}`;
			const isFaulty = received.has(instanceId);
			if (isFaulty) {
				received.set(instanceId, received.get(instanceId)! + 1);
			}

			owner.answer(attempt, isFaulty ? status : 200);
		}

		owner.advance(10);
	}

	return [...received.values()];
}

function listStages(owner: OwnerFixture, ids: readonly string[]): Array<TrustStage | undefined> {
	return ids.map(id => owner.state.health.instances.get(id)?.stage);
}

// The parentheses name the fault that a case guards against.
const cases: readonly Case[] = [
	{
		name: 'an instance that fails every request fast is ejected within 20 requests (it attracts the load of the whole pool)',
		act(owner) {
			runRequests(owner, 60, []);
			const [received] = runRequests(owner, 200, ['i1']);
			return {isFound: received! <= 20, stages: listStages(owner, ['i1', 'i2'])};
		},
		expected: {isFound: true, stages: ['distrusted', 'trusted']},
	},
	{
		name: 'no more instances are ejected than the budget allows; the next one is limited (budget exceeded)',
		act(owner) {
			runRequests(owner, 60, []);
			runRequests(owner, 400, ['i1', 'i2']);
			return listStages(owner, ['i1', 'i2', 'i3']).map(String).sort((left, right) => left.localeCompare(right));
		},
		expected: ['distrusted', 'limited', 'trusted'],
	},
	{
		name: 'a permit uses up the budget (budget exceeded by ejections on top of maintenance)',
		act(owner) {
			owner.state.fleet.owned.get('desk')!.record!.permits.i4 = {
				reason: 'maintenance', stage: 'draining', since: 0, by: 'operator',
			};
			runRequests(owner, 200, ['i1']);
			return listStages(owner, ['i1']);
		},
		expected: ['limited'],
	},
	{
		name: 'no instance is ejected when all fail alike (a faulty service takes down the pool)',
		act(owner) {
			runRequests(owner, 100, ['i1', 'i2', 'i3', 'i4']);
			return listStages(owner, ['i1', 'i2', 'i3', 'i4']);
		},
		expected: ['trusted', 'trusted', 'trusted', 'trusted'],
	},
	{
		name: 'refusals for lack of slots do not count (busy instances ejected)',
		act(owner) {
			runRequests(owner, 100, ['i1'], 503);
			return listStages(owner, ['i1']).map(stage => stage ?? 'trusted');
		},
		expected: ['trusted'],
	},
	{
		name: 'healthy probes start a trial, and a failure in the trial ejects the instance again (flapping)',
		act(owner) {
			runRequests(owner, 100, ['i1']);
			const stages: Array<TrustStage | undefined> = [];
			for (let count = 0; count < 2; count += 1) {
				owner.advance(1500);
				owner.send({kind: 'probe-ended', instanceId: 'i1', isHealthy: true});
			}

			stages.push(...listStages(owner, ['i1']));
			runRequests(owner, 60, ['i1']);
			stages.push(...listStages(owner, ['i1']));
			for (let count = 0; count < 2; count += 1) {
				owner.advance(2500);
				owner.send({kind: 'probe-ended', instanceId: 'i1', isHealthy: true});
			}

			runRequests(owner, 60, []);
			return [...stages, ...listStages(owner, ['i1'])];
		},
		expected: ['trial', 'distrusted', 'trusted'],
	},
	{
		name: 'a request that fails at three instances is rejected with its reason (it takes slots forever)',
		act(owner) {
			runRequests(owner, 20, []);
			for (let count = 0; count < 12; count += 1) {
				owner.submitRequest({path: '/poison'});
				for (const attempt of owner.listAttempts()) {
					owner.answer(attempt, 500);
				}

				owner.advance(50);
			}

			const result = owner.getResult(owner.submitRequest({path: '/poison'}));
			return [result?.outcome, result?.reason, owner.getResult(owner.submitRequest({path: '/other'}))];
		},
		expected: ['not-run', 'job-keeps-failing', undefined],
	},
	{
		name: 'the number of stored fingerprints is bounded (memory grows with each failing request)',
		act(owner) {
			runRequests(owner, 1200, ['i1', 'i2', 'i3', 'i4']);
			for (let count = 0; count < 1200; count += 1) {
				owner.submitRequest();
				owner.answer(owner.listAttempts()[0]!, 400 + 100);
				owner.advance(50);
			}

			return owner.state.health.failuresByFingerprint.size <= 1000;
		},
		expected: true,
	},
	{
		name: 'timeouts at the deadline of the request do not count (short deadlines take down the pool)',
		act(owner) {
			for (let count = 0; count < 40; count += 1) {
				owner.submitRequest({requestClass: 'urgent'});
				owner.now += 100;
				owner.answer(owner.listAttempts()[0]!);
			}

			for (let count = 0; count < 40; count += 1) {
				owner.submitRequest({requestClass: 'urgent', timeLeftMs: 110});
				owner.now += 50;
				owner.fail(owner.listAttempts()[0]!, 'answer-timeout');
				owner.advance(200);
			}

			return [...owner.state.health.instances.values()].every(health => health.stage === 'trusted' && health.consecutiveTimeouts === 0);
		},
		expected: true,
	},
	{
		name: 'timeouts over one connection do not count while a new connection works (healthy instance ejected)',
		act(owner) {
			runRequests(owner, 40, []);
			owner.submitRequest();
			owner.fail(owner.listAttempts()[0]!, 'answer-timeout');
			const probe = owner.effects.find(effect => effect.kind === 'probe-endpoint');
			const {instanceId} = probe as {instanceId: string};
			const before = owner.state.health.instances.get(instanceId)!.failureCount;
			owner.send({kind: 'probe-ended', instanceId, isHealthy: true});
			const afterHealthy = owner.state.health.instances.get(instanceId)!.failureCount;
			return [before, afterHealthy];
		},
		expected: [0, 0],
	},
];

describe('health', () => {
	it.each(cases)('$name', ({options, act, expected}) => {
		const owner = createOwnerFixture({
			instances: 4, slots: 8, budget: 1, ...options,
		});
		expect(act(owner)).toEqual(expected);
	});
});
