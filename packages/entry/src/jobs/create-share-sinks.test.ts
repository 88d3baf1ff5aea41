import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {type JobEvent, type ShareRecord} from '@pistachiogauge/jobs';
import {
	type StoreClient, type StoreItem, type StoreTransaction, type TransactionResult,
} from '@pistachiogauge/platform';
import {createShareSinks} from './create-share-sinks.js';

const account = 'Presse/Süd 100%';
const key = 'shares/Presse%2FS%C3%BCd%20100%25';
const record: ShareRecord = {cap: {cpuMillis: 10, memoryMb: 0, gpus: 0}, pools: {desk: {share: {cpuMillis: 5, memoryMb: 0, gpus: 0}, wanted: {cpuMillis: 5, memoryMb: 0, gpus: 0}}}};

type Reply = TransactionResult | 'thrown';

/** Sinks that call a small fake of the store, with the events that they publish. */
function createSinks({items = [], reply = {kind: 'refused'}}: {readonly items?: readonly StoreItem[]; readonly reply?: Reply}) {
	const events: JobEvent[] = [];
	const transactions: StoreTransaction[] = [];
	const ignoredKeys: string[] = [];
	const store = {
		listItems: async () => ({items, revision: 9}),
		readItem: async (itemKey: string) => items.find(item => item.key === itemKey),
		watchItems: async () => new Promise<undefined>(() => {/* Waits for a change that does not come. */}),
		async applyTransaction(transaction: StoreTransaction) {
			transactions.push(transaction);
			if (reply === 'thrown') {
				throw new Error('no answer');
			}

			return reply;
		},
	} as unknown as StoreClient;
	const pushEvent = (event: JobEvent) => {
		events.push(event);
	};

	const followContext = {
		store, pushEvent, log() {/* Not needed. */}, node: 'e1', incarnation: 'first', handleRegistrationLost() {/* Not needed. */},
		reportIgnoredItem(item: StoreItem) {
			ignoredKeys.push(item.key);
		},
	};
	const sinks = createShareSinks({store, pushEvent, followContext}, (_name, call, failureEvent) => {
		call().catch(() => {
			if (failureEvent !== undefined) {
				pushEvent(failureEvent);
			}
		});
	});
	return {
		sinks, events, transactions, ignoredKeys,
	};
}

const write = {
	kind: 'write-shares', pool: 'desk', token: 7, writeId: 3, records: [{account, revision: 4, record}],
} as const;

describe('a write of shares', () => {
	// Guards against a former owner that writes, and against a result that the decisions take for another one.
	it.each([
		{name: 'is applied', reply: {kind: 'applied', revision: 12}, expected: {result: 'applied', revision: 12, isClaimLost: false}},
		{name: 'conflicts with another owner', reply: {kind: 'conflict', revisions: new Map([[key, 6], ['shared/claim/pool/desk', 7]]), values: new Map()}, expected: {result: 'conflict', presentRevisions: new Map([[account, 6]]), isClaimLost: false}},
		{name: 'is that of a former owner', reply: {kind: 'conflict', revisions: new Map([[key, 4], ['shared/claim/pool/desk', 8]]), values: new Map()}, expected: {result: 'conflict', isClaimLost: true}},
		{name: 'is refused', reply: {kind: 'refused'}, expected: {result: 'refused', isClaimLost: false}},
		{name: 'is not answered', reply: {kind: 'unknown'}, expected: {result: 'unknown', isClaimLost: false}},
		{name: 'fails', reply: 'thrown', expected: {result: 'unknown', isClaimLost: false}},
	] satisfies ReadonlyArray<{readonly name: string; readonly reply: Reply; readonly expected: Record<string, unknown>}>)('$name', async ({reply, expected}) => {
		const {sinks, events, transactions} = createSinks({reply});
		sinks['write-shares'](write);
		await delay(5);
		expect(transactions[0]).toMatchObject({conditions: [{key: 'shared/claim/pool/desk', revision: 7}, {key, revision: 4}], puts: [{key, value: JSON.stringify(record)}]});
		expect(events.at(-1)).toMatchObject({
			kind: 'shares-written', pool: 'desk', token: 7, writeId: 3, ...expected,
		});
		expect(events.some(({kind}) => kind === 'claim-confirmed')).toBe(reply !== 'thrown' && reply.kind === 'applied');
	});
});

// Guards against a damaged record that is taken for an absent one, or that hides the others.
describe('records of shares', () => {
	const odd = [
		{
			name: 'an intact record', items: [{key, value: JSON.stringify(record), revision: 4}], expected: [{account, revision: 4, record}], ignored: 0,
		},
		{
			name: 'no JSON', items: [{key, value: '{', revision: 4}], expected: [{account, revision: 4, record: undefined}], ignored: 1,
		},
		{
			name: 'a negative share', items: [{key, value: JSON.stringify(record).replace('5', '-5'), revision: 4}], expected: [{account, revision: 4, record: undefined}], ignored: 1,
		},
		{
			name: 'a key that names no account', items: [{key: 'shares/%E0%A4%A', value: '{}', revision: 4}, {key, value: JSON.stringify(record), revision: 5}], expected: [{account, revision: 5, record}], ignored: 1,
		},
		{
			name: 'none', items: [], expected: [], ignored: 0,
		},
	] as const;

	it.each(odd)('are listed for the owner of pools: $name', async ({items, expected, ignored}) => {
		const {sinks, events, ignoredKeys} = createSinks({items});
		const owned = [{pool: 'desk', token: 7}];
		sinks['follow-shares']({kind: 'follow-shares', owned});
		await delay(5);
		sinks['follow-shares']({kind: 'follow-shares', owned: []});
		expect(events).toEqual([{kind: 'shares-listed', owned, shares: expected}]);
		expect(ignoredKeys).toHaveLength(ignored);
	});

	it.each([
		{name: 'an intact record', items: [{key, value: JSON.stringify(record), revision: 4}], expected: {account, revision: 4, record}},
		{name: 'a damaged record', items: [{key, value: '[]', revision: 4}], expected: {account, revision: 4, record: undefined}},
		{name: 'no record', items: [], expected: {account, revision: 0, record: undefined}},
	])('are read back: $name', async ({items, expected}) => {
		const {sinks, events} = createSinks({items});
		sinks['read-shares']({kind: 'read-shares', accounts: [account]});
		await delay(5);
		expect(events).toEqual([{kind: 'shares-read', shares: expected}]);
	});
});
