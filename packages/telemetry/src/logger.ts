import {type LogLevel} from '@pistachiogauge/model';
import {createConsola, type ConsolaReporter} from 'consola';

/** Writes one log record. @public */
export type Logger = (level: LogLevel, message: string, fields?: Readonly<Record<string, unknown>>) => void;

const consolaLevels: Readonly<Record<LogLevel, number>> = {
	error: 0, warn: 1, info: 3, debug: 4,
};

/** Takes whole lines. @public */
export type LineSink = (line: string) => void;

/** Writes records as lines of JSON. */
function createJsonReporter(writeLine: LineSink): ConsolaReporter {
	return {
		log(record) {
			const [message, fields] = record.args as [string, Readonly<Record<string, unknown>>];
			writeLine(JSON.stringify({
				time: record.date.toISOString(), level: record.type, message, ...fields,
			}));
		},
	};
}

function writeToStderr(line: string): void {
	process.stderr.write(`${line}\n`);
}

/**
Creates a logger: readable on a terminal, one JSON object a line elsewhere.

@param writeLine - Where lines go instead of standard error.
@public
*/
export function createLogger(level: LogLevel, common: Readonly<Record<string, unknown>> = {}, writeLine?: LineSink): Logger {
	const isTerminal = process.stderr.isTTY && writeLine === undefined;
	const consola = createConsola({
		level: consolaLevels[level],
		stdout: process.stderr,
		...(!isTerminal && {reporters: [createJsonReporter(writeLine ?? writeToStderr)]}),
	});
	return (recordLevel, message, fields = {}) => {
		// A record that is not written costs one comparison; debug records are made for every request.
		if (consolaLevels[recordLevel] > consolaLevels[level]) {
			return;
		}

		consola[recordLevel](message, {...common, ...fields});
	};
}
