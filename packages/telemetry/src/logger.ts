import {type LogLevel} from '@pistachiogauge/model';
import {createConsola, type ConsolaReporter} from 'consola';

/** Writes one log record. @public */
export type Logger = (level: LogLevel, message: string, fields?: Readonly<Record<string, unknown>>) => void;

const consolaLevels: Readonly<Record<LogLevel, number>> = {
	error: 0, warn: 1, info: 3, debug: 4,
};

/** Writes a record as one line of JSON. */
const jsonReporter: ConsolaReporter = {
	log(record) {
		const [message, fields] = record.args as [string, Readonly<Record<string, unknown>>];
		const line = {
			time: record.date.toISOString(), level: record.type, message, ...fields,
		};
		process.stderr.write(`${JSON.stringify(line)}\n`);
	},
};

/** Creates a logger: readable on a terminal, one JSON object a line elsewhere. @public */
export function createLogger(level: LogLevel, common: Readonly<Record<string, unknown>> = {}): Logger {
	const isTerminal = process.stderr.isTTY;
	const consola = createConsola({
		level: consolaLevels[level],
		stdout: process.stderr,
		...(!isTerminal && {reporters: [jsonReporter]}),
	});
	return (recordLevel, message, fields = {}) => {
		// A record that is not written costs one comparison; debug records are made for every request.
		if (consolaLevels[recordLevel] > consolaLevels[level]) {
			return;
		}

		consola[recordLevel](message, {...common, ...fields});
	};
}
