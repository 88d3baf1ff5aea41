import {write} from 'node:fs';

/** Writes lines to a file descriptor without ever blocking its caller. @public */
export type LineWriter = {
	writeLine(line: string): void;
	/** Ends when all lines are written, or after the given time. */
	flush(deadlineMs: number): Promise<void>;
	/** Lines that were left out since the start, as the reader was too slow or there were too many. */
	getDroppedCount(): number;
};

/** @public */
export type LineWriterOptions = {
	readonly descriptor: number;
	/** Bytes that may wait for a slow reader. */
	readonly bufferBytes: number;
	/** Most lines a second; more are left out and counted. */
	readonly linesPerSecond: number;
	readonly getNow: () => number;
};

/** Time in ms that lines are collected before they are written together. */
const collectMs = 20;

/**
Creates a writer that keeps a bounded buffer and has one write in progress at a time.

Writes to a pipe through `process.stdout` block the process while the reader is slow; these go through the thread pool.

@public
*/
export function createLineWriter({descriptor, bufferBytes, linesPerSecond, getNow}: LineWriterOptions): LineWriter {
	let waiting: string[] = [];
	let waitingBytes = 0;
	let isWriting = false;
	let droppedCount = 0;
	let unreportedCount = 0;
	let secondStart = getNow();
	let secondLines = 0;
	let timer: NodeJS.Timeout | undefined;
	const idle: Array<() => void> = [];

	function writeWaiting(): void {
		timer = undefined;
		if (isWriting) {
			return;
		}

		if (waiting.length === 0) {
			for (const resolve of idle.splice(0)) {
				resolve();
			}

			return;
		}

		const text = Buffer.from(waiting.join(''));
		waiting = [];
		waitingBytes = 0;
		isWriting = true;
		writeAll(text, 0);
	}

	function writeAll(text: Uint8Array, from: number): void {
		write(descriptor, text, from, text.length - from, null, (error, written) => {
			if (error === null && from + written < text.length) {
				writeAll(text, from + written);
				return;
			}

			// A reader that is gone takes no lines; the process works on.
			isWriting = false;
			writeWaiting();
		});
	}

	function push(line: string): void {
		waiting.push(line);
		waitingBytes += line.length;
		timer ??= isWriting ? undefined : setTimeout(writeWaiting, collectMs);
	}

	return {
		writeLine(line) {
			const now = getNow();
			if (now >= secondStart + 1000) {
				secondStart = now;
				secondLines = 0;
			}

			secondLines += 1;
			if (secondLines > linesPerSecond || waitingBytes + line.length > bufferBytes) {
				droppedCount += 1;
				unreportedCount += 1;
				return;
			}

			if (unreportedCount > 0) {
				push(`${JSON.stringify({level: 'warn', message: 'log lines left out', count: unreportedCount})}\n`);
				unreportedCount = 0;
			}

			push(`${line}\n`);
		},
		async flush(deadlineMs) {
			return new Promise(resolve => {
				const limit = setTimeout(resolve, deadlineMs);
				idle.push(() => {
					clearTimeout(limit);
					resolve();
				});
				writeWaiting();
			});
		},
		getDroppedCount: () => droppedCount,
	};
}
