import {expect, it} from 'vitest';
import {createQueuedJobCounter} from './count-queued-jobs.js';
import {encodeRecord} from './job-records.js';

const createItem = (id: string, queue: string, status: 'queued' | 'running' | 'done') => ({
	key: `state/desk/progress/${id}`, revision: 1, value: encodeRecord({
		queue, status, steps: {}, lastRun: 0,
	}),
});
const items = [createItem('1', 'prints', 'queued'), createItem('2', 'prints', 'queued'), createItem('3', 'scans', 'queued'), createItem('4', 'prints', 'running'), createItem('5', 'prints', 'done'), {key: 'state/desk/progress/6', revision: 1, value: 'damaged'}];

// Guards against a list of all records for each caller that asks, and against a failure that is repeated from memory.
it.each([
	{
		name: 'records in any state', atMs: [0], fails: [false], expected: [2], reads: 1,
	},
	{
		name: 'a second caller within a second', atMs: [0, 900], fails: [false, false], expected: [2, 2], reads: 1,
	},
	{
		name: 'a second caller later', atMs: [0, 1000], fails: [false, false], expected: [2, 2], reads: 2,
	},
	{
		name: 'a failed read', atMs: [0, 100], fails: [true, false], expected: [undefined, 2], reads: 2,
	},
])('counts queued jobs by their records: $name', async ({atMs, fails, expected, reads}) => {
	let now = 0;
	let readCount = 0;
	const count = createQueuedJobCounter({
		async listItems() {
			readCount += 1;
			if (fails[readCount - 1] === true) {
				throw new Error('unreachable');
			}

			return {items, revision: 1};
		},
	}, () => now);
	const counts: Array<number | undefined> = [];
	for (const at of atMs) {
		now = at;
		// eslint-disable-next-line no-await-in-loop
		const byQueue = await count('desk').catch(() => undefined);
		counts.push(byQueue?.get('prints'));
	}

	expect(counts).toEqual(expected);
	expect(readCount).toBe(reads);
});
