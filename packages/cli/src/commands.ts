import {randomUUID} from 'node:crypto';
import {readFileSync, writeFileSync} from 'node:fs';
import {signedBundleSchema} from '@pistachiogauge/model';
import {createKeyPair, parseBundle, signBundle} from '@pistachiogauge/settings';
import {callEntry, type CallOptions} from './call-entry.js';
import {CliError} from './cli-error.js';

/** Options as the command line gives them. */
export type CommandOptions = Readonly<Record<string, string | undefined>>;

/** Carries out a command and returns what is printed. */
export type CommandHandler = (values: readonly string[], options: CommandOptions) => Promise<unknown> | unknown;

/** One command of the program. */
export type Command = {
	readonly name: string;
	readonly usage: string;
	readonly description: string;
	readonly example: string;
	readonly run: CommandHandler;
};

const privateFileMode = 0o600;

/** The commands, by name. */
export const commands: readonly Command[] = [
	{
		name: 'status',
		usage: 'status',
		description: 'Show what an entry knows',
		example: 'status --entry 10.0.0.1:8080',
		run: async (_values, options) => callEntry(getCallOptions(options), {command: 'status'}),
	},
	{
		name: 'key create',
		usage: 'key create <file>',
		description: 'Create an operator key; FILE is private, FILE.pub goes to the entries',
		example: 'key create ana.pem',
		run([file = '']) {
			const pair = createKeyPair();
			writeFileSync(file, pair.privateKey, {mode: privateFileMode, flag: 'wx'});
			writeFileSync(`${file}.pub`, pair.publicKey, {flag: 'wx'});
			return {privateKey: file, publicKey: `${file}.pub`};
		},
	},
	{
		name: 'bundle check',
		usage: 'bundle check <file>',
		description: 'Check the text of a bundle',
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
			const signed = signBundle(readText(file), getOption(options, 'operator'), readText(getOption(options, 'key')));
			writeFileSync(output, `${JSON.stringify(signed, undefined, '\t')}\n`);
			return {version: signed.version, signedBy: signed.signedBy, output};
		},
	},
	{
		name: 'bundle apply',
		usage: 'bundle apply <signed>',
		description: 'Have a signed bundle accepted and rolled out',
		example: 'bundle apply fleet.signed.json --entry 10.0.0.1:8080 --operator ana --key ana.pem',
		async run([file = ''], options) {
			const bundle = signedBundleSchema.safeParse(JSON.parse(readText(file)));
			if (!bundle.success) {
				throw new CliError(2, `${file}: not a signed bundle`);
			}

			return callEntry(getCallOptions(options), {command: 'bundle-apply', bundle: bundle.data, nonce: randomUUID()});
		},
	},
	{
		name: 'bundle status',
		usage: 'bundle status',
		description: 'Show the bundle in force',
		example: 'bundle status --entry 10.0.0.1:8080',
		run: async (_values, options) => callEntry(getCallOptions(options), {command: 'bundle-status'}),
	},
];

function getCallOptions(options: CommandOptions): CallOptions {
	return {entry: getOption(options, 'entry'), operator: getOption(options, 'operator'), key: getOption(options, 'key')};
}

function getOption(options: CommandOptions, name: string): string {
	const value = options[name] ?? process.env[`PISTACHIOGAUGE_${name.toUpperCase()}`];
	if (value === undefined) {
		throw new CliError(2, `--${name} is missing (or the variable PISTACHIOGAUGE_${name.toUpperCase()})`);
	}

	return value;
}

function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new CliError(2, `cannot read ${file}`, {cause: error});
	}
}
