import {readFileSync} from 'node:fs';
import {type CallOptions} from './call-entry.js';
import {CliError} from './cli-error.js';
import {type CommandOptions} from './command.js';

/** @internal */
export function getCallOptions(options: CommandOptions): CallOptions {
	return {entry: getOption(options, 'entry'), operator: getOption(options, 'operator'), privateKeyFile: getOption(options, 'key')};
}

/** Returns an option from the command line or from its environment variable. @internal */
export function getOption(options: CommandOptions, name: string): string {
	const value = options[name] ?? process.env[`PISTACHIOGAUGE_${name.toUpperCase()}`];
	if (value === undefined || value === '') {
		throw new CliError(2, `--${name} is missing (or the variable PISTACHIOGAUGE_${name.toUpperCase()})`);
	}

	return value;
}

/** Reads a file, by its path or its descriptor. @internal */
export function readText(file: string | number): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new CliError(2, `cannot read ${file === 0 ? 'the standard input' : file}`, {cause: error});
	}
}

/** @internal */
export function parseCount(text: string, what: string): number {
	const value = Number(text);
	if (!Number.isSafeInteger(value) || value < 1) {
		throw new CliError(2, `${what}: expected a whole number from 1 up, not ${text}`);
	}

	return value;
}

const durationsMs: Readonly<Record<string, number>> = {
	s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000,
};

/** Parses a time such as 2026-12-04T10:00:00Z, or an age such as 30m, 2h or 7d, and returns Unix time in milliseconds. @internal */
export function parseSince(text: string, now: number): number {
	const age = /^(?<count>\d+)(?<unit>[smhd])$/u.exec(text)?.groups;
	const time = age === undefined ? Date.parse(text) : now - (Number(age.count) * durationsMs[age.unit!]!);
	if (Number.isNaN(time)) {
		throw new CliError(2, `--since: expected a time such as 2026-12-04T10:00:00Z or an age such as 30m, 2h or 7d, not ${text}`);
	}

	return time;
}
