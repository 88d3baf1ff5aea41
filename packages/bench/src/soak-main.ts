import {cac} from 'cac';
import {parseSoakArguments, type SoakArguments} from './soak/soak-arguments.js';
import {runSoak, type SoakResult} from './soak/run-soak.js';

const usageExitCode = 2;
const brokenExitCode = 1;
const slowestLines = 12;

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

function reportBreach({seed, stepCount, violation, lastLines, traceHash}: SoakResult, {stepLimit, faults, faultText}: SoakArguments): void {
	for (const line of lastLines) {
		print(line);
	}

	print(`\nbroken: ${violation!.invariant} at ${violation!.at.toFixed(2)} ms, seed ${seed}, step ${stepCount}, trace ${traceHash}`);
	print(violation!.message);
	print(`repeat: npm run soak -- --seed ${seed} --steps ${stepLimit}${faultText === undefined ? '' : ` --faults ${faultText}`} (${faults.length} faults)`);
}

function reportCounts(counts: ReadonlyMap<string, number>): void {
	const names = [...counts.keys()].sort().filter(name => /^(?:answered|slot|repeats|sends|invariant)/u.test(name));
	for (const name of names.slice(0, slowestLines)) {
		print(`  ${name} ${counts.get(name)}`);
	}
}

function createLinePrinter(pattern: RegExp | undefined): ((line: string) => void) | undefined {
	return pattern === undefined
		? undefined
		: line => {
			if (pattern.test(line)) {
				print(line);
			}
		};
}

function runSeeds(given: SoakArguments): number {
	const totals = new Map<string, number>();
	const startedAt = performance.now();
	for (let seed = given.firstSeed; seed <= given.lastSeed; seed++) {
		const result = runSoak({
			seed, stepCount: given.stepLimit, faults: given.faults, onLine: createLinePrinter(given.pattern),
		});
		if (result.violation !== undefined) {
			reportBreach(result, given);
			return brokenExitCode;
		}

		if (given.firstSeed === given.lastSeed) {
			print(`seed ${seed}: ${result.traceLength} events, trace ${result.traceHash}`);
		}

		for (const [name, count] of result.counts) {
			totals.set(name, (totals.get(name) ?? 0) + count);
		}
	}

	const runCount = given.lastSeed - given.firstSeed + 1;
	print(`${runCount} runs of ${given.stepLimit} steps, no invariant broken, ${((performance.now() - startedAt) / 1000).toFixed(1)} s`);
	reportCounts(totals);
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
