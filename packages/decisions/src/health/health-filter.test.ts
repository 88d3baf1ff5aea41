import {describe, expect, it} from 'vitest';
import {createOwnerFixture, type OwnerFixture, type OwnerFixtureOptions} from '../owned-pool.test-support.js';
import {type TrustStage} from './health-state.js';

type Case = {
	readonly name: string;
	readonly options?: OwnerFixtureOptions;
	readonly act: (owned: OwnerFixture) => unknown;
	readonly expected: unknown;
};

/** Runs requests one at a time; instances in `broken` answer with the given status. Returns how many each broken one got. */
function runRequests(owned: OwnerFixture, count: number, broken: readonly string[], status = 500): number[] {
	const received = new Map(broken.map(id => [id, 0]));
	for (let index = 0; index < count; index += 1) {
		// Every third request can be sent again; the others show how many reach a broken worker.
		owned.submitRequest(index % 3 === 0 ? {} : {isIdempotent: false, method: 'POST'});
		for (const attempt of owned.listAttempts()) {
			const instanceId = `i${attempt.address.split(':')[0]!.split('.').at(-1)}`;
			const isBroken = received.has(instanceId);
			if (isBroken) {
				received.set(instanceId, received.get(instanceId)! + 1);
			}

			owned.answer(attempt, isBroken ? status : 200);
		}

		owned.advance(10);
	}

	return [...received.values()];
}

function listStages(owned: OwnerFixture, ids: readonly string[]): Array<TrustStage | undefined> {
	return ids.map(id => owned.state.health.instances.get(id)?.stage);
}

const cases: readonly Case[] = [
	{
		name: 'a worker that fails everything fast is taken out within 20 requests (it attracts the whole pool)',
		act(owned) {
			runRequests(owned, 60, []);
			const [received] = runRequests(owned, 200, ['i1']);
			return {isFound: received! <= 20, stages: listStages(owned, ['i1', 'i2'])};
		},
		expected: {isFound: true, stages: ['distrusted', 'trusted']},
	},
	{
		name: 'no more workers are taken out than the budget leaves; the next one is limited (budget broken)',
		act(owned) {
			runRequests(owned, 60, []);
			runRequests(owned, 400, ['i1', 'i2']);
			return listStages(owned, ['i1', 'i2', 'i3']).map(String).sort((left, right) => left.localeCompare(right));
		},
		expected: ['distrusted', 'limited', 'trusted'],
	},
	{
		name: 'a permit uses up the budget (budget broken by health on top of maintenance)',
		act(owned) {
			owned.state.fleet.owned.get('desk')!.record!.permits.i4 = {
				reason: 'maintenance', stage: 'draining', since: 0, by: 'operator',
			};
			runRequests(owned, 200, ['i1']);
			return listStages(owned, ['i1']);
		},
		expected: ['limited'],
	},
	{
		name: 'no worker is taken out when all fail alike (a broken service takes the pool out)',
		act(owned) {
			runRequests(owned, 100, ['i1', 'i2', 'i3', 'i4']);
			return listStages(owned, ['i1', 'i2', 'i3', 'i4']);
		},
		expected: ['trusted', 'trusted', 'trusted', 'trusted'],
	},
	{
		name: 'refusals for lack of slots do not count (busy workers taken for broken ones)',
		act(owned) {
			runRequests(owned, 100, ['i1'], 503);
			return listStages(owned, ['i1']).map(stage => stage ?? 'trusted');
		},
		expected: ['trusted'],
	},
	{
		name: 'probes lead back through a trial, and a failure in the trial takes the worker out again (flapping)',
		act(owned) {
			runRequests(owned, 100, ['i1']);
			const stages: Array<TrustStage | undefined> = [];
			for (let count = 0; count < 2; count += 1) {
				owned.advance(1500);
				owned.send({kind: 'probe-ended', instanceId: 'i1', isHealthy: true});
			}

			stages.push(...listStages(owned, ['i1']));
			runRequests(owned, 60, ['i1']);
			stages.push(...listStages(owned, ['i1']));
			for (let count = 0; count < 2; count += 1) {
				owned.advance(2500);
				owned.send({kind: 'probe-ended', instanceId: 'i1', isHealthy: true});
			}

			runRequests(owned, 60, []);
			return [...stages, ...listStages(owned, ['i1'])];
		},
		expected: ['trial', 'distrusted', 'trusted'],
	},
	{
		name: 'a job that fails on three workers is refused with its reason (it takes slots for ever)',
		act(owned) {
			runRequests(owned, 20, []);
			for (let count = 0; count < 12; count += 1) {
				owned.submitRequest({path: '/poison'});
				for (const attempt of owned.listAttempts()) {
					owned.answer(attempt, 500);
				}

				owned.advance(50);
			}

			const result = owned.getResult(owned.submitRequest({path: '/poison'}));
			return [result?.outcome, result?.reason, owned.getResult(owned.submitRequest({path: '/other'}))];
		},
		expected: ['not-run', 'job-keeps-failing', undefined],
	},
	{
		name: 'the memory for failing jobs is bounded (memory grows with each failing request)',
		act(owned) {
			runRequests(owned, 1200, ['i1', 'i2', 'i3', 'i4']);
			for (let count = 0; count < 1200; count += 1) {
				owned.submitRequest();
				owned.answer(owned.listAttempts()[0]!, 400 + 100);
				owned.advance(50);
			}

			return owned.state.health.jobs.size <= 1000;
		},
		expected: true,
	},
	{
		name: 'time-outs for the deadline of the request do not count (short deadlines take the pool out)',
		act(owned) {
			for (let count = 0; count < 40; count += 1) {
				owned.submitRequest({requestClass: 'urgent'});
				owned.now += 100;
				owned.answer(owned.listAttempts()[0]!);
			}

			for (let count = 0; count < 40; count += 1) {
				owned.submitRequest({requestClass: 'urgent', timeLeftMs: 110});
				owned.now += 50;
				owned.fail(owned.listAttempts()[0]!, 'answer-timeout');
				owned.advance(200);
			}

			return [...owned.state.health.instances.values()].every(health => health.stage === 'trusted' && health.timeoutsInRow === 0);
		},
		expected: true,
	},
	{
		name: 'time-outs over a connection do not count while a fresh connection works (healthy worker taken out)',
		act(owned) {
			runRequests(owned, 40, []);
			owned.submitRequest();
			owned.fail(owned.listAttempts()[0]!, 'answer-timeout');
			const probe = owned.effects.find(effect => effect.kind === 'probe-endpoint');
			const {instanceId} = probe as {instanceId: string};
			const before = owned.state.health.instances.get(instanceId)!.failed;
			owned.send({kind: 'probe-ended', instanceId, isHealthy: true});
			const afterHealthy = owned.state.health.instances.get(instanceId)!.failed;
			return [before, afterHealthy];
		},
		expected: [0, 0],
	},
];

describe('health', () => {
	it.each(cases)('$name', ({options, act, expected}) => {
		const owned = createOwnerFixture({
			instances: 4, slots: 8, budget: 1, ...options,
		});
		expect(act(owned)).toEqual(expected);
	});
});
