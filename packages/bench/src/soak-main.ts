import {cac} from 'cac';
import {parseSoakArguments, type SoakArguments} from './soak/soak-arguments.js';
import {runSoak, type SoakResult} from './soak/run-soak.js';

const usageExitCode = 2;
const violationExitCode = 1;
const maxCountLines = 12;

function writeLine(text: string): void {
	process.stdout.write(`${text}\n`);
}

function reportViolation({seed, stepCount, violation, lastLines, traceHash}: SoakResult, {stepLimit, faults, faultText}: SoakArguments): void {
	for (const line of lastLines) {
		writeLine(line);
	}

	writeLine(`\nbroken: ${violation!.invariant} at ${violation!.at.toFixed(2)} ms, seed ${seed}, step ${stepCount}, trace ${traceHash}`);
	writeLine(violation!.message);
	writeLine(`repeat: npm run soak -- --seed ${seed} --steps ${stepLimit}${faultText === undefined ? '' : ` --faults ${faultText}`} (${faults.length} faults)`);
}

function reportCounts(counts: ReadonlyMap<string, number>): void {
	const names = [...counts.keys()].sort().filter(name => /^(?:answered|slot|repeats|sends|invariant)/u.test(name));
	for (const name of names.slice(0, maxCountLines)) {
		writeLine(`  ${name} ${counts.get(name)}`);
	}
}

function createLinePrinter(pattern: RegExp | undefined): ((line: string) => void) | undefined {
	return pattern === undefined
		? undefined
		: line => {
			if (pattern.test(line)) {
				writeLine(line);
			}
		};
}

function runSeeds(soakArguments: SoakArguments): number {
	const totalCounts = new Map<string, number>();
	const startedAt = performance.now();
	for (let seed = soakArguments.firstSeed; seed <= soakArguments.lastSeed; seed++) {
		const result = runSoak({
			seed, stepCount: soakArguments.stepLimit, faults: soakArguments.faults, onLine: createLinePrinter(soakArguments.pattern),
		});
		if (result.violation !== undefined) {
			reportViolation(result, soakArguments);
			return violationExitCode;
		}

		if (soakArguments.firstSeed === soakArguments.lastSeed) {
			writeLine(`seed ${seed}: ${result.traceLength} events, trace ${result.traceHash}`);
		}

		for (const [name, count] of result.counts) {
			totalCounts.set(name, (totalCounts.get(name) ?? 0) + count);
		}
	}

	const runCount = soakArguments.lastSeed - soakArguments.firstSeed + 1;
	writeLine(`${runCount} runs of ${soakArguments.stepLimit} steps, no invariant broken, ${((performance.now() - startedAt) / 1000).toFixed(1)} s`);
	reportCounts(totalCounts);
	return 0;
}

function run(): number {
	const program = cac('soak');
	program.option('--seed <number>', 'Seed of a single run');
	program.option('--seeds <range>', 'Seeds of several runs, such as 1..40');
	program.option('--steps <number>', 'Steps of each run (default 2000)');
	program.option('--faults <list>', 'Names of faults separated by commas, all (without store-restore), or none; default all');
	program.option('--print <pattern>', 'Prints the lines of the trace that match a regular expression');
	program.help();
	const {options, args} = program.parse(process.argv, {run: false});
	if (options.help === true) {
		return 0;
	}

	const parsed = parseSoakArguments(args, options);
	if (parsed.kind === 'refused') {
		process.stderr.write(`${parsed.problems.join('\n')}\n`);
		return usageExitCode;
	}

	return runSeeds(parsed.value);
}

process.exitCode = run();
