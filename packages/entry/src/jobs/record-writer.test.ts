import {type ChangeResult, type StoreChange} from '@pistachiogauge/platform';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createRecordWriter, rewritePauseMs} from './record-writer.js';

const changes: Readonly<Record<string, StoreChange>> = {
	ask: {conditions: [], puts: [{key: 'record', value: 'ask'}]},
	withdraw: {conditions: [], puts: [], removes: ['record']},
};

const results: Readonly<Record<string, ChangeResult>> = {
	applied: {kind: 'applied', revision: 7},
	conflict: {kind: 'conflict', revisions: new Map()},
	refused: {kind: 'refused'},
	unknown: {kind: 'unknown'},
};

/** What reaches the store, given the changes asked for as `pauses name` and the store's answers in order; the last one goes on. */
async function listWrites(asked: ReadonlyArray<readonly [number, string]>, answers: readonly string[]): Promise<string[]> {
	const writes: string[] = [];
	const writeRecord = createRecordWriter({
		async changeItems(change) {
			writes.push(Object.keys(changes).find(name => changes[name] === change)!);
			return results[answers[writes.length - 1] ?? answers.at(-1)!]!;
		},
	}, () => undefined);
	const done: Array<Promise<void>> = [];
	for (const [pauses, name] of asked) {
		// eslint-disable-next-line no-await-in-loop
		await vi.advanceTimersByTimeAsync(pauses * rewritePauseMs);
		done.push(writeRecord('record', changes[name]!));
	}

	await vi.advanceTimersByTimeAsync(40 * rewritePauseMs);
	await Promise.all(done);
	return writes;
}

const cases = [
	{
		name: 'a record that is taken is written once', asked: [[0, 'ask']], answers: ['applied'], expected: ['ask'],
	},
	{
		name: 'a record whose condition does not hold is given up', asked: [[0, 'ask']], answers: ['conflict'], expected: ['ask'],
	},
	{
		// Guards against an endpoint that was empty during an outage of 4 s and never said so, so that its machine was not maintained.
		name: 'a record is written after an outage of 20 tries', asked: [[0, 'ask']], answers: [...Array.from<string>({length: 20}).fill('refused'), 'applied'], expected: Array.from<string>({length: 21}).fill('ask'),
	},
	{
		name: 'an unanswered write is written again', asked: [[0, 'ask']], answers: ['unknown', 'applied'], expected: ['ask', 'ask'],
	},
	{
		// Guards against an older change that is written after a newer one.
		name: 'a newer change takes the place of one that waits', asked: [[0, 'ask'], [1.5, 'withdraw']], answers: ['refused', 'refused', 'applied'], expected: ['ask', 'ask', 'withdraw'],
	},
] as const;

describe('createRecordWriter', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	it.each(cases)('$name', async ({asked, answers, expected}) => {
		expect(await listWrites(asked, answers)).toEqual(expected);
	});
});
