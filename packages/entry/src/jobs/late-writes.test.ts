import {createJobsState, type JobEffect} from '@pistachiogauge/jobs';
import {type StoreTransaction, type TransactionResult} from '@pistachiogauge/platform';
import {expect, it, vi} from 'vitest';
import {createJobSinks} from './create-job-sinks.js';
import {type JobSinkDependencies} from './job-sink-dependencies.js';

const token = 7;
const createOrder = (machine: string): JobEffect => ({
	kind: 'order-machine', machine, order: 'move', pool: 'desk', wave: 0, token, validUntil: 0, wallValidUntil: 0,
});

const createRequest = (requestId: string): JobEffect => ({
	kind: 'request-evacuation', request: {
		requestId, pool: 'desk', endpointId: 'e', machine: 'm', purpose: 'move', dueAt: 0,
	},
});

const createStatus = (status: 'running' | 'done', count: number): JobEffect => ({
	kind: 'write-wave-status', number: 3, status, maintained: ['m1', 'm2'].slice(0, count),
});

const cases: ReadonlyArray<{readonly name: string; readonly effects: readonly JobEffect[]; readonly key: string; readonly expected: string}> = [
	{
		// Guards against a next holder of the fleet's claim that orders a machine again, as it is missing from the record.
		name: 'machines that were ordered', effects: [createOrder('m1'), createOrder('m2'), createOrder('m3')], key: 'fleet/orders', expected: '{"token":7,"machines":["m1","m2","m3"]}',
	},
	{
		// Guards against tasks that are started on an endpoint whose machine is about to be ordered, as the request to evacuate it is gone.
		name: 'a second request to evacuate an endpoint', effects: [createRequest('7-1'), {kind: 'withdraw-evacuation', pool: 'desk', endpointId: 'e'}, createRequest('7-2')], key: 'fleet/vacate/desk/e', expected: '{"requestId":"7-2","pool":"desk","endpointId":"e","machine":"m","purpose":"move","dueAt":0}',
	},
	{
		// Guards against a wave that counts as running for good after it was done.
		name: 'the end of a wave', effects: [createStatus('running', 0), createStatus('running', 1), createStatus('done', 2)], key: 'status/wave/3', expected: '{"Wave":3,"State":"done"}',
	},
];

it.each(cases)('a write that the store carries out late does not undo a later one: $name', async ({effects, key, expected}) => {
	vi.useFakeTimers();
	const items = new Map([['shared/claim/fleet', {value: '', revision: token}]]);
	let writeCount = 0;
	const carryOut = ({conditions, puts, deletes = []}: StoreTransaction): TransactionResult => {
		const revisions = new Map(conditions.map(each => [each.key, items.get(each.key)?.revision ?? 0]));
		if (conditions.some(each => revisions.get(each.key) !== each.revision)) {
			return {kind: 'conflict', revisions, values: new Map()};
		}

		for (const put of puts) {
			items.set(put.key, {value: put.value, revision: token + writeCount});
		}

		for (const deleted of deletes) {
			items.delete(deleted);
		}

		return {kind: 'applied', revision: token + writeCount};
	};

	const unanswered: StoreTransaction[] = [];
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	Object.assign(state.fleet, {token, inheritedOrders: new Set()});
	const sinks = createJobSinks({
		state, pushEvent: () => undefined, log: () => undefined, store: {
			async applyTransaction(transaction: StoreTransaction) {
				writeCount += 1;
				return writeCount === 2 ? (unanswered.push(transaction), {kind: 'unknown'}) : carryOut(transaction);
			},
		},
	} as unknown as JobSinkDependencies);
	for (const effect of effects) {
		(sinks[effect.kind] as (each: JobEffect) => void)(effect);
		// eslint-disable-next-line no-await-in-loop
		await vi.advanceTimersByTimeAsync(100);
	}

	await vi.advanceTimersByTimeAsync(1000);
	vi.useRealTimers();
	carryOut(unanswered[0]!);
	expect(items.get(key)?.value).toBe(expected);
});
