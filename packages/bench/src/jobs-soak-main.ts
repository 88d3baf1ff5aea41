import {cac} from 'cac';
import {compareShares, computeFall, isShareKept} from './jobs/compare-shares.js';
import {jobFaults} from './jobs/inject-fault.js';
import {jobLoads} from './jobs/job-loads.js';
import {jobChanges} from './jobs/play-changes.js';
import {runJobsSoak} from './jobs/run-jobs-soak.js';

const usageExitCode = 2;
/** Unless told otherwise, a quarter of the seeds has client accounts, by the remainder of the seed. */
const remainderCount = 8;
const drawnRemainders = new Set([0, 7]);

/** Which seeds have client accounts. */
const accountChoices: Readonly<Record<string, (seed: number) => boolean>> = {
	all: () => true,
	none: () => false,
	drawn: seed => drawnRemainders.has(seed % remainderCount),
};

/** Parses a seed or a range of seeds, such as `5` or `1..20`; returns undefined if the text is malformed. */
function parseRange(text: unknown): {readonly first: number; readonly last: number} | undefined {
	const match = /^(?<first>\d{1,9})(?:\.\.(?<last>\d{1,9}))?$/u.exec(String(text));
	const first = Number(match?.groups?.first);
	const last = Number(match?.groups?.last ?? first);
	return match === null || last < first ? undefined : {first, last};
}

type SoakOptions = {
	readonly range: {readonly first: number; readonly last: number};
	readonly steps: number;
	readonly faults: readonly string[];
	readonly loads: readonly string[];
	readonly changes: readonly string[];
	readonly mayHaveAccounts: (seed: number) => boolean;
	readonly isKeptGoing: boolean;
	readonly onLine: ((line: string) => void) | undefined;
};

/** Parses a list of names; `all` means all that are known, `none` none. Returns undefined if a name is not known. */
function parseNames(text: string, known: readonly string[]): readonly string[] | undefined {
	const names = {all: known, none: []}[text] ?? text.split(',');
	return names.every(name => known.includes(name)) ? names : undefined;
}

function formatNames(option: string, names: readonly string[], known: readonly string[]): string {
	return names === known ? '' : ` --${option} ${names.join(',') || 'none'}`;
}

/** Runs one seed and reports what failed. @returns Whether all promises were kept. */
function runSeed(seed: number, {
	range, steps, faults, loads, changes, mayHaveAccounts, onLine,
}: SoakOptions): boolean {
	const hasAccounts = mayHaveAccounts(seed);
	const {violations, unfinishedJobIds, acceptedCount, startCount} = runJobsSoak({
		seed, steps, faults, loads, changes, hasAccounts, onLine,
	});
	const [violation] = violations;
	if (violation !== undefined || unfinishedJobIds.length > 0) {
		const failure = violation === undefined ? `not ended: ${unfinishedJobIds.join(', ')}` : `${violation.invariant} at ${violation.at.toFixed(1)} ms: ${violation.message}`;
		process.stdout.write(`seed ${seed}: ${failure}\n`);
		process.stdout.write(`repeat: npm run jobs-soak -- --seeds ${seed} --steps ${steps}${formatNames('faults', faults, jobFaults)}${formatNames('loads', loads, jobLoads)}${changes.length === 0 ? '' : ` --changes ${changes.join(',')}`} --accounts ${hasAccounts ? 'all' : 'none'}\n`);
		return false;
	}

	if (range.first === range.last) {
		process.stdout.write(`seed ${seed}: ${acceptedCount} jobs accepted, ${startCount} starts\n`);
	}

	return true;
}

/** Runs seeds until one fails, or all of them. @returns The exit code. */
function runSeeds(options: SoakOptions): number {
	const {range, steps, isKeptGoing} = options;
	let failedCount = 0;
	for (let seed = range.first; seed <= range.last; seed++) {
		failedCount += runSeed(seed, options) ? 0 : 1;
		if (failedCount > 0 && !isKeptGoing) {
			break;
		}
	}

	if (failedCount === 0) {
		process.stdout.write(`seeds ${range.first} to ${range.last} of ${steps} steps: all promises kept\n`);
	} else if (isKeptGoing) {
		process.stdout.write(`seeds ${range.first} to ${range.last} of ${steps} steps: ${failedCount} failed\n`);
	}

	return failedCount === 0 ? 0 : 1;
}

