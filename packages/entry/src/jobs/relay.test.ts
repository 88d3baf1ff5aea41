import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, openSync, closeSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	createCallerStandin, createLinks, createStoreStandin, encodeConfiguration, encodeEntrySettings, readinessPath, type CallerStandin, type JobRequest, type LinkState, type Links, type StoreStandin,
} from '@pistachiogauge/platform/standins';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';

const mainScript = fileURLToPath(new URL('../../dist/main.js', import.meta.url));
const host = '127.0.0.1';
const readyTimeoutMs = 20_000;
/** Time after which an entry knows that it has lost the store, and some more. */
const noticeMs = 2200;
const lateWriteMs = 3000;

type Entry = {readonly process: ChildProcess; readonly caller: CallerStandin; readonly logPath: string; readonly readinessPort: number};

let folder: string;
let links: Links;
let store: StoreStandin;
let entries: Entry[];
let operatorAddress: string;

async function findFreePorts(count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer().listen(0, host));
	return Promise.all(servers.map(async server => {
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		server.close();
		return port;
	}));
}

async function startEntry(name: string): Promise<Entry> {
	const [callerPort = 0, readinessPort = 0, controlPort = 0] = await findFreePorts(3);
	const settingsPath = path.join(folder, `${name}.conf`);
	writeFileSync(settingsPath, encodeEntrySettings({
		entry: name, host, callerPort, readinessPort, controlPort, machineServiceAddress: '', adviceAddress: '', storeAddress: await store.listen(name),
	}));
	const logPath = path.join(folder, `${name}.log`);
	const logFile = openSync(logPath, 'a');
	// eslint-disable-next-line @typescript-eslint/naming-convention
	const child = spawn('node', [mainScript, 'jobs'], {env: {PATH: process.env.PATH, PISTACHIOGAUGE_CONFIG: settingsPath}, stdio: ['ignore', logFile, logFile]});
	closeSync(logFile);
	return {
		process: child, caller: createCallerStandin(host, callerPort), logPath, readinessPort,
	};
}

async function isReady({readinessPort}: Entry): Promise<boolean> {
	try {
		const {status} = await fetch(`http://${host}:${readinessPort}${readinessPath}`);
		return status === 200;
	} catch {
		return false;
	}
}

/** Whether the first entry has learned of the second one. */
function isPeerKnown(): boolean {
	return readFileSync(entries[0]!.logPath, 'utf8').split('\n').some(line => line.includes('"entry joined"') && line.includes('"node":"entry-2"'));
}

/** Reads a record of the store. */
async function readRecord(key: string): Promise<{readonly revision: number; readonly value: Readonly<Record<string, unknown>>}> {
	const response = await fetch(`http://${operatorAddress}/pistachiogauge/kv-key?Key=${encodeURIComponent(key)}`);
	const item = await response.json() as {readonly Value: string; readonly Revision: number};
	return {revision: item.Revision, value: JSON.parse(Buffer.from(item.Value, 'base64').toString('utf8')) as Record<string, unknown>};
}

const createJob = (number: number): JobRequest => ({
	jobId: number.toString(16).padStart(16, '0'),
	queue: 'prints',
	payload: 'ms=100',
	steps: [{
		taskCount: 1, cpuMillis: 1000, memoryMb: 100, estimateMs: 100, after: [], isLongRunning: false, mayDuplicate: false,
	}],
});

async function wait(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

beforeEach(async () => {
	folder = mkdtempSync(path.join(tmpdir(), 'relay-'));
	links = createLinks();
	store = createStoreStandin({links, observe() {/* Not needed. */}, getLateMs: () => lateWriteMs});
	const {key, value} = encodeConfiguration([{queue: 'prints', service: 'desk', attempts: 2}], false);
	store.write(key, value);
	operatorAddress = await store.listen('operator');
	entries = [await startEntry('entry-1')];
	await expect.poll(async () => isReady(entries[0]!), {timeout: readyTimeoutMs}).toBe(true);
	entries.push(await startEntry('entry-2'));
	await expect.poll(async () => isReady(entries[1]!), {timeout: readyTimeoutMs}).toBe(true);
	await expect.poll(isPeerKnown, {timeout: readyTimeoutMs}).toBe(true);
});
afterEach(() => {
	for (const {process: child, caller} of entries) {
		child.kill('SIGKILL');
		caller.close();
	}

	store.close();
	rmSync(folder, {recursive: true, force: true});
});

const cases: ReadonlyArray<{readonly state: LinkState}> = [{state: 'cut'}, {state: 'answers-lost'}, {state: 'late'}];

// Guards against callers that get 504 or 503 from an entry whose store calls are not answered although another entry can decide.
describe('an entry whose calls to the store are not answered', () => {
	it.each(cases)('has its callers\' requests decided by another entry while the link is $state', async ({state}) => {
		const [first, second] = entries as [Entry, Entry];
		const openLink = links.addRule((from, to) => from === 'entry-1' && to === 'store' ? state : undefined);
		const early = createJob(1);
		expect(await first.caller.submit(early)).toEqual({status: 200});
		const {revision} = await readRecord(`inbox/desk/job/${early.jobId}`);
		await wait(noticeMs);
		const known = createJob(2);
		expect(await first.caller.submit(known)).toEqual({status: 200});
		expect(await first.caller.requestState(early)).toEqual({status: 200, state: 'queued'});
		expect(await first.caller.requestWaiting('prints')).toMatchObject({status: 200});
		expect(await first.caller.cancel(known)).toEqual({status: 200});
		expect(await first.caller.requestState(createJob(3))).toEqual({status: 410});
		await wait(lateWriteMs);
		openLink();
		expect(await second.caller.requestState(early)).toEqual({status: 200, state: 'queued'});
		// The first entry's own write, carried out late, has changed nothing.
		expect(await readRecord(`inbox/desk/job/${early.jobId}`)).toMatchObject({revision});
		const {value: {peerServer}} = await readRecord('shared/entry/entry-2');
		const {secret} = peerServer as {readonly secret: string};
		expect(secret.length).toBeGreaterThan(40);
		for (const {logPath} of entries) {
			expect(readFileSync(logPath, 'utf8')).not.toContain(secret);
		}
	});

	it('answers as before if the other entry is shutting down', async () => {
		const [first, second] = entries as [Entry, Entry];
		links.addRule((from, to) => from === 'entry-1' && to === 'store' ? 'cut' : undefined);
		second.process.kill('SIGTERM');
		expect(await first.caller.submit(createJob(1))).toEqual({status: 504});
		await wait(noticeMs);
		expect(await first.caller.submit(createJob(2))).toEqual({status: 503});
	});
});
