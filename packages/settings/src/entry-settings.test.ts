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

const valid = [
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

function listFaults(lines: readonly string[]): readonly string[] {
	writeFileSync(file, lines.join('\n'));
	try {
		readEntrySettings(file);
		return [];
	} catch (error) {
		if (error instanceof SettingsError) {
			return error.faults;
		}

		throw error;
	}
}

function replaceLine(key: string, line: string): string[] {
	return valid.map(item => item.startsWith(`${key} =`) ? line : item);
}

type FaultCase = {
	readonly name: string;
	readonly lines: () => readonly string[];
	/** Parts of each fault, in order. */
	readonly faults: ReadonlyArray<readonly string[]>;
};

// Guards against operators who have to start a process again and again to find one fault after the other.
const cases: readonly FaultCase[] = [
	{name: 'a valid file', lines: () => valid, faults: []},
	{name: 'an empty file', lines: () => [], faults: [['[entry]', 'missing'], ['[store]', 'missing'], ['[platform]', 'missing'], ['[peers]', 'missing']]},
	{name: 'a missing key', lines: () => replaceLine('zone', ''), faults: [['[entry] zone', 'missing', 'Availability zone']]},
	{name: 'an unknown key', lines: () => replaceLine('zone', 'zone = a\nzoen = a'), faults: [['[entry] zoen', 'unknown', 'caller-address', 'zone']]},
	{name: 'an unknown section', lines: () => [...valid, '[shelf]', 'a = 1'], faults: [['[shelf]', 'unknown', 'entry', 'timings']]},
	{name: 'an unknown level', lines: () => replaceLine('zone', 'zone = a\nlog-level = loud'), faults: [['[entry] log-level', 'debug', 'error']]},
	{name: 'a port above 65535', lines: () => replaceLine('caller-address', 'caller-address = 127.0.0.1:70000'), faults: [['[entry] caller-address', 'IP number and port']]},
	{name: 'a host name', lines: () => replaceLine('caller-address', 'caller-address = localhost:7000'), faults: [['[entry] caller-address', 'IP number and port']]},
	{name: 'an IP number that is none', lines: () => replaceLine('peer-address', 'peer-address = 300.0.0.1:7000'), faults: [['[entry] peer-address', 'IP number and port']]},
	{name: 'a time out of range', lines: () => [...valid, '[timings]', 'voucher-ms = 1'], faults: [['[timings] voucher-ms', '200', '2500']]},
	{name: 'a number that is none', lines: () => [...valid, '[timings]', 'voucher-ms = soon'], faults: [['[timings] voucher-ms', '200', '2500']]},
	{name: 'a voucher that runs out between heartbeats', lines: () => [...valid, '[timings]', 'voucher-ms = 300', 'heartbeat-ms = 300'], faults: [['[timings] voucher-ms', 'heartbeat-ms']]},
	{name: 'a secret file that is missing', lines: () => replaceLine('secret-file', 'secret-file = none'), faults: [['[peers] secret-file', 'cannot read']]},
	{name: 'an empty secret', lines: () => replaceLine('secret-file', 'secret-file = empty.secret'), faults: [['[peers] secret-file', 'at least']]},
	{name: 'a secret that others can read', lines: () => replaceLine('secret-file', 'secret-file = open.secret'), faults: [['[peers] secret-file', '600']]},
	{name: 'an operator key of another kind', lines: () => replaceLine('ada', 'ada = rsa.pub'), faults: [['[operators] ada', 'Ed25519']]},
	{name: 'an operator key file that holds no key', lines: () => replaceLine('ada', 'ada = peer.secret'), faults: [['[operators] ada', 'Ed25519']]},
	{
		name: 'several faults in several sections and files',
		lines: () => [...replaceLine('zone', 'log-level = loud'), 'bob = none.pub', '[timings]', 'drift-ms = x'].map(line => line.startsWith('secret-file') ? 'secret-file = none' : line),
		faults: [['[entry] zone'], ['[entry] log-level'], ['[timings] drift-ms'], ['[peers] secret-file'], ['[operators] bob']],
	},
];

describe('readEntrySettings', () => {
	it.each(cases)('$name', ({lines, faults: expected}) => {
		const faults = listFaults(lines());
		expect(faults).toHaveLength(expected.length);
		for (const [index, parts] of expected.entries()) {
			for (const part of parts) {
				expect(faults[index]).toContain(part);
			}
		}
	});

	// Guards against a secret in a log: messages name files, never their content.
	it('names no secret', () => {
		expect(listFaults(replaceLine('ada', 'ada = peer.secret')).join('\n')).not.toContain('a-secret-of');
	});
});
