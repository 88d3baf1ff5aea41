/** What a word of a scenario may be. `new-` kinds declare a name, the others refer to one. */
export type ParameterKind =
	| 'count' | 'milliseconds' | 'share' | 'range' | 'text' | 'choice'
	| 'pool' | 'service' | 'entry' | 'instance' | 'rack' | 'request' | 'call'
	| 'new-pool' | 'new-service' | 'new-request' | 'new-call';

export type Parameter = {
	readonly kind: ParameterKind;
	readonly isOptional?: boolean;
	/** Allowed words of a choice. */
	readonly choices?: readonly string[];
};

/** Names that the lines so far have declared. */
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

type Reader = (text: string, declarations: Declarations, parameter: Parameter) => string | undefined;

const namePattern = /^[a-z][\w-]*$/u;

function createPatternReader(pattern: RegExp, expected: string): Reader {
	return text => pattern.test(text) ? undefined : expected;
}

function createReferenceReader(what: string, getNames: (declarations: Declarations) => Iterable<string>): Reader {
	return (text, declarations) => {
		const names = [...getNames(declarations)];
		return names.includes(text) ? undefined : `a declared ${what} (${names.join(', ') || 'there is none yet'})`;
	};
}

function createNameReader(what: string, getNames: (declarations: Declarations) => Set<string>): Reader {
	return (text, declarations) => {
		if (!namePattern.test(text) || getNames(declarations).has(text)) {
			return `a new ${what} name of lower-case letters, digits and hyphens`;
		}

		getNames(declarations).add(text);
		return undefined;
	};
}

function listEntries({entryCount}: Declarations): string[] {
	return Array.from({length: entryCount}, (_, index) => `e${index + 1}`);
}

/** For each kind: returns what is expected when the text does not fit. */
const readers: Readonly<Record<ParameterKind, Reader>> = {
	count: createPatternReader(/^\d{1,6}$/u, 'a whole number'),
	milliseconds: createPatternReader(/^\d{1,8}$/u, 'a whole number of milliseconds'),
	share: createPatternReader(/^(?:0|1|0?\.\d+)$/u, 'a share from 0 to 1'),
	range: createPatternReader(/^\d{1,6}(?:\.\.\d{1,6})?$/u, 'a whole number or a range such as 3..5'),
	text: createPatternReader(/^\S+$/u, 'a word'),
	choice: (text, _declarations, {choices = []}) => choices.includes(text) ? undefined : `one of ${choices.join(', ')}`,
	pool: createReferenceReader('pool', ({pools}) => pools),
	service: createReferenceReader('service', ({services}) => services),
	entry: createReferenceReader('entry', listEntries),
	instance: createReferenceReader('instance', ({instances}) => instances),
	rack: createPatternReader(/^rack-\d{1,3}$/u, 'a rack such as rack-1'),
	request: createReferenceReader('request', ({requests}) => requests),
	call: createReferenceReader('call', ({calls}) => calls),
	'new-pool': createNameReader('pool', ({pools}) => pools),
	'new-service': createNameReader('service', ({services}) => services),
	'new-request': createNameReader('request', ({requests}) => requests),
	'new-call': createNameReader('call', ({calls}) => calls),
};

/** Returns what is expected in place of the text; nothing when it fits. */
export function checkParameter(text: string, parameter: Parameter, declarations: Declarations): string | undefined {
	return readers[parameter.kind](text, declarations, parameter);
}
