import {type ScenarioCommand, type LineValues} from './command.js';
import {
	checkParameter, createDeclarations, type Declarations, type Parameter,
} from './parameters.js';

/** A parsed line. */
export type ScenarioLine = {
	readonly file: string;
	readonly lineNumber: number;
	readonly text: string;
	readonly command: ScenarioCommand;
	readonly values: LineValues;
};

export type ParsedScenario = {
	readonly lines: readonly ScenarioLine[];
	/** All errors of the file, with file and line number. */
	readonly errors: readonly string[];
};

type ParseState = {hasStarted: boolean};

/** Parses a scenario and collects all errors in it. @public */
export function parseScenario(file: string, text: string, commands: readonly ScenarioCommand[]): ParsedScenario {
	const lines: ScenarioLine[] = [];
	const errors: string[] = [];
	const declarations = createDeclarations();
	const parseState: ParseState = {hasStarted: false};
	for (const [index, rawLine] of text.split('\n').entries()) {
		const content = rawLine.replace(/#.*$/u, '').trim();
		if (content === '') {
			continue;
		}

		const lineNumber = index + 1;
		const lineErrors: string[] = [];
		const parsed = parseLine(content.split(/\s+/u), commands, declarations, parseState, lineErrors);
		errors.push(...lineErrors.map(error => `${file}:${lineNumber}: ${error}`));
		if (parsed !== undefined) {
			lines.push({
				file, lineNumber, text: content, ...parsed,
			});
		}
	}

	if (!parseState.hasStarted) {
		errors.push(`${file}:${text.split('\n').length}: the scenario never says start`);
	}

	return {lines, errors};
}

function parseLine(
	words: readonly string[],
	commands: readonly ScenarioCommand[],
	declarations: Declarations,
	parseState: ParseState,
	errors: string[],
): {command: ScenarioCommand; values: LineValues} | undefined {
	const command = findCommand(words, commands);
	if (command === undefined) {
		errors.push(`unknown command ${words[0]}; commands are ${commands.map(item => item.name).join(', ')}`);
		return undefined;
	}

	checkPhase(command, parseState, errors);
	const wordsAfterName = words.slice(command.name.split(' ').length);
	const values = createLineValues(parseWords(wordsAfterName, command, declarations, errors));
	if (errors.length > 0) {
		return undefined;
	}

	command.declare?.(values, declarations);
	return {command, values};
}

function findCommand(words: readonly string[], commands: readonly ScenarioCommand[]): ScenarioCommand | undefined {
	return commands.find(({name}) => name.split(' ').every((word, index) => words[index] === word));
}

function checkPhase(command: ScenarioCommand, parseState: ParseState, errors: string[]): void {
	if (command.phase === 'setup' && parseState.hasStarted) {
		errors.push(`${command.name} must come before start`);
	}

	if (command.phase === 'run' && !parseState.hasStarted) {
		errors.push(`${command.name} must come after start`);
	}

	parseState.hasStarted ||= command.name === 'start';
}

function parseWords(words: readonly string[], command: ScenarioCommand, declarations: Declarations, errors: string[]): Map<string, string> {
	const values = new Map<string, string>();
	const remainingPositionals = Object.entries(command.positionals);
	for (const word of words) {
		const [, optionName, optionValue] = /^(?<name>[a-z-]+)=(?<value>.*)$/u.exec(word) ?? [];
		if (optionName !== undefined) {
			parseOption(optionName, optionValue ?? '', command, {values, declarations, errors});
			continue;
		}

		const nextPositional = remainingPositionals.shift();
		if (nextPositional === undefined) {
			errors.push(`unexpected word ${word}; usage: ${formatUsage(command)}`);
			continue;
		}

		parseValue(nextPositional[0], word, nextPositional[1], {values, declarations, errors});
	}

	for (const [name, {isOptional}] of remainingPositionals) {
		if (isOptional !== true) {
			errors.push(`<${name}> is missing; usage: ${formatUsage(command)}`);
		}
	}

	for (const [name, {isOptional}] of Object.entries(command.options)) {
		if (isOptional !== true && !values.has(name)) {
			errors.push(`${name}= is missing; usage: ${formatUsage(command)}`);
		}
	}

	return values;
}

type ValueContext = {
	readonly values: Map<string, string>;
	readonly declarations: Declarations;
	readonly errors: string[];
};

function parseOption(name: string, value: string, command: ScenarioCommand, context: ValueContext): void {
	const parameter = Object.hasOwn(command.options, name) ? command.options[name] : undefined;
	if (parameter === undefined || context.values.has(name)) {
		const names = Object.keys(command.options).join(', ') || 'none';
		context.errors.push(`${parameter === undefined ? 'unknown option' : 'repeated option'} ${name}=; options of ${command.name} are ${names}`);
		return;
	}

	parseValue(name, value, parameter, context);
}

function parseValue(name: string, value: string, parameter: Parameter, {values, declarations, errors}: ValueContext): void {
	const expected = checkParameter(value, parameter, declarations);
	if (expected !== undefined) {
		errors.push(`${name}: expected ${expected}, not ${value === '' ? 'nothing' : value}`);
	}

	values.set(name, value);
}

function createLineValues(values: ReadonlyMap<string, string>): LineValues {
	return {
		get: name => values.get(name),
		getText: (name, fallback = '') => values.get(name) ?? fallback,
		getNumber: (name, fallback = 0) => values.has(name) ? Number(values.get(name)) : fallback,
	};
}

/** Formats a command's positional parameters and options as on the reference page. */
export function formatUsage({name, positionals, options}: ScenarioCommand): string {
	const parts = [
		...Object.entries(positionals).map(([word, {isOptional}]) => isOptional === true ? `[${word}]` : `<${word}>`),
		...Object.entries(options).map(([option, {isOptional, choices, kind}]) => {
			const value = `${option}=${choices?.join('|') ?? kind}`;
			return isOptional === true ? `[${value}]` : value;
		}),
	];
	return [name, ...parts].join(' ');
}