/** Compares what other accounts get with and without a hot one. @returns The exit code. */
function compareSeeds({first, last}: SoakOptions['range'], seconds: number): number {
	let failedCount = 0;
	for (let seed = first; seed <= last; seed++) {
		const comparison = compareShares(seed, seconds);
		const {without, beside, hot} = comparison;
		process.stdout.write([
			`seed ${seed}: jobs of the other accounts on time: ${without.onTime} of ${without.sent} without the hot one`,
			`${beside.onTime} beside it (${(100 * computeFall(comparison)).toFixed(1)}% fewer)`,
			`${hot.onTime} of ${hot.sent} of its own\n`,
		].join(', '));
		failedCount += isShareKept(comparison) ? 0 : 1;
	}

	process.stdout.write(`seeds ${first} to ${last} of ${seconds} s: ${failedCount === 0 ? 'all shares kept' : `${failedCount} failed`}\n`);
	return failedCount === 0 ? 0 : 1;
}

const program = cac('jobs-soak');
program
	.command('', 'Runs jobs with random faults in virtual time and checks the invariants')
	.option('--seeds <A..B>', 'seeds to run', {default: '1..20'})
	.option('--steps <N>', 'steps of each run', {default: 300})
	.option('--faults <LIST>', `faults, joined by commas: ${jobFaults.join(', ')}`, {default: 'all'})
	.option('--loads <LIST>', `shapes of load beside ordinary jobs: ${jobLoads.join(', ')}`, {default: 'all'})
	.option('--changes <LIST>', `what the operator and callers change: ${jobChanges.join(', ')}`, {default: 'none'})
	.option('--accounts [SEEDS]', 'seeds with client accounts that the operator changes: all, none or drawn (a quarter)', {default: 'drawn'})
	.option('--compare-shares <SECONDS>', 'compares the jobs on time of other accounts with and without a hot one, in an overload of this length')
	.option('--keep-going', 'goes on after a seed that fails')
	.option('--print <PATTERN>', 'prints lines of the log that match')
	.action((options: {readonly print?: string; readonly accounts: string | boolean; readonly compareShares?: unknown; readonly keepGoing?: boolean; readonly seeds: unknown; readonly steps: unknown; readonly faults: string; readonly loads: string; readonly changes: string}) => {
		const range = parseRange(options.seeds);
		const steps = Number(options.steps);
		const faults = parseNames(options.faults, jobFaults);
		const loads = parseNames(options.loads, jobLoads);
		const changes = parseNames(options.changes, jobChanges);
		const mayHaveAccounts = accountChoices[options.accounts === true ? 'all' : String(options.accounts)];
		if (mayHaveAccounts === undefined || range === undefined || !Number.isInteger(steps) || steps < 1 || faults === undefined || loads === undefined || changes === undefined) {
			process.stderr.write(`--seeds takes A or A..B, --steps a whole number from 1, --faults a list of ${jobFaults.join(', ')}, --loads a list of ${jobLoads.join(', ')}, --changes a list of ${jobChanges.join(', ')}, --accounts ${Object.keys(accountChoices).join(', ')}\n`);
			process.exit(usageExitCode);
		}

		if (options.compareShares !== undefined) {
			process.exit(compareSeeds(range, Number(options.compareShares)));
		}

		const pattern = options.print === undefined ? undefined : new RegExp(options.print, 'u');
		const onLine = pattern === undefined
			? undefined
			: (line: string) => {
				if (pattern.test(line)) {
					process.stdout.write(`${line}\n`);
				}
			};

		process.exit(runSeeds({
			range, steps, faults, loads, changes, mayHaveAccounts, isKeptGoing: options.keepGoing === true, onLine,
		}));
	});
program.help();
program.parse();
