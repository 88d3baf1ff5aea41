#!/usr/bin/env node
import {SettingsError} from '@pistachiogauge/settings';
import {cac} from 'cac';
import {CliError} from './cli-error.js';
import {commands, type Command, type CommandOptions} from './commands.js';

const usageExitCode = 2;
const program = cac('pistachiogauge');
program.option('--entry <address>', 'Caller address of any entry');
program.option('--operator <name>', 'Name of the operator');
program.option('--key <file>', 'Private key of the operator');
program.usage('<command> [options]');
for (const {example} of commands) {
	program.example(`pistachiogauge ${example}`);
}

program.help(sections => [
	...sections,
	{title: 'Commands', body: commands.map(({usage, description}) => `  ${usage.padEnd(32)} ${description}`).join('\n')},
]);
program.version('0.1.0');

/** Finds the command whose words begin the line; the rest are its values. */
function findCommand(words: readonly string[]): {command: Command; values: readonly string[]} | undefined {
	for (const command of commands) {
		const name = command.name.split(' ');
		if (name.every((word, index) => words[index] === word)) {
			return {command, values: words.slice(name.length)};
		}
	}

	return undefined;
}

async function run(): Promise<number> {
	const {args, options} = program.parse(process.argv, {run: false});
	if (options.help === true || options.version === true) {
		return 0;
	}

	const found = findCommand(args);
	if (found === undefined) {
		process.stderr.write(`unknown command: ${args.join(' ')}; see pistachiogauge --help\n`);
		return usageExitCode;
	}

	const {command, values} = found;
	const expected = command.usage.split(' ').filter(word => word.startsWith('<')).length;
	if (values.length !== expected) {
		process.stderr.write(`usage: pistachiogauge ${command.usage}\n`);
		return usageExitCode;
	}

	const result = await command.run(values, options);
	process.stdout.write(`${JSON.stringify(result, undefined, '\t')}\n`);
	return 0;
}

try {
	process.exitCode = await run();
} catch (error) {
	process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	process.exitCode = getExitCode(error);
}

function getExitCode(error: unknown): number {
	if (error instanceof CliError) {
		return error.exitCode;
	}

	return error instanceof SettingsError ? usageExitCode : 1;
}
