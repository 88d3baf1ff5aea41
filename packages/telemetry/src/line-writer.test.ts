import {closeSync, openSync, readFileSync} from 'node:fs';
import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {createLineWriter} from './line-writer.js';

// Guards against log volume that exhausts memory or blocks the process.
const cases = [
	{
		name: 'all lines within the rate limit are written', lines: 5, linesPerSecond: 10, bufferBytes: 1000, written: 5, dropped: 0,
	},
	{
		name: 'lines beyond the rate limit are dropped and counted', lines: 15, linesPerSecond: 10, bufferBytes: 1000, written: 10, dropped: 5,
	},
	{
		name: 'lines beyond the buffer size are dropped and counted', lines: 15, linesPerSecond: 100, bufferBytes: 12, written: 6, dropped: 9,
	},
];

describe('createLineWriter', () => {
	it.each(cases)('$name', async ({lines, linesPerSecond, bufferBytes, written, dropped}) => {
		const file = path.join(await mkdtemp(path.join(tmpdir(), 'lines-')), 'log');
		const descriptor = openSync(file, 'w');
		let now = 0;
		const writer = createLineWriter({
			descriptor, bufferBytes, linesPerSecond, getNow: () => now,
		});
		for (let index = 0; index < lines; index++) {
			writer.writeLine('x');
		}

		await writer.flush(5000);
		expect(readFileSync(file, 'utf8').split('\n').filter(line => line === 'x')).toHaveLength(written);
		expect(writer.getDroppedCount()).toBe(dropped);

		// The first line of the next second is preceded by a report of the number of dropped lines.
		now = 1000;
		writer.writeLine('y');
		await writer.flush(5000);
		closeSync(descriptor);
		expect(readFileSync(file, 'utf8').includes('log lines left out')).toBe(dropped > 0);
	});
});
