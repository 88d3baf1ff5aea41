import {type LogLevel} from '@pistachiogauge/model';
import {createConsola, type ConsolaReporter} from 'consola';

/** Writes a log record. @public */
export type Logger = (level: LogLevel, message: string, fields?: Readonly<Record<string, unknown>>) => void;

const consolaLevels: Readonly<Record<LogLevel, number>> = {
	error: 0, warn: 1, info: 3, debug: 4,
};

/** Receives log lines without their line break. @public */
export type LineSink = (line: string) => void;

/** Formats each record as one line of JSON. */
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
Creates a logger that writes human-readable text to a terminal and one JSON object per line elsewhere.

@param writeLine - Receives the lines as JSON; standard error is used if omitted.
@public
*/
export function createLogger(level: LogLevel, commonFields: Readonly<Record<string, unknown>> = {}, writeLine?: LineSink): Logger {
	const isTerminal = process.stderr.isTTY && writeLine === undefined;
	const consola = createConsola({
		level: consolaLevels[level],
		stdout: process.stderr,
		...(!isTerminal && {reporters: [createJsonReporter(writeLine ?? writeToStderr)]}),
	});
	return (recordLevel, message, fields = {}) => {
		// Checked here so that a skipped record costs only one comparison; debug records occur for every request.
		if (consolaLevels[recordLevel] > consolaLevels[level]) {
			return;
		}

		consola[recordLevel](message, {...commonFields, ...fields});
	};
}
