import {cac} from 'cac';
import {jobFaults, runJobsSoak} from './jobs/run-jobs-soak.js';

const usageExitCode = 2;

/** Parses a seed or a range of seeds, such as `5` or `1..20`; returns undefined if the text is malformed. */
function parseRange(text: unknown): {readonly first: number; readonly last: number} | undefined {
	const match = /^(?<first>\d{1,9})(?:\.\.(?<last>\d{1,9}))?$/u.exec(String(text));
	const first = Number(match?.groups?.first);
	const last = Number(match?.groups?.last ?? first);
	return match === null || last < first ? undefined : {first, last};
}

function runSeeds(range: {readonly first: number; readonly last: number}, steps: number, faults: readonly string[], onLine: ((line: string) => void) | undefined): number {
	for (let seed = range.first; seed <= range.last; seed++) {
		const {violations, unfinishedJobIds, acceptedCount, startCount} = runJobsSoak({
			seed, steps, faults, onLine,
		});
		const [violation] = violations;
		if (violation !== undefined || unfinishedJobIds.length > 0) {
			process.stdout.write(`seed ${seed}: ${violation === undefined ? `not ended: ${unfinishedJobIds.join(', ')}` : `${violation.invariant} at ${violation.at.toFixed(1)} ms: ${violation.message}`}\n`);
			process.stdout.write(`repeat: npm run jobs-soak -- --seeds ${seed} --steps ${steps}\n`);
			return 1;
		}

		if (range.first === range.last) {
			process.stdout.write(`seed ${seed}: ${acceptedCount} jobs accepted, ${startCount} starts\n`);
		}
	}

	process.stdout.write(`seeds ${range.first} to ${range.last} of ${steps} steps: all promises kept\n`);
	return 0;
}

const program = cac('jobs-soak');
program
	.command('', 'Runs jobs with random faults in virtual time and checks the invariants')
	.option('--seeds <A..B>', 'seeds to run', {default: '1..20'})
	.option('--steps <N>', 'steps of each run', {default: 300})
	.option('--faults <LIST>', `faults, joined by commas: ${jobFaults.join(', ')}`, {default: 'all'})
	.option('--print <PATTERN>', 'prints lines of the log that match')
	.action((options: {readonly print?: string; readonly seeds: unknown; readonly steps: unknown; readonly faults: string}) => {
		const range = parseRange(options.seeds);
		const steps = Number(options.steps);
		const faults = options.faults === 'all' ? jobFaults : options.faults.split(',');
		const unknown = faults.filter(fault => !jobFaults.includes(fault));
		if (range === undefined || !Number.isInteger(steps) || steps < 1 || unknown.length > 0) {
			process.stderr.write(`--seeds takes A or A..B, --steps a whole number from 1, --faults a list of ${jobFaults.join(', ')}${unknown.length > 0 ? `; unknown: ${unknown.join(', ')}` : ''}\n`);
			process.exit(usageExitCode);
		}

		const pattern = options.print === undefined ? undefined : new RegExp(options.print, 'u');
		process.exit(runSeeds(range, steps, faults, pattern === undefined
			? undefined
			: line => {
				if (pattern.test(line)) {
					process.stdout.write(`${line}\n`);
				}
			}));
	});
program.help();
program.parse();
