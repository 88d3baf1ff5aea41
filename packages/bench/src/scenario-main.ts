import {readFileSync} from 'node:fs';
import {cac} from 'cac';
import {
	formatUsage, parseScenario, runScenario, scenarioCommands,
} from './scenario/index.js';

const usageExitCode = 2;

function writeLine(text: string): void {
	process.stdout.write(`${text}\n`);
}

function readText(file: string): string | undefined {
	try {
		return readFileSync(file, 'utf8');
	} catch {
		return undefined;
	}
}

/** Parses all files before running any, so that the errors of all files are reported together. */
function runFiles(files: readonly string[]): number {
	const errors: string[] = [];
	const scenarios = files.map(file => {
		const text = readText(file);
		const scenario = parseScenario(file, text ?? 'start', scenarioCommands);
		errors.push(...text === undefined ? [`${file}: cannot be read`] : scenario.errors);
		return {file, lines: scenario.lines};
	});
	if (errors.length > 0) {
		process.stderr.write(`${errors.join('\n')}\n`);
		return usageExitCode;
	}

	let failureCount = 0;
	for (const {file, lines} of scenarios) {
		const failure = runScenario(lines);
		if (failure === undefined) {
			writeLine(`ok      ${file}`);
			continue;
		}

		failureCount += 1;
		writeLine(`failed  ${file}:${failure.line.lineNumber}: ${failure.line.text}`);
		writeLine(`        expected ${failure.expected}`);
		writeLine(`        seen     ${failure.actual}`);
	}

	writeLine(`${scenarios.length - failureCount} of ${scenarios.length} scenarios hold`);
	return failureCount === 0 ? 0 : 1;
}

function run(): number {
	const program = cac('scenario');
	program.usage('FILE...');
	program.help(sections => [...sections, {title: 'Commands', body: scenarioCommands.map(command => `  ${formatUsage(command)}`).join('\n')}]);
	const {args, options} = program.parse(process.argv, {run: false});
	if (options.help === true) {
		return 0;
	}

	const unknown = Object.keys(options).filter(name => name !== '--');
	if (args.length === 0 || unknown.length > 0) {
		process.stderr.write(`${unknown.map(name => `unknown option: --${name}\n`).join('')}usage: npm run scenario -- FILE...\n`);
		return usageExitCode;
	}

	return runFiles(args);
}

process.exitCode = run();
