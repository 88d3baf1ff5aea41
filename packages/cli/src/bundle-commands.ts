import {randomUUID} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import {signedBundleSchema, type Bundle, type SignedBundle} from '@pistachiogauge/model';
import {createKeyPair, parseBundle, signBundle} from '@pistachiogauge/settings';
import {callEntry, readPrivateKeyText} from './call-entry.js';
import {CliError} from './cli-error.js';
import {
	getCallOptions, getOption, parseCount, readText,
} from './command-input.js';
import {type Command, type CommandOptions} from './command.js';
import {listBundleChanges, type BundleChange} from './diff-bundles.js';
import {formatFields, formatTable, formatTime} from './format-table.js';

type HistoryAnswer = {
	readonly inForce: number;
	readonly versions: ReadonlyArray<{readonly version: number; readonly signedBy: string; readonly acceptedAt?: number; readonly acceptedBy?: string}>;
};

const privateFileMode = 0o600;
const exampleOptions = '--entry 10.0.0.1:8080 --operator ana --key ana.pem';

/** @internal */
export const bundleCommands: readonly Command[] = [
	{
		name: 'bundle check',
		usage: 'bundle check <file>',
		description: 'Check the text of a bundle and list all faults',
		example: 'bundle check fleet.ini',
		run([file = '']) {
			const bundle = parseBundle(readText(file), file);
			return {version: bundle.version, pools: Object.keys(bundle.pools), services: Object.keys(bundle.services)};
		},
	},
	{
		name: 'bundle sign',
		usage: 'bundle sign <file> <output>',
		description: 'Sign a bundle',
		example: 'bundle sign fleet.ini fleet.signed.json --operator ana --key ana.pem',
		run([file = '', output = ''], options) {
			const signed = signBundle(readText(file), getOption(options, 'operator'), readPrivateKeyText(getOption(options, 'key')));
			writeText(output, `${JSON.stringify(signed, undefined, '\t')}\n`);
			return {version: signed.version, signedBy: signed.signedBy, output};
		},
	},
	{
		name: 'bundle apply',
		usage: 'bundle apply <signed>',
		description: 'Have a signed bundle accepted and rolled out',
		example: `bundle apply fleet.signed.json ${exampleOptions}`,
		run: async ([file = ''], options) => callEntry(getCallOptions(options), {command: 'bundle-apply', bundle: parseSigned(file, readText(file)), nonce: randomUUID()}),
	},
	{
		name: 'bundle status',
		usage: 'bundle status',
		description: 'Show the bundle in force at an entry',
		example: `bundle status ${exampleOptions}`,
		run: async (_values, options) => callEntry(getCallOptions(options), {command: 'bundle-status'}),
	},
	{
		name: 'bundle diff',
		usage: 'bundle diff <old> <new>',
		description: 'Show the settings that differ; each side is a file or an accepted version',
		example: `bundle diff 7 fleet.ini ${exampleOptions}`,
		async run([older = '', newer = ''], options) {
			return listBundleChanges(await readBundleSource(older, options), await readBundleSource(newer, options));
		},
		format(result) {
			const changes = result as readonly BundleChange[];
			return changes.length === 0 ? 'no difference' : formatTable(['section', 'key', 'old', 'new'], changes.map(change => [change.section, change.key, change.old, change.new]));
		},
	},
	{
		name: 'bundle history',
		usage: 'bundle history',
		description: 'List the accepted versions, the latest first',
		example: `bundle history ${exampleOptions}`,
		run: async (_values, options) => callEntry(getCallOptions(options), {command: 'bundle-history'}),
		format(result) {
			const {inForce, versions} = result as HistoryAnswer;
			return [
				formatFields({inForce}),
				formatTable(['version', 'signed by', 'accepted', 'by'], versions.map(item => [item.version, item.signedBy, formatTime(item.acceptedAt), item.acceptedBy])),
			].join('\n\n');
		},
	},
	{
		name: 'key create',
		usage: 'key create <file>',
		description: 'Create an operator key; FILE is private, FILE.pub goes to the entries',
		example: 'key create ana.pem',
		run([file = '']) {
			const pair = createKeyPair();
			writeText(file, pair.privateKey, {mode: privateFileMode, flag: 'wx'});
			writeText(`${file}.pub`, pair.publicKey, {flag: 'wx'});
			return {privateKey: file, publicKey: `${file}.pub`};
		},
	},
];

async function readBundleSource(source: string, options: CommandOptions): Promise<Bundle> {
	if (!/^\d+$/u.test(source)) {
		const text = readText(source);
		return parseBundle(source.endsWith('.json') ? parseSigned(source, text).text : text, source);
	}

	const answer = signedBundleSchema.safeParse(await callEntry(getCallOptions(options), {command: 'bundle-text', version: parseCount(source, 'version')}));
	if (!answer.success) {
		throw new CliError(1, `the entry's answer for version ${source} cannot be read`);
	}

	return parseBundle(answer.data.text, `version ${source}`);
}

function parseSigned(file: string, text: string): SignedBundle {
	try {
		return signedBundleSchema.parse(JSON.parse(text));
	} catch (error) {
		throw new CliError(2, `${file}: not a signed bundle; create one with bundle sign`, {cause: error});
	}
}

function writeText(file: string, text: string, options: {readonly mode?: number; readonly flag?: string} = {}): void {
	try {
		writeFileSync(file, text, options);
	} catch (error) {
		const isExisting = error instanceof Error && 'code' in error && error.code === 'EEXIST';
		throw new CliError(1, isExisting ? `${file} exists already and is not overwritten` : `cannot write ${file}`, {cause: error});
	}
}
