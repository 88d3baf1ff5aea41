/** Trace of a run: its last lines, and a hash over all lines. */
export type Trace = {
	readonly lineCount: number;
	addLine(line: string): void;
	/** The last lines, oldest first. */
	getLines(): readonly string[];
	/** Returns eight hexadecimal digits; the same run gives the same hash. */
	getHash(): string;
};

const maxKeptLines = 30;
const fnvOffsetBasis = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;

/** Creates an empty trace; `onLine` receives each line. */
export function createTrace(onLine?: (line: string) => void): Trace {
	const lines: string[] = [];
	let hash = fnvOffsetBasis;
	let lineCount = 0;
	return {
		get lineCount() {
			return lineCount;
		},
		addLine(line) {
			lineCount += 1;
			onLine?.(line);
			lines[lineCount % maxKeptLines] = line;
			for (let index = 0; index < line.length; index++) {
				// FNV-1a over UTF-16 code units instead of bytes: traces are compared only with each other.
				// eslint-disable-next-line no-bitwise, unicorn/prefer-code-point
				hash = Math.imul(hash ^ line.charCodeAt(index), fnvPrime);
			}
		},
		getLines() {
			const first = Math.max(1, lineCount - maxKeptLines + 1);
			return Array.from({length: lineCount - first + 1}, (_, index) => lines[(first + index) % maxKeptLines]!);
		},
		getHash() {
			// eslint-disable-next-line no-bitwise
			return (hash >>> 0).toString(16).padStart(8, '0');
		},
	};
}
