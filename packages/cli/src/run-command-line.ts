import {SettingsError} from '@pistachiogauge/settings';
import {cac, type CAC} from 'cac';
import {CliError} from './cli-error.js';
import {type Command, type CommandOptions} from './command.js';
import {commands} from './commands.js';
import {formatFields} from './format-table.js';

/** Functions that write the program's results and errors. @public */
export type CommandOutput = {
	readonly writeResult: (text: string) => void;
	readonly writeError: (text: string) => void;
};

/** Exit code of the program: 0 for success, 1 for a failure, 2 for invalid usage or settings. @public */
export type CommandExitCode = 0 | 1 | 2;

const commonOptions = ['entry', 'operator', 'key', 'json'];
const usageWidth = 36;

/**
Runs the operators' command line and returns its exit code. Failures are printed as messages without a stack trace.

@param words The arguments after the name of the program.
@public
*/
export async function runCommandLine(words: readonly string[], output: CommandOutput): Promise<CommandExitCode> {
	try {
		return await runCommand(words, output);
	} catch (error) {
		output.writeError(`${error instanceof Error ? error.message : String(error)}\n`);
		return getExitCode(error);
	}
}

async function runCommand(words: readonly string[], output: CommandOutput): Promise<CommandExitCode> {
	const {args, options} = createProgram().parse(['', '', ...words], {run: false});
	const command = findCommand(args);
	if (options.help === true || options.h === true) {
		output.writeResult(command === undefined ? formatHelp() : formatCommandHelp(command));
		return 0;
	}

	if (options.version === true || options.v === true) {
		output.writeResult('pistachiogauge 0.1.0\n');
		return 0;
	}

	if (command === undefined) {
		throw new CliError(2, args.length === 0 ? `a command is missing\n\n${formatHelp()}` : `unknown command: ${args.join(' ')}; see pistachiogauge --help`);
	}

	const values = args.slice(command.name.split(' ').length);
	const expected = command.usage.split(' ').filter(word => word.startsWith('<')).length;
	if (values.length !== expected) {
		throw new CliError(2, `usage: pistachiogauge ${command.usage}\nexample: pistachiogauge ${command.example}`);
	}

	const result = await command.run(values, readOptions(command, options));
	output.writeResult(`${options.json === true ? JSON.stringify(result, undefined, '\t') : formatResult(command, result)}\n`);
	return command.hasFailed?.(result) === true ? 1 : 0;
}

function createProgram(): CAC {
	const program = cac('pistachiogauge');
	program.option('--entry <address>', 'Caller address of any entry');
	program.option('--operator <name>', 'Name of the operator');
	program.option('--key <file>', 'Private key of the operator');
	program.option('--since <time>', 'Time or age of the oldest record');
	program.option('--pool <name>', 'Pool of the records');
	program.option('--queue <name>', 'Queue of the job');
	program.option('--host <name>', 'Host that the job is sent to');
	program.option('--path <path>', 'Path that the job is sent to');
	program.option('--account <name>', 'Client account that sends the job');
	program.option('--json', 'Print the result as JSON');
	return program;
}

/** Finds the command whose name the arguments begin with; the remaining arguments are its positional values. */
function findCommand(words: readonly string[]): Command | undefined {
	return commands.find(command => command.name.split(' ').every((word, index) => words[index] === word));
}

function readOptions(command: Command, options: Readonly<Record<string, unknown>>): CommandOptions {
	const allowed = [...commonOptions, ...(command.options ?? [])];
	const parsed: Record<string, string | undefined> = {};
	for (const [name, value] of Object.entries(options)) {
		if (name === '--') {
			continue;
		}

		if (!allowed.includes(name)) {
			throw new CliError(2, `unknown option --${name}; ${command.name} takes ${allowed.map(item => `--${item}`).join(', ')}`);
		}

		if (name === 'json') {
			continue;
		}

		if (typeof value !== 'string' && typeof value !== 'number') {
			throw new CliError(2, `--${name}: expected one value`);
		}

		parsed[name] = String(value);
	}

	return parsed;
}

function formatResult(command: Command, result: unknown): string {
	return command.format?.(result) ?? formatFields(result as Readonly<Record<string, unknown>>);
}

function formatHelp(): string {
	return [
		'Usage: pistachiogauge <command> [options]',
		'',
		'Commands:',
		...commands.map(({usage, description}) => `  ${usage.padEnd(usageWidth)}  ${description}`),
		'',
		'Options:',
		'  --entry <address>   Caller address of any entry, such as 10.0.0.1:8080 (or PISTACHIOGAUGE_ENTRY)',
		'  --operator <name>   Name of the operator (or PISTACHIOGAUGE_OPERATOR)',
		'  --key <file>        Private key of the operator (or PISTACHIOGAUGE_KEY)',
		'  --json              Print the result as JSON',
		'  --help              Show this text, or the help of a command',
		'',
		'Examples:',
		...commands.map(({example}) => `  pistachiogauge ${example}`),
		'',
		'Exit codes: 0 success, 1 failure, 2 wrong usage or settings.',
		'',
	].join('\n');
}

function formatCommandHelp({usage, description, example, options = []}: Command): string {
	return [
		`Usage: pistachiogauge ${usage} [options]`,
		'',
		description,
		'',
		`Options: ${[...commonOptions, ...options].map(name => `--${name}`).join(', ')}`,
		`Example: pistachiogauge ${example}`,
		'',
	].join('\n');
}

function getExitCode(error: unknown): CommandExitCode {
	if (error instanceof CliError) {
		return error.exitCode;
	}

	return error instanceof SettingsError || (error instanceof Error && error.name === 'CACError') ? 2 : 1;
}
