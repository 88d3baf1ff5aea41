import {write} from 'node:fs';

/** Writes lines to a file descriptor without blocking the caller. @public */
export type LineWriter = {
	writeLine(line: string): void;
	/** Resolves when all lines are written, or after the given time at the latest. */
	flush(deadlineMs: number): Promise<void>;
	/** Number of lines dropped so far because the buffer was full or the rate limit was exceeded. */
	getDroppedCount(): number;
};

/** @public */
export type LineWriterOptions = {
	readonly descriptor: number;
	/** Size of the buffer for a slow reader; lines beyond it are dropped and counted. */
	readonly bufferBytes: number;
	/** Rate limit; lines beyond it are dropped and counted. */
	readonly linesPerSecond: number;
	readonly getNow: () => number;
};

/** Delay during which lines are collected and then written together. */
const batchDelayMs = 20;

/**
Creates a writer with a bounded buffer and at most one write in progress.

Writing to a pipe through `process.stdout` would block the process while the reader is slow; `fs.write` uses the thread pool instead.

@public
*/
export function createLineWriter({descriptor, bufferBytes, linesPerSecond, getNow}: LineWriterOptions): LineWriter {
	let bufferedLines: string[] = [];
	let bufferedBytes = 0;
	let isWriting = false;
	let droppedCount = 0;
	let unreportedDroppedCount = 0;
	let windowStart = getNow();
	let windowLineCount = 0;
	let timer: NodeJS.Timeout | undefined;
	const flushCallbacks: Array<() => void> = [];

	function writeBufferedLines(): void {
		timer = undefined;
		if (isWriting) {
			return;
		}

		if (bufferedLines.length === 0) {
			for (const resolve of flushCallbacks.splice(0)) {
				resolve();
			}

			return;
		}

		const text = Buffer.from(bufferedLines.join(''));
		bufferedLines = [];
		bufferedBytes = 0;
		isWriting = true;
		writeAll(text, 0);
	}

	function writeAll(text: Uint8Array, offset: number): void {
		write(descriptor, text, offset, text.length - offset, null, (error, written) => {
			if (error === null && offset + written < text.length) {
				writeAll(text, offset + written);
				return;
			}

			// Write errors are ignored: without a reader, the lines are lost but the process continues.
			isWriting = false;
			writeBufferedLines();
		});
	}

	function appendLine(line: string): void {
		bufferedLines.push(line);
		bufferedBytes += line.length;
		timer ??= isWriting ? undefined : setTimeout(writeBufferedLines, batchDelayMs);
	}

	return {
		writeLine(line) {
			const now = getNow();
			if (now >= windowStart + 1000) {
				windowStart = now;
				windowLineCount = 0;
			}

			windowLineCount += 1;
			if (windowLineCount > linesPerSecond || bufferedBytes + line.length > bufferBytes) {
				droppedCount += 1;
				unreportedDroppedCount += 1;
				return;
			}

			if (unreportedDroppedCount > 0) {
				appendLine(`${JSON.stringify({level: 'warn', message: 'log lines left out', count: unreportedDroppedCount})}\n`);
				unreportedDroppedCount = 0;
			}

			appendLine(`${line}\n`);
		},
		async flush(deadlineMs) {
			return new Promise(resolve => {
				const timeout = setTimeout(resolve, deadlineMs);
				flushCallbacks.push(() => {
					clearTimeout(timeout);
					resolve();
				});
				writeBufferedLines();
			});
		},
		getDroppedCount: () => droppedCount,
	};
}
