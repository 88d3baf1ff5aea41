import {type Command, type LineArguments} from './command.js';
import {
	checkParameter, createDeclarations, type Declarations, type Parameter,
} from './parameters.js';

/** A line that can be run. */
export type ScenarioLine = {
	readonly file: string;
	readonly line: number;
	readonly text: string;
	readonly command: Command;
	readonly values: LineArguments;
};

export type ParsedScenario = {
	readonly lines: readonly ScenarioLine[];
	/** Every fault of the file, with file and line. */
	readonly faults: readonly string[];
};

type Phase = {hasStarted: boolean};

/** Parses a scenario and lists every fault in it. @public */
export function parseScenario(file: string, text: string, commands: readonly Command[]): ParsedScenario {
	const lines: ScenarioLine[] = [];
	const faults: string[] = [];
	const declarations = createDeclarations();
	const phase: Phase = {hasStarted: false};
	for (const [index, raw] of text.split('\n').entries()) {
		const content = raw.replace(/#.*$/u, '').trim();
		if (content === '') {
			continue;
		}

		const line = index + 1;
		const lineFaults: string[] = [];
		const parsed = parseLine(content.split(/\s+/u), commands, declarations, phase, lineFaults);
		faults.push(...lineFaults.map(fault => `${file}:${line}: ${fault}`));
		if (parsed !== undefined) {
			lines.push({
				file, line, text: content, ...parsed,
			});
		}
	}

	if (!phase.hasStarted) {
		faults.push(`${file}:${text.split('\n').length}: the scenario never says start`);
	}

	return {lines, faults};
}

function parseLine(
	words: readonly string[],
	commands: readonly Command[],
	declarations: Declarations,
	phase: Phase,
	faults: string[],
): {command: Command; values: LineArguments} | undefined {
	const command = findCommand(words, commands);
	if (command === undefined) {
		faults.push(`unknown command ${words[0]}; commands are ${commands.map(item => item.name).join(', ')}`);
		return undefined;
	}

	checkPhase(command, phase, faults);
	const rest = words.slice(command.name.split(' ').length);
	const values = createArguments(readWords(rest, command, declarations, faults));
	if (faults.length > 0) {
		return undefined;
	}

	command.declare?.(values, declarations);
	return {command, values};
}

function findCommand(words: readonly string[], commands: readonly Command[]): Command | undefined {
	return commands.find(({name}) => name.split(' ').every((word, index) => words[index] === word));
}

function checkPhase(command: Command, phase: Phase, faults: string[]): void {
	if (command.phase === 'setup' && phase.hasStarted) {
		faults.push(`${command.name} must come before start`);
	}

	if (command.phase === 'run' && !phase.hasStarted) {
		faults.push(`${command.name} must come after start`);
	}

	phase.hasStarted ||= command.name === 'start';
}

function readWords(words: readonly string[], command: Command, declarations: Declarations, faults: string[]): Map<string, string> {
	const values = new Map<string, string>();
	const open = Object.entries(command.words);
	for (const word of words) {
		const [, optionName, optionValue] = /^(?<name>[a-z-]+)=(?<value>.*)$/u.exec(word) ?? [];
		if (optionName !== undefined) {
			readOption(optionName, optionValue ?? '', command, {values, declarations, faults});
			continue;
		}

		const next = open.shift();
		if (next === undefined) {
			faults.push(`unexpected word ${word}; usage: ${formatUsage(command)}`);
			continue;
		}

		readValue(next[0], word, next[1], {values, declarations, faults});
	}

	for (const [name, {isOptional}] of open) {
		if (isOptional !== true) {
			faults.push(`<${name}> is missing; usage: ${formatUsage(command)}`);
		}
	}

	for (const [name, {isOptional}] of Object.entries(command.options)) {
		if (isOptional !== true && !values.has(name)) {
			faults.push(`${name}= is missing; usage: ${formatUsage(command)}`);
		}
	}

	return values;
}

type Reading = {
	readonly values: Map<string, string>;
	readonly declarations: Declarations;
	readonly faults: string[];
};

function readOption(name: string, value: string, command: Command, reading: Reading): void {
	const parameter = Object.hasOwn(command.options, name) ? command.options[name] : undefined;
	if (parameter === undefined || reading.values.has(name)) {
		const names = Object.keys(command.options).join(', ') || 'none';
		reading.faults.push(`${parameter === undefined ? 'unknown option' : 'repeated option'} ${name}=; options of ${command.name} are ${names}`);
		return;
	}

	readValue(name, value, parameter, reading);
}

function readValue(name: string, value: string, parameter: Parameter, {values, declarations, faults}: Reading): void {
	const expected = checkParameter(value, parameter, declarations);
	if (expected !== undefined) {
		faults.push(`${name}: expected ${expected}, not ${value === '' ? 'nothing' : value}`);
	}

	values.set(name, value);
}

function createArguments(values: ReadonlyMap<string, string>): LineArguments {
	return {
		get: name => values.get(name),
		getText: (name, fallback = '') => values.get(name) ?? fallback,
		getNumber: (name, fallback = 0) => values.has(name) ? Number(values.get(name)) : fallback,
	};
}

/** Describes a command's words and options, as the reference page lists them. */
export function formatUsage({name, words, options}: Command): string {
	const parts = [
		...Object.entries(words).map(([word, {isOptional}]) => isOptional === true ? `[${word}]` : `<${word}>`),
		...Object.entries(options).map(([option, {isOptional, choices, kind}]) => {
			const value = `${option}=${choices?.join('|') ?? kind}`;
			return isOptional === true ? `[${value}]` : value;
		}),
	];
	return [name, ...parts].join(' ');
}
