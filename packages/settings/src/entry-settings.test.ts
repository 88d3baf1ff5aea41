import {generateKeyPairSync} from 'node:crypto';
import {
	chmodSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {createKeyPair} from './bundle-signature.js';
import {readEntrySettings} from './entry-settings.js';
import {SettingsError} from './settings-error.js';

let folder: string;
let file: string;

beforeAll(() => {
	folder = mkdtempSync(join(tmpdir(), 'settings-'));
	file = join(folder, 'entry.ini');
	writeFileSync(join(folder, 'peer.secret'), 'a-secret-of-some-length\n', {mode: 0o600});
	writeFileSync(join(folder, 'empty.secret'), '\n', {mode: 0o600});
	writeFileSync(join(folder, 'open.secret'), 'a-secret-of-some-length\n');
	chmodSync(join(folder, 'open.secret'), 0o644);
	writeFileSync(join(folder, 'ada.pub'), createKeyPair().publicKey);
	writeFileSync(join(folder, 'rsa.pub'), generateKeyPairSync('rsa', {
		modulusLength: 2048, publicKeyEncoding: {type: 'spki', format: 'pem'}, privateKeyEncoding: {type: 'pkcs8', format: 'pem'},
	}).publicKey);
});
afterAll(() => {
	rmSync(folder, {recursive: true});
});

const validLines = [
	'[entry]',
	'name = e1',
	'zone = a',
	'caller-address = 127.0.0.1:7000',
	'peer-address = 127.0.0.1:7001',
	'[store]',
	'addresses = 127.0.0.1:7002',
	'[platform]',
	'address = 127.0.0.1:7003',
	'[peers]',
	'secret-file = peer.secret',
	'[operators]',
	'ada = ada.pub',
];

function listIssues(lines: readonly string[]): readonly string[] {
	writeFileSync(file, lines.join('\n'));
	try {
		readEntrySettings(file);
		return [];
	} catch (error) {
		if (error instanceof SettingsError) {
			return error.issues;
		}

		throw error;
	}
}

function replaceLine(key: string, line: string): string[] {
	return validLines.map(item => item.startsWith(`${key} =`) ? line : item);
}

type IssueCase = {
	readonly name: string;
	readonly lines: () => readonly string[];
	/** Substrings of each expected issue, in order. */
	readonly issues: ReadonlyArray<readonly string[]>;
};

// Guards against reporting only the first issue, which would force operators to restart the process once per issue.
const cases: readonly IssueCase[] = [
	{name: 'a valid file', lines: () => validLines, issues: []},
	{name: 'an empty file', lines: () => [], issues: [['[entry]', 'missing'], ['[store]', 'missing'], ['[platform]', 'missing'], ['[peers]', 'missing']]},
	{name: 'a missing key', lines: () => replaceLine('zone', ''), issues: [['[entry] zone', 'missing', 'Availability zone']]},
	{name: 'an unknown key', lines: () => replaceLine('zone', 'zone = a\nzoen = a'), issues: [['[entry] zoen', 'unknown', 'caller-address', 'zone']]},
	{name: 'an unknown section', lines: () => [...validLines, '[shelf]', 'a = 1'], issues: [['[shelf]', 'unknown', 'entry', 'timings']]},
	{name: 'an unknown level', lines: () => replaceLine('zone', 'zone = a\nlog-level = loud'), issues: [['[entry] log-level', 'debug', 'error']]},
	{name: 'a port above 65535', lines: () => replaceLine('caller-address', 'caller-address = 127.0.0.1:70000'), issues: [['[entry] caller-address', 'IPv4 address and port']]},
	{name: 'a host name', lines: () => replaceLine('caller-address', 'caller-address = localhost:7000'), issues: [['[entry] caller-address', 'IPv4 address and port']]},
	{name: 'an invalid IP address', lines: () => replaceLine('peer-address', 'peer-address = 300.0.0.1:7000'), issues: [['[entry] peer-address', 'IPv4 address and port']]},
	{name: 'a time out of range', lines: () => [...validLines, '[timings]', 'voucher-ms = 1'], issues: [['[timings] voucher-ms', '200', '2500']]},
	{name: 'a value that is not a number', lines: () => [...validLines, '[timings]', 'voucher-ms = soon'], issues: [['[timings] voucher-ms', '200', '2500']]},
	{name: 'a voucher that expires between heartbeats', lines: () => [...validLines, '[timings]', 'voucher-ms = 300', 'heartbeat-ms = 300'], issues: [['[timings] voucher-ms', 'heartbeat-ms']]},
	{name: 'a secret file that is missing', lines: () => replaceLine('secret-file', 'secret-file = none'), issues: [['[peers] secret-file', 'cannot read']]},
	{name: 'an empty secret', lines: () => replaceLine('secret-file', 'secret-file = empty.secret'), issues: [['[peers] secret-file', 'at least']]},
	{name: 'a secret that others can read', lines: () => replaceLine('secret-file', 'secret-file = open.secret'), issues: [['[peers] secret-file', '600']]},
	{name: 'an operator key of another type', lines: () => replaceLine('ada', 'ada = rsa.pub'), issues: [['[operators] ada', 'Ed25519']]},
	{name: 'an operator key file without a key', lines: () => replaceLine('ada', 'ada = peer.secret'), issues: [['[operators] ada', 'Ed25519']]},
	{
		name: 'several issues in several sections and files',
		lines: () => [...replaceLine('zone', 'log-level = loud'), 'bob = none.pub', '[timings]', 'drift-ms = x'].map(line => line.startsWith('secret-file') ? 'secret-file = none' : line),
		issues: [['[entry] zone'], ['[entry] log-level'], ['[timings] drift-ms'], ['[peers] secret-file'], ['[operators] bob']],
	},
];

describe('readEntrySettings', () => {
	it.each(cases)('$name', ({lines, issues: expected}) => {
		const found = listIssues(lines());
		expect(found).toHaveLength(expected.length);
		for (const [index, parts] of expected.entries()) {
			for (const part of parts) {
				expect(found[index]).toContain(part);
			}
		}
	});

	// Guards against secrets in logs: messages may name files but must never include their content.
	it('never includes a secret in an issue', () => {
		expect(listIssues(replaceLine('ada', 'ada = peer.secret')).join('\n')).not.toContain('a-secret-of');
	});
});
