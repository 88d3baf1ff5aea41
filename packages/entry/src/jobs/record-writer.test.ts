import {type TransactionResult, type StoreTransaction} from '@pistachiogauge/platform';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createRecordWriter, retryPauseMs} from './record-writer.js';

const transactions: Readonly<Record<string, StoreTransaction>> = {
	request: {conditions: [], puts: [{key: 'record', value: 'request'}]},
	withdraw: {conditions: [], puts: [], deletes: ['record']},
};

const results: Readonly<Record<string, TransactionResult>> = {
	applied: {kind: 'applied', revision: 7},
	conflict: {kind: 'conflict', revisions: new Map(), values: new Map()},
	refused: {kind: 'refused'},
	unknown: {kind: 'unknown'},
};

/** Lists the writes that reach the store. Requests are pairs of a number of retry pauses to wait and a name; the store gives its results in order, and repeats the last one. */
async function listWrites(requests: ReadonlyArray<readonly [number, string]>, storeResults: readonly string[]): Promise<string[]> {
	const writes: string[] = [];
	const writeRecord = createRecordWriter(async (_key, transaction) => {
		writes.push(Object.keys(transactions).find(name => transactions[name] === transaction)!);
		return results[storeResults[writes.length - 1] ?? storeResults.at(-1)!]!;
	}, () => undefined);
	const pendingWrites: Array<Promise<void>> = [];
	for (const [elapsedPauses, name] of requests) {
		// eslint-disable-next-line no-await-in-loop
		await vi.advanceTimersByTimeAsync(elapsedPauses * retryPauseMs);
		pendingWrites.push(writeRecord('record', transactions[name]!));
	}

	await vi.advanceTimersByTimeAsync(40 * retryPauseMs);
	await Promise.all(pendingWrites);
	return writes;
}

const cases = [
	{
		name: 'a record that the store accepts is written once', requests: [[0, 'request']], storeResults: ['applied'], expected: ['request'],
	},
	{
		name: 'a record whose condition fails is abandoned', requests: [[0, 'request']], storeResults: ['conflict'], expected: ['request'],
	},
	{
		// Guards against a lost record: an endpoint was evacuated during a store outage of 4 s and this was never written, so its machine was not maintained.
		name: 'a record is written after an outage of 20 attempts', requests: [[0, 'request']], storeResults: [...Array.from<string>({length: 20}).fill('refused'), 'applied'], expected: Array.from<string>({length: 21}).fill('request'),
	},
	{
		name: 'a write without a response is retried', requests: [[0, 'request']], storeResults: ['unknown', 'applied'], expected: ['request', 'request'],
	},
	{
		// Guards against an older change being written after a newer one.
		name: 'a newer change replaces one that waits for a retry', requests: [[0, 'request'], [1.5, 'withdraw']], storeResults: ['refused', 'refused', 'applied'], expected: ['request', 'request', 'withdraw'],
	},
] as const;

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

describe('createRecordWriter', () => {
	it.each(cases)('$name', async ({requests, storeResults, expected}) => {
		expect(await listWrites(requests, storeResults)).toEqual(expected);
	});
});

describe('two writes of the same record', () => {
	// Guards against a request that was applied before the withdrawal of the one before it, and is deleted with it.
	it.each([
		{
			name: 'the first is still unanswered', elapsedMs: 0, sent: ['request'], after: ['request', 'withdraw'],
		},
		{
			name: 'the first has been answered', elapsedMs: 100, sent: ['request', 'withdraw'], after: ['request', 'withdraw'],
		},
	])('are sent one after the other: $name', async ({elapsedMs, sent, after}) => {
		const writes: string[] = [];
		const writeRecord = createRecordWriter(async (_key, transaction) => {
			writes.push(Object.keys(transactions).find(name => transactions[name] === transaction)!);
			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
			return results.applied!;
		}, () => undefined);
		const pending = [writeRecord('record', transactions.request!)];
		await vi.advanceTimersByTimeAsync(elapsedMs);
		pending.push(writeRecord('record', transactions.withdraw!));
		await vi.advanceTimersByTimeAsync(0);
		expect(writes).toEqual(sent);
		await vi.advanceTimersByTimeAsync(200);
		await Promise.all(pending);
		expect(writes).toEqual(after);
	});
});
