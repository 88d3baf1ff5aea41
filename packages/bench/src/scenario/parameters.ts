/** Kinds of values in a scenario. `new-` kinds declare a name; the kinds without the prefix refer to a declared one. */
export type ParameterKind =
	| 'count' | 'milliseconds' | 'share' | 'range' | 'text' | 'choice'
	| 'pool' | 'service' | 'entry' | 'instance' | 'rack' | 'request' | 'call'
	| 'new-pool' | 'new-service' | 'new-request' | 'new-call';

export type Parameter = {
	readonly kind: ParameterKind;
	readonly isOptional?: boolean;
	/** Allowed values of a choice. */
	readonly choices?: readonly string[];
};

/** Names declared by the lines parsed so far. */
export type Declarations = {
	readonly pools: Set<string>;
	readonly services: Set<string>;
	readonly requests: Set<string>;
	readonly calls: Set<string>;
	readonly instances: Set<string>;
	entryCount: number;
};

export function createDeclarations(): Declarations {
	return {
		pools: new Set(), services: new Set(), requests: new Set(), calls: new Set(), instances: new Set(), entryCount: 0,
	};
}

type ParameterCheck = (text: string, declarations: Declarations, parameter: Parameter) => string | undefined;

const namePattern = /^[a-z][\w-]*$/u;

function createPatternCheck(pattern: RegExp, expected: string): ParameterCheck {
	return text => pattern.test(text) ? undefined : expected;
}

function createReferenceCheck(what: string, getNames: (declarations: Declarations) => Iterable<string>): ParameterCheck {
	return (text, declarations) => {
		const names = [...getNames(declarations)];
		return names.includes(text) ? undefined : `a declared ${what} (${names.join(', ') || 'there is none yet'})`;
	};
}

function createNewNameCheck(what: string, getNames: (declarations: Declarations) => Set<string>): ParameterCheck {
	return (text, declarations) => {
		if (!namePattern.test(text) || getNames(declarations).has(text)) {
			return `a new ${what} name of lower-case letters, digits and hyphens`;
		}

		getNames(declarations).add(text);
		return undefined;
	};
}

function listEntryNames({entryCount}: Declarations): string[] {
	return Array.from({length: entryCount}, (_, index) => `e${index + 1}`);
}

/** Checks by kind; each returns a description of the expected value if the text is invalid. */
const parameterChecks: Readonly<Record<ParameterKind, ParameterCheck>> = {
	count: createPatternCheck(/^\d{1,6}$/u, 'a whole number'),
	milliseconds: createPatternCheck(/^\d{1,8}$/u, 'a whole number of milliseconds'),
	share: createPatternCheck(/^(?:0|1|0?\.\d+)$/u, 'a share from 0 to 1'),
	range: createPatternCheck(/^\d{1,6}(?:\.\.\d{1,6})?$/u, 'a whole number or a range such as 3..5'),
	text: createPatternCheck(/^\S+$/u, 'a word'),
	choice: (text, _declarations, {choices = []}) => choices.includes(text) ? undefined : `one of ${choices.join(', ')}`,
	pool: createReferenceCheck('pool', ({pools}) => pools),
	service: createReferenceCheck('service', ({services}) => services),
	entry: createReferenceCheck('entry', listEntryNames),
	instance: createReferenceCheck('instance', ({instances}) => instances),
	rack: createPatternCheck(/^rack-\d{1,3}$/u, 'a rack such as rack-1'),
	request: createReferenceCheck('request', ({requests}) => requests),
	call: createReferenceCheck('call', ({calls}) => calls),
	'new-pool': createNewNameCheck('pool', ({pools}) => pools),
	'new-service': createNewNameCheck('service', ({services}) => services),
	'new-request': createNewNameCheck('request', ({requests}) => requests),
	'new-call': createNewNameCheck('call', ({calls}) => calls),
};

/** Returns a description of the expected value if the text is invalid, otherwise undefined. */
export function checkParameter(text: string, parameter: Parameter, declarations: Declarations): string | undefined {
	return parameterChecks[parameter.kind](text, declarations, parameter);
}
