import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';

const mainScript = fileURLToPath(new URL('../dist/main.js', import.meta.url));
const busyServer: Server = createServer();
let folder: string;
let busyPort: number;
let freePort: number;

beforeAll(async () => {
	folder = mkdtempSync(join(tmpdir(), 'entry-main-'));
	writeFileSync(join(folder, 'peer.secret'), 'a-secret-of-some-length\n', {mode: 0o600});
	busyPort = await listenOnFreePort(busyServer);
	const probe = createServer();
	freePort = await listenOnFreePort(probe);
	probe.close();
	await once(probe, 'close');
});
afterAll(() => {
	busyServer.close();
	rmSync(folder, {recursive: true});
});

async function listenOnFreePort(server: Server): Promise<number> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return port;
}

function writeSettings(callerPort: number, peerPort: number): string {
	const file = join(folder, `${callerPort}-${peerPort}.ini`);
	writeFileSync(file, [
		'[entry]',
		'name = e1',
		'zone = a',
		`caller-address = 127.0.0.1:${callerPort}`,
		`peer-address = 127.0.0.1:${peerPort}`,
		'[store]',
		'addresses = 127.0.0.1:1',
		'[platform]',
		'address = 127.0.0.1:1',
		'[peers]',
		'secret-file = peer.secret',
	].join('\n'));
	return file;
}

type StartCase = {
	readonly name: string;
	readonly getArguments: () => readonly string[];
	readonly getExpectedTexts: () => readonly string[];
};

// Guards against a start that fails without saying which setting to change, or with a stack trace.
const cases: readonly StartCase[] = [
	{name: 'no settings file', getArguments: () => [], getExpectedTexts: () => ['pistachiogauge-entry']},
	{name: 'a settings file that is missing', getArguments: () => [join(folder, 'none.ini')], getExpectedTexts: () => ['none.ini', 'cannot read']},
	{name: 'an unknown option', getArguments: () => [writeSettings(freePort, freePort), '--loud'], getExpectedTexts: () => ['--loud']},
	{name: 'a port for callers that is in use', getArguments: () => [writeSettings(busyPort, freePort)], getExpectedTexts: () => [`127.0.0.1:${busyPort}`, 'in use']},
	{name: 'a port for peers that is in use', getArguments: () => [writeSettings(freePort, busyPort)], getExpectedTexts: () => [`127.0.0.1:${busyPort}`, 'in use']},
];

describe('pistachiogauge-entry', () => {
	it.each(cases)('ends with exit code 2 for $name', async ({getArguments, getExpectedTexts}) => {
		const child = spawn(process.execPath, [mainScript, ...getArguments()], {stdio: ['ignore', 'pipe', 'pipe']});
		const chunks: string[] = [];
		const recordChunk = (chunk: unknown) => {
			chunks.push(String(chunk));
		};

		child.stdout.on('data', recordChunk);
		child.stderr.on('data', recordChunk);
		await once(child, 'close');
		const output = chunks.join('');
		expect({code: child.exitCode, hasStack: /\n\s+at /u.test(output), output}).toEqual({code: 2, hasStack: false, output});
		for (const expectedText of getExpectedTexts()) {
			expect(output).toContain(expectedText);
		}
	});
});
