import {cac} from 'cac';
import {addedFaultKinds, faultKinds, type FaultKind} from './jobs-processes/fault-plan.js';
import {checkKeptRecord} from './jobs-processes/kept-record.js';
import {type Violation} from './jobs-processes/checks/index.js';
import {changeKinds, type ChangeKind} from './jobs-processes/plan-changes.js';
import {moveModes, type MoveMode} from './jobs-processes/run-plan.js';
import {runProcessSoak, type ProcessSoakOptions, type ProcessSoakResult} from './jobs-processes/run-process-soak.js';

const usageExitCode = 2;
const interruptExitCode = 130;
/** Further violations of a run are in its record. */
const printedViolationCount = 5;

/** Parses a seed or a range of seeds, such as `5` or `1..20`; returns undefined if the text is malformed. */
function parseSeeds(text: unknown): readonly number[] | undefined {
	const match = /^(?<first>\d{1,9})(?:\.\.(?<last>\d{1,9}))?$/u.exec(String(text));
	const first = Number(match?.groups?.first);
	const last = Number(match?.groups?.last ?? first);
	return match === null || last < first ? undefined : Array.from({length: last - first + 1}, (_, index) => first + index);
}

function printViolations(violations: readonly Violation[]): void {
	for (const {rule, at, message} of violations) {
		process.stdout.write(`  ${rule.toUpperCase()} at ${at} ms: ${message}\n`);
	}
}

function printResult({
	seed, violations, startCount, acceptedCount, stateCount, faultCount, logFolder,
}: ProcessSoakResult, seconds: number, {
	faultKinds: kinds, hasOddJobs, moves, hasAccounts, changeKinds: changes,
}: Omit<ProcessSoakOptions, 'seed' | 'durationMs' | 'keepsLogs'>): void {
	const counts = `${acceptedCount} jobs accepted, ${stateCount} states shown, ${startCount} starts, ${faultCount} faults`;
	if (violations.length === 0) {
		process.stdout.write(`seed ${seed}: all rules kept (${counts})\n`);
		return;
	}

	const rules = [...new Set(violations.map(({rule}) => rule))].map(rule => `${rule.toUpperCase()} ${violations.filter(violation => violation.rule === rule).length}`);
	process.stdout.write(`seed ${seed}: broken: ${rules.join(', ')} (${counts})\n`);
	printViolations(violations.slice(0, printedViolationCount));

	process.stdout.write(`  logs: ${logFolder}\n  all: npm run process-soak -- --record ${logFolder}\n  repeat: npm run process-soak -- --seed ${seed} --seconds ${seconds}${describeFaults(kinds)}${hasOddJobs ? ' --odd-jobs' : ''}${moves === undefined ? '' : ` --moves ${moves}`}${hasAccounts ? ' --accounts' : ''}${changes.length === 0 ? '' : ` --changes ${changes.join(',')}`}\n`);
}

/** Describes the option for faults other than the default. */
function describeFaults(kinds: readonly FaultKind[]): string {
	const added = addedFaultKinds.filter(kind => kinds.includes(kind));
	const drawn = kinds.length - added.length === faultKinds.length ? ['all'] : faultKinds.filter(kind => kinds.includes(kind));
	const names = [...drawn, ...added];
	return names.join(',') === 'all' ? '' : ` --faults ${names.length === 0 ? 'none' : names.join(',')}`;
}

/** Parses a list of faults, in which `all` stands for those that are drawn at random; returns undefined if one of them is unknown. */
function parseFaults(text: string): readonly FaultKind[] | undefined {
	const lists: Readonly<Record<string, readonly FaultKind[]>> = {all: faultKinds, none: []};
	const known: readonly FaultKind[] = [...faultKinds, ...addedFaultKinds];
	const names = text.split(',').flatMap((name): readonly string[] => Object.hasOwn(lists, name) ? lists[name]! : [name]);
	const kinds = known.filter(kind => names.includes(kind));
	return kinds.length === new Set(names).size ? kinds : undefined;
}

