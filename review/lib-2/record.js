import {writeFileSync} from 'node:fs';
import path from 'node:path';

/** Keeps what was sent, answered and run, each with its time in ms from the start, for `record.txt`. */
export function createRecord(folder) {
	const startedAt = performance.now();
	const lines = [];
	return {
		getNow: () => Math.round(performance.now() - startedAt),
		add(text) {
			lines.push(`${String(Math.round(performance.now() - startedAt)).padStart(7)} ms  ${text}`);
		},
		write() {
			writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		},
	};
}
