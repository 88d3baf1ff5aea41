import {allFaults, type Fault} from '../faults/index.js';

/** Validated command line of the randomised runs. */
export type SoakArguments = {
	readonly firstSeed: number;
	readonly lastSeed: number;
	readonly stepLimit: number;
	readonly faults: readonly Fault[];
	/** Trace lines that match this pattern are printed. */
	readonly pattern: RegExp | undefined;
	/** The list of faults as given on the command line. */
	readonly faultText: string | undefined;
};

export type ParsedArguments =
	| {readonly kind: 'accepted'; readonly value: SoakArguments}
	| {readonly kind: 'refused'; readonly problems: readonly string[]};

const defaultStepCount = 2000;
const knownOptions: ReadonlySet<string> = new Set(['--', 'seed', 'seeds', 'steps', 'faults', 'print', 'help', 'h']);
const numberPattern = /^\d{1,9}$/u;
const rangePattern = /^(?<first>\d{1,9})\.\.(?<last>\d{1,9})$/u;

/** Validates the command line and reports every problem in it. */
export function parseSoakArguments(words: readonly string[], options: Readonly<Record<string, unknown>>): ParsedArguments {
	const problems = [
		...words.map(word => `unexpected word: ${word}`),
		...Object.keys(options).filter(name => !knownOptions.has(name)).map(name => `unknown option: --${name}`),
	];
	const seeds = parseSeeds(options, problems);
	const stepLimit = options.steps === undefined ? defaultStepCount : parseNumber('--steps', options.steps, problems);
	const faultText = options.faults === undefined ? undefined : formatOption(options.faults);
	const pattern = parsePattern(options.print, problems);
	const faults = parseFaults(faultText ?? 'all', problems);
	return problems.length > 0
		? {kind: 'refused', problems}
		: {
			kind: 'accepted', value: {
				firstSeed: seeds[0], lastSeed: seeds[1], stepLimit, faults, faultText, pattern,
			},
		};
}

function parseSeeds({seed, seeds}: Readonly<Record<string, unknown>>, problems: string[]): readonly [number, number] {
	if ((seed === undefined) === (seeds === undefined)) {
		problems.push('name either --seed N or --seeds A..B');
		return [0, 0];
	}

	if (seeds === undefined) {
		const single = parseNumber('--seed', seed, problems);
		return [single, single];
	}

	const match = rangePattern.exec(formatOption(seeds));
	const [first, last] = [Number(match?.groups?.first), Number(match?.groups?.last)];
	if (match === null || first > last) {
		problems.push(`--seeds: expected a range such as 1..40, not ${formatOption(seeds)}`);
	}

	return [first, last];
}

/** Formats the value of an option; an option that is given twice has a list as its value. */
function formatOption(value: unknown): string {
	return typeof value === 'string' || typeof value === 'number' ? String(value) : JSON.stringify(value);
}

function parseNumber(name: string, value: unknown, problems: string[]): number {
	const text = formatOption(value);
	if (!numberPattern.test(text)) {
		problems.push(`${name}: expected a whole number of at most 9 digits, not ${text}`);
	}

	return Number(text);
}

function parseFaults(text: string, problems: string[]): readonly Fault[] {
	if (text === 'all') {
		return allFaults.filter(fault => fault.isOptIn !== true);
	}

	if (text === 'none') {
		return [];
	}

	const names = text.split(',');
	for (const name of names) {
		if (!allFaults.some(fault => fault.name === name)) {
			problems.push(`--faults: unknown fault ${name}; faults are ${allFaults.map(fault => fault.name).join(', ')}`);
		}
	}

	return allFaults.filter(fault => names.includes(fault.name));
}

function parsePattern(value: unknown, problems: string[]): RegExp | undefined {
	try {
		return value === undefined ? undefined : new RegExp(formatOption(value), 'u');
	} catch {
		problems.push(`--print: ${formatOption(value)} is not a regular expression`);
		return undefined;
	}
}