/** Parses a list of changes; returns undefined if one of them is unknown. */
function parseChanges(text: string): readonly ChangeKind[] | undefined {
	const names = text === 'none' ? [] : text.split(',');
	const kinds = changeKinds.filter(kind => names.includes(kind));
	return kinds.length === new Set(names).size ? kinds : undefined;
}

async function runSeeds(seeds: readonly number[], seconds: number, options: Omit<ProcessSoakOptions, 'seed' | 'durationMs'>): Promise<number> {
	let brokenCount = 0;
	for (const seed of seeds) {
		try {
			// eslint-disable-next-line no-await-in-loop
			const result = await runProcessSoak({seed, durationMs: seconds * 1000, ...options});
			printResult(result, seconds, options);
			brokenCount += result.violations.length > 0 ? 1 : 0;
		} catch (error) {
			process.stdout.write(`seed ${seed}: could not run: ${error instanceof Error ? error.message : String(error)}\n`);
			brokenCount += 1;
		}
	}

	process.stdout.write(`${seeds.length} seeds of ${seconds} s: ${brokenCount} broke a rule or could not run\n`);
	return brokenCount > 0 ? 1 : 0;
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	// The exit handler of a run ends its processes.
	process.on(signal, () => {
		process.exit(interruptExitCode);
	});
}

const program = cac('process-soak');
program
	.command('', 'Runs jobs with real entry processes and seeded faults, and checks the platform\'s rules')
	.option('--seed <N>', 'one seed')
	.option('--seeds <A..B>', 'range of seeds, one after the other')
	.option('--seconds <S>', 'length of the load and the faults of each run', {default: 40})
	.option('--faults <LIST>', `all, none, or faults joined by commas: ${faultKinds.join(', ')}; not part of all: ${addedFaultKinds.join(', ')}`, {default: 'all'})
	.option('--odd-jobs', 'plays jobs of odd shapes as well: absent labels, wide limits, early cancellations, advice')
	.option('--moves <MODE>', `plays pools whose machines are moved as their demand changes; what becomes of the moves: ${moveModes.join(', ')}`)
	.option('--accounts', 'plays client accounts with API keys and caps, which the operator changes')
	.option('--changes <LIST>', `what the operator and clients change: none, or ${changeKinds.join(', ')} joined by commas`, {default: 'none'})
	.option('--record <FOLDER>', 'checks the kept record of a run again and prints all that it broke')
	.option('--keep-logs', 'keeps the logs of runs that break no rule')
	.action(async (options: {readonly seed?: unknown; readonly seeds?: unknown; readonly seconds: unknown; readonly faults: string; readonly record?: string; readonly keepLogs?: boolean; readonly oddJobs?: boolean; readonly accounts?: boolean; readonly moves?: string; readonly changes: string}) => {
		if (options.record !== undefined) {
			const violations = checkKeptRecord(options.record);
			printViolations(violations);
			process.exit(violations.length > 0 ? 1 : 0);
		}

		const seeds = parseSeeds(options.seed ?? options.seeds ?? 1);
		const seconds = Number(options.seconds);
		const faults = parseFaults(options.faults);
		const changes = parseChanges(options.changes);
		const moves = moveModes.find(mode => mode === options.moves);
		if (seeds === undefined || faults === undefined || changes === undefined || (options.moves !== undefined && moves === undefined) || !Number.isInteger(seconds) || seconds < 1) {
			process.stderr.write('--seed takes a whole number, --seeds A..B, --seconds a whole number from 1, --faults all, none and names of faults, --moves a mode of moves, --changes none or names of changes\n');
			process.exit(usageExitCode);
		}

		process.exit(await runSeeds(seeds, seconds, {
			faultKinds: faults, hasOddJobs: options.oddJobs === true, moves, hasAccounts: options.accounts === true, changeKinds: changes, keepsLogs: options.keepLogs === true,
		}));
	});
program.help();
program.parse();
