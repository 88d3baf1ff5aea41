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
	busyPort = await listenAnywhere(busyServer);
	const probe = createServer();
	freePort = await listenAnywhere(probe);
	probe.close();
	await once(probe, 'close');
});
afterAll(() => {
	busyServer.close();
	rmSync(folder, {recursive: true});
});

async function listenAnywhere(server: Server): Promise<number> {
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
	readonly values: () => readonly string[];
	readonly parts: () => readonly string[];
};

// Guards against a start that fails without saying which setting to change, or with a stack trace.
const cases: readonly StartCase[] = [
	{name: 'no settings file', values: () => [], parts: () => ['pistachiogauge-entry']},
	{name: 'a settings file that is missing', values: () => [join(folder, 'none.ini')], parts: () => ['none.ini', 'cannot read']},
	{name: 'an unknown option', values: () => [writeSettings(freePort, freePort), '--loud'], parts: () => ['--loud']},
	{name: 'a port for callers that is in use', values: () => [writeSettings(busyPort, freePort)], parts: () => [`127.0.0.1:${busyPort}`, 'in use']},
	{name: 'a port for peers that is in use', values: () => [writeSettings(freePort, busyPort)], parts: () => [`127.0.0.1:${busyPort}`, 'in use']},
];

describe('pistachiogauge-entry', () => {
	it.each(cases)('ends with exit code 2 for $name', async ({values, parts}) => {
		const child = spawn(process.execPath, [mainScript, ...values()], {stdio: ['ignore', 'pipe', 'pipe']});
		const chunks: string[] = [];
		const keepChunk = (chunk: unknown) => {
			chunks.push(String(chunk));
		};

		child.stdout.on('data', keepChunk);
		child.stderr.on('data', keepChunk);
		await once(child, 'close');
		const output = chunks.join('');
		expect({code: child.exitCode, hasStack: /\n\s+at /u.test(output), output}).toEqual({code: 2, hasStack: false, output});
		for (const part of parts()) {
			expect(output).toContain(part);
		}
	});
});
