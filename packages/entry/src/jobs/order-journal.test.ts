import {type JobEffectOf, type JobEvent} from '@pistachiogauge/jobs';
import {type TransactionResult} from '@pistachiogauge/platform';
import {describe, expect, it} from 'vitest';
import {createOrderSinks} from './create-order-sinks.js';
import {createOrderJournal} from './order-journal.js';

type Step = {readonly at: number; readonly machine: string};

/** Lists the records that are written for orders at the given times in ms, when each write takes 10 ms and orders are kept for 1 s. */
async function listRecords(steps: readonly Step[]): Promise<string[]> {
	const records: string[] = [];
	let now = 0;
	const waiting: Array<() => void> = [];
	const journal = createOrderJournal({
		keepMs: 1000,
		getNow: () => now,
		async writeMachines(machines) {
			records.push(machines.join(' '));
			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
			return 'applied';
		},
	});
	const finishWrite = async () => {
		waiting.shift()?.();
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	};

	for (const {at, machine} of steps) {
		if (at > now) {
			now = at;
			// eslint-disable-next-line no-await-in-loop
			await finishWrite();
		}

		void journal.recordOrder(machine);
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	await finishWrite();
	await finishWrite();
	return records;
}

describe('createOrderJournal', () => {
	it.each([
		{name: 'an order is recorded at once', steps: [{at: 0, machine: 'a'}], records: ['a']},
		{name: 'orders during a write share the next one', steps: [{at: 0, machine: 'a'}, {at: 0, machine: 'b'}, {at: 0, machine: 'c'}], records: ['a', 'a b c']},
		{name: 'earlier orders stay on record for the next holder', steps: [{at: 0, machine: 'a'}, {at: 900, machine: 'b'}], records: ['a', 'a b']},
		{name: 'old orders are dropped', steps: [{at: 0, machine: 'a'}, {at: 1200, machine: 'b'}], records: ['a', 'b']},
	])('$name', async ({steps, records}) => {
		expect(await listRecords(steps)).toEqual(records);
	});
});

// Guards against an order that the next holder does not know of, and orders the same machine again.
const cases: ReadonlyArray<{readonly name: string; readonly written: TransactionResult['kind']; readonly token: number; readonly answer?: 'fenced'; readonly nextToken?: number; readonly result: string; readonly isSent: boolean}> = [
	{
		name: 'the record has been written', written: 'applied', token: 7, result: 'accepted', isSent: true,
	},
	{
		name: 'the write was refused', written: 'refused', token: 7, result: 'limited', isSent: false,
	},
	{
		name: 'the write was not answered', written: 'unknown', token: 7, result: 'limited', isSent: false,
	},
	{
		name: 'another entry has the claim', written: 'conflict', token: 7, result: 'fenced', isSent: false,
	},
	{
		name: 'the claim was lost during the write', written: 'applied', token: 8, result: 'limited', isSent: false,
	},
	{
		// Guards against a claim that is given up because an order under the one before it was refused.
		name: 'the claim was lost and made again before the write', written: 'conflict', token: 8, result: 'limited', isSent: false,
	},
	{
		name: 'the service has seen the token of another holder', written: 'applied', token: 7, answer: 'fenced', result: 'fenced', isSent: true,
	},
	{
		name: 'the service has seen the token of the next claim of this entry', written: 'applied', token: 7, answer: 'fenced', result: 'limited', isSent: true, nextToken: 8,
	},
];

describe('a machine order', () => {
	it.each(cases)('is sent only if it is on record: $name', async ({written, token, answer = 'accepted', nextToken = token, result, isSent}) => {
		let sentCount = 0;
		const fleet = {token};
		const events: JobEvent[] = [];
		const dependencies = {
			state: {fleet},
			machineService: {
				async orderMachine({machine, order}: JobEffectOf<'order-machine'>) {
					sentCount += 1;
					fleet.token = nextToken;
					return {
						kind: 'machine-order-answered', machine, order, result: answer,
					} as const;
				},
			},
			pushEvent(event: JobEvent) {
				events.push(event);
			},
			orderJournal: createOrderJournal({keepMs: 1000, getNow: () => 0, writeMachines: async () => written}),
		} as unknown as Parameters<typeof createOrderSinks>[0];
		let call: Promise<void> | undefined;
		const sinks = createOrderSinks(dependencies, (_name, run) => {
			call = run();
		});
		sinks['order-machine']({
			kind: 'order-machine', machine: 'm', order: 'move', pool: 'desk', wave: 0, token: 7, validUntil: 1, wallValidUntil: 1,
		});
		await call;
		expect(events).toMatchObject([{machine: 'm', result}]);
		expect(sentCount).toBe(isSent ? 1 : 0);
	});
});
