import {readFileSync} from 'node:fs';
import {cac} from 'cac';
import {
	formatUsage, parseScenario, runScenario, scenarioCommands,
} from './scenario/index.js';

const usageExitCode = 2;

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

function readText(file: string): string | undefined {
	try {
		return readFileSync(file, 'utf8');
	} catch {
		return undefined;
	}
}

/** Parses all files before it runs any, so that every fault shows at once. */
function runFiles(files: readonly string[]): number {
	const faults: string[] = [];
	const parsed = files.map(file => {
		const text = readText(file);
		const scenario = parseScenario(file, text ?? 'start', scenarioCommands);
		faults.push(...text === undefined ? [`${file}: cannot be read`] : scenario.faults);
		return {file, lines: scenario.lines};
	});
	if (faults.length > 0) {
		process.stderr.write(`${faults.join('\n')}\n`);
		return usageExitCode;
	}

	let failures = 0;
	for (const {file, lines} of parsed) {
		const failure = runScenario(lines);
		if (failure === undefined) {
			print(`ok      ${file}`);
			continue;
		}

		failures += 1;
		print(`failed  ${file}:${failure.line.line}: ${failure.line.text}`);
		print(`        expected ${failure.expected}`);
		print(`        seen     ${failure.seen}`);
	}

	print(`${parsed.length - failures} of ${parsed.length} scenarios hold`);
	return failures === 0 ? 0 : 1;
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
