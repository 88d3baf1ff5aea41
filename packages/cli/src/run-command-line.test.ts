import {
	chmodSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {type OperatorCommand} from '@pistachiogauge/model';
import {createKeyPair, signBundle} from '@pistachiogauge/settings';
import {runCommandLine} from './run-command-line.js';

const folder = mkdtempSync(join(tmpdir(), 'pistachiogauge-cli-'));
const keys = createKeyPair();
const bundleText = (version: number, budget: number) => [
	'[bundle]', 'schema-version = 1', `version = ${version}`, '[pool.p]', `budget = ${budget}`, '[service.s]', 'pool = p', '',
].join('\n');
const files = {
	key: join(folder, 'ana.pem'),
	openKey: join(folder, 'open.pem'),
	publicKey: join(folder, 'ana.pem.pub'),
	older: join(folder, 'older.ini'),
	newer: join(folder, 'newer.ini'),
	broken: join(folder, 'broken.ini'),
	signed: join(folder, 'signed.json'),
	log: join(folder, 'entries.log'),
	missing: join(folder, 'missing'),
};

/** Answers of the entry by command; other commands are answered with status 409. */
const answers: Partial<Record<OperatorCommand['command'], unknown>> = {
	status: {
		entry: 'e1', epoch: 4, members: [{id: 'e1', address: '10.0.0.1:7000', zone: 'a'}], pools: {p: {owner: 'e1'}}, bundleVersion: 7,
	},
	'pool-status': {
		pool: 'p', budget: 1, instances: [{
			id: 'p1', zone: 'a', rack: 'r1', state: 'draining', running: 2, maintainedAt: 0, permit: {
				reason: 'operator-drain', stage: 'draining', by: 'ana', since: 0,
			}, waitsFor: '2 requests run at it, the oldest for 3.0 s',
		}],
	},
	'wave-plan': {pool: 'p', budget: 1, steps: [{zone: 'a', rack: 'r1', instances: ['p1', 'p2']}]},
	'wave-status': {pool: 'p', remaining: 2, inProgress: [{id: 'p1', stage: 'rebooting'}]},
	drain: {outcome: 'draining', instance: 'p1'},
	undrain: {outcome: 'returning', instance: 'p1'},
	'bundle-status': {entry: 'e1', version: 7, signedBy: 'ana'},
	'bundle-apply': {outcome: 'accepted', version: 8},
	'bundle-text': signBundle(bundleText(7, 1), 'ana', keys.privateKey),
	'bundle-history': {
		inForce: 8, versions: [{
			version: 8, signedBy: 'ana', acceptedAt: 1_700_000_000_000, acceptedBy: 'can',
		}],
	},
	audit: {
		records: [{
			at: 1_700_000_000_000, entry: 'e1', by: 'ana\u001B[2J', action: 'drain', subject: 'pool p', result: 'done', detail: '',
		}], isTruncated: false, faults: ['e1: record 3 was altered'],
	},
};

let server: Server;
let entry = '';

beforeAll(async () => {
	writeFileSync(files.key, keys.privateKey, {mode: 0o600});
	writeFileSync(files.openKey, keys.privateKey);
	chmodSync(files.openKey, 0o644);
	writeFileSync(files.publicKey, keys.publicKey, {mode: 0o600});
	writeFileSync(files.older, bundleText(8, 1));
	writeFileSync(files.newer, bundleText(9, 2));
	writeFileSync(files.broken, '[bundle]\nversion = x\n');
	writeFileSync(files.signed, JSON.stringify(signBundle(bundleText(8, 1), 'ana', keys.privateKey)));
	writeFileSync(files.log, `${JSON.stringify({
		time: '2026-12-04T10:00:00.000Z', level: 'info', message: 'job ended', entry: 'e1', job: 'j1', status: 'done',
	})}\n`);
	server = createServer((request, response) => {
		const chunks: Uint8Array[] = [];
		request.on('data', (chunk: Uint8Array) => chunks.push(chunk));
		request.on('end', () => {
			const {command} = JSON.parse(Buffer.concat(chunks).toString()) as OperatorCommand;
			const body = answers[command] ?? {message: `conflict in ${command}`};
			response.statusCode = answers[command] === undefined ? 409 : 200;
			response.end(JSON.stringify(body));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	entry = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterAll(() => {
	server.close();
	rmSync(folder, {recursive: true});
});

async function run(line: string): Promise<{code: number; text: string}> {
	const access = line.includes('--entry') ? [] : ['--entry', entry];
	const identity = line.includes('--key') ? [] : ['--operator', 'ana', '--key', files.key];
	const words = line.replaceAll(/\{(?<name>\w+)\}/gu, (_, name: keyof typeof files) => files[name]).split(' ').filter(word => word !== '');
	let text = '';
	const write = (part: string) => {
		text += part;
	};

	const code = await runCommandLine([...words, ...access, ...identity], {writeResult: write, writeError: write});
	return {code, text};
}

// Guards against wrong exit codes, which break operators' scripts, and against output that does not name the error.
const cases: Array<{line: string; code: number; text: RegExp}> = [
	{line: 'status', code: 0, text: /bundleVersion\s+7[\s\S]*MEMBER\s+ADDRESS[\s\S]*POOL\s+OWNER/u},
	{line: 'status --json', code: 0, text: /^\{\n\t"entry": "e1"/u},
	{line: 'pool status p', code: 0, text: /WAITS FOR\np1\s.*2 requests run at it, the oldest for 3\.0 s/u},
	{line: 'wave plan p', code: 0, text: /ZONE\s+RACK\s+INSTANCES\na\s+r1\s+p1, p2/u},
	{line: 'wave status p', code: 0, text: /wave\s+none[\s\S]*p1\s+rebooting/u},
	{line: 'drain p p1', code: 0, text: /outcome\s+draining/u},
	{line: 'undrain p p1', code: 0, text: /outcome\s+returning/u},
	{line: 'move p p1 q', code: 1, text: /^conflict in move\n$/u},
	{line: 'wave start p', code: 1, text: /^conflict in wave-start\n$/u},
	{line: 'wave pause p', code: 1, text: /^conflict in wave-pause\n$/u},
	{line: 'retire p p1', code: 1, text: /^conflict in retire\n$/u},
	{line: 'membership force 4', code: 1, text: /^conflict in membership-force\n$/u},
	{line: 'membership force four', code: 2, text: /epoch: expected a whole number/u},
	{line: 'bundle check {older}', code: 0, text: /version\s+8/u},
	{line: 'bundle check {broken}', code: 2, text: /\[bundle\] version: expected a whole number[\s\S]*\[pool\]/u},
	{line: 'bundle check {missing}', code: 2, text: /cannot read/u},
	{line: 'bundle sign {older} {missing}.json', code: 0, text: /signedBy\s+ana/u},
	{line: 'bundle apply {signed}', code: 0, text: /outcome\s+accepted/u},
	{line: 'bundle apply {older}', code: 2, text: /not a signed bundle/u},
	{line: 'bundle status', code: 0, text: /version\s+7/u},
	{line: 'bundle diff 7 {newer}', code: 0, text: /pool\.p\s+budget\s+1\s+2/u},
	{line: 'bundle diff {older} {signed}', code: 0, text: /^no difference\n$/u},
	{line: 'bundle history', code: 0, text: /8\s+ana\s+2023-11-14T22:13:20Z\s+can/u},
	{line: 'key create {missing}.pem', code: 0, text: /publicKey/u},
	{line: 'key create {key}', code: 1, text: /exists already/u},
	{line: 'audit', code: 1, text: /ana\?\[2J[\s\S]*record 3 was altered/u},
	{line: 'audit --since 2h --pool p', code: 1, text: /record 3 was altered/u},
	{line: 'audit --since soon', code: 2, text: /--since: expected a time/u},
	{line: 'explain j1 {log}', code: 0, text: /e1\s+job ended\s+job=j1 status=done/u},
	{line: 'explain j2 {log}', code: 1, text: /No line tells of it/u},
	{line: 'explain j1 {missing}', code: 2, text: /cannot read/u},
	{line: 'status --since 2h', code: 2, text: /unknown option --since/u},
	{line: 'status --entry nowhere', code: 2, text: /--entry: expected an IP number and port/u},
	{line: 'status --entry 127.0.0.1:1', code: 1, text: /no answer from 127\.0\.0\.1:1; whether the command took effect is unknown/u},
	{line: 'status --operator ana --key {openKey}', code: 2, text: /can be read by others/u},
	{line: 'status --operator ana --key {publicKey}', code: 2, text: /holds no private key/u},
	{line: 'status --operator ana --key {missing}', code: 2, text: /cannot read the key file/u},
	{line: 'drain p', code: 2, text: /usage: pistachiogauge drain <pool> <instance>\nexample:/u},
	{line: 'bundle', code: 2, text: /unknown command: bundle/u},
	{line: '', code: 2, text: /a command is missing[\s\S]*Usage:/u},
	{line: '--help', code: 0, text: /Commands:[\s\S]*Examples:[\s\S]*Exit codes/u},
	{line: 'drain --help', code: 0, text: /^Usage: pistachiogauge drain <pool> <instance>[\s\S]*Example:/u},
	{line: '--version', code: 0, text: /^pistachiogauge \d/u},
];

describe('runCommandLine', () => {
	it.each(cases)('$line', async ({line, code, text}) => {
		const result = await run(line);
		expect(result.text).toMatch(text);
		expect(result.code).toBe(code);
		expect(result.text).not.toMatch(/^\s+at /mu);
	});
});
