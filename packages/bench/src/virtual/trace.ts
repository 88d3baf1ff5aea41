/** Record of a run: its last events, and a hash over all of them. */
export type Trace = {
	readonly lineCount: number;
	addLine(line: string): void;
	/** The last lines, oldest first. */
	getLines(): readonly string[];
	/** Eight hexadecimal digits; the same run gives the same hash. */
	getHash(): string;
};

const keptLines = 30;
const hashStart = 0x81_1C_9D_C5;
const hashFactor = 0x01_00_01_93;

/** Creates an empty trace; `onLine` is told each line. */
export function createTrace(onLine?: (line: string) => void): Trace {
	const lines: string[] = [];
	let hash = hashStart;
	let lineCount = 0;
	return {
		get lineCount() {
			return lineCount;
		},
		addLine(line) {
			lineCount += 1;
			onLine?.(line);
			lines[lineCount % keptLines] = line;
			for (let index = 0; index < line.length; index++) {
				// FNV-1a over UTF-16 units: traces are compared with each other only.
				// eslint-disable-next-line no-bitwise, unicorn/prefer-code-point
				hash = Math.imul(hash ^ line.charCodeAt(index), hashFactor);
			}
		},
		getLines() {
			const first = Math.max(1, lineCount - keptLines + 1);
			return Array.from({length: lineCount - first + 1}, (_, index) => lines[(first + index) % keptLines]!);
		},
		getHash() {
			// eslint-disable-next-line no-bitwise
			return (hash >>> 0).toString(16).padStart(8, '0');
		},
	};
}
