import {randomInt} from 'node:crypto';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {callEntry} from '@pistachiogauge/cli';
import {type ListedInstance, type OperatorCommand} from '@pistachiogauge/model';
import {createKeyPair, signBundle} from '@pistachiogauge/settings';
import {request} from 'undici';

/** @public */
export type LocalClusterOptions = {
	readonly entryCount: number;
	readonly zones: readonly string[];
	/** Instances by pool. */
	readonly instances: Readonly<Record<string, number>>;
	/** Text of the first bundle. */
	readonly bundle: string;
	/** Run time of a request at the endpoints in milliseconds. */
	readonly runMs: number;
	/** Options of Node for the entries, such as `--cpu-prof`. */
	readonly entryNodeOptions?: readonly string[];
};

/** A process of the cluster. @public */
export type LocalProcess = {
	readonly name: string;
	/** Address for callers, operators or faults. */
	readonly address: string;
	readonly child: ChildProcess;
};

/** Entries, store, platform and endpoints as separate processes on loopback. @public */
export type LocalCluster = {
	readonly entries: readonly LocalProcess[];
	readonly endpoints: ReadonlyMap<string, LocalProcess>;
	readonly storeAddress: string;
	readonly platformAddress: string;
	readonly folder: string;
	/** Starts an ended entry anew with the same settings; it is a new incarnation. */
	restartEntry(index: number): Promise<void>;
	callOperator(command: OperatorCommand, entryIndex?: number): Promise<unknown>;
	applyBundle(text: string): Promise<unknown>;
	waitUntil(what: string, isMet: () => Promise<boolean>, limitMs?: number): Promise<void>;
	stop(): Promise<void>;
};

const load = createRequire(import.meta.url);
const operator = 'demo';
const pollMs = 50;
const stopLimitMs = 8000;

/** Starts a cluster and waits until every entry is ready. @public */
export async function createLocalCluster(options: LocalClusterOptions): Promise<LocalCluster> {
	const folder = mkdtempSync(join(tmpdir(), 'pistachiogauge-'));
	mkdirSync(join(folder, 'logs'));
	const children: ChildProcess[] = [];
	const keys = createKeyPair();
	writeFileSync(join(folder, 'operator.pem'), keys.privateKey, {mode: 0o600});
	writeFileSync(join(folder, 'operator.pem.pub'), keys.publicKey);
	writeFileSync(join(folder, 'peer.secret'), 'loopback-cluster-secret\n', {mode: 0o600});
	const {entryNodeOptions = []} = options;
	const host = chooseLoopbackHost();
	const ports = await findFreePorts(2 + (options.entryCount * 2) + Object.values(options.instances).reduce((sum, count) => sum + count, 0), host);
	const takeAddress = () => `${host}:${ports.pop()!}`;

	function startProcess(name: string, address: string, command: readonly string[]): LocalProcess {
		const logFile = openSync(join(folder, 'logs', `${name}.log`), 'a');
		const child = spawn(process.execPath, command, {stdio: ['ignore', logFile, logFile]});
		children.push(child);
		return {name, address, child};
	}

	const standin = getMainScript('@pistachiogauge/standins');
	const entryMain = getMainScript('@pistachiogauge/entry');
	const storeAddress = takeAddress();
	const platformAddress = takeAddress();
	startProcess('store', storeAddress, [standin, 'store', storeAddress]);
	startProcess('platform', platformAddress, [standin, 'platform', platformAddress]);
	const listed: ListedInstance[] = [];
	const endpoints = new Map<string, LocalProcess>();
	for (const [pool, count] of Object.entries(options.instances)) {
		for (let index = 0; index < count; index++) {
			const id = `${pool}-${index + 1}`;
			const address = takeAddress();
			endpoints.set(id, startProcess(id, address, [standin, 'endpoint', address, '--run-ms', String(options.runMs)]));
			listed.push({
				id, address, pool, zone: options.zones[index % options.zones.length]!, rack: `rack-${Math.floor(listed.length / 4) + 1}`, state: 'live',
			});
		}
	}

	const entries: LocalProcess[] = [];
	for (let index = 0; index < options.entryCount; index++) {
		const name = `entry-${index + 1}`;
		const callerAddress = takeAddress();
		const settingsFile = join(folder, `${name}.ini`);
		writeFileSync(settingsFile, formatSettings({
			name, zone: options.zones[index % options.zones.length]!, callerAddress, peerAddress: takeAddress(), storeAddress, platformAddress,
		}));
		entries.push(startProcess(name, callerAddress, [...entryNodeOptions, entryMain, settingsFile]));
	}

	async function restartEntry(index: number): Promise<void> {
		const {name, address} = entries[index]!;
		entries[index] = startProcess(name, address, [...entryNodeOptions, entryMain, join(folder, `${name}.ini`)]);
		await waitUntil(`${name} is ready`, async () => await getStatusCode(`http://${address}/readyz`) === 200);
	}

	async function callOperator(command: OperatorCommand, entryIndex = 0): Promise<unknown> {
		return callEntry({entry: entries[entryIndex]!.address, operator, privateKeyFile: join(folder, 'operator.pem')}, command);
	}

	async function applyBundle(text: string): Promise<unknown> {
		const bundle = signBundle(text, operator, keys.privateKey);
		return callOperator({command: 'bundle-apply', bundle, nonce: `${bundle.version}-${Date.now()}`});
	}

	async function stop(): Promise<void> {
		for (const child of children) {
			child.kill('SIGCONT');
			child.kill('SIGTERM');
		}

		await Promise.all(children.map(async child => {
			const timer = setTimeout(() => child.kill('SIGKILL'), stopLimitMs);
			if (child.exitCode === null && child.signalCode === null) {
				await once(child, 'exit');
			}

			clearTimeout(timer);
		}));
		rmSync(folder, {recursive: true, force: true});
	}

	const cluster: LocalCluster = {
		entries, endpoints, storeAddress, platformAddress, folder, restartEntry, callOperator, applyBundle, waitUntil, stop,
	};
	try {
		await waitUntil('the platform listens', async () => {
			const code = await getStatusCode(`http://${platformAddress}/instances`);
			return code === 200;
		});
		await request(`http://${platformAddress}/instances`, {method: 'PUT', body: JSON.stringify(listed)});
		await waitUntil('the entries listen', async () => {
			const codes = await Promise.all(entries.map(async entry => getStatusCode(`http://${entry.address}/healthz`)));
			return codes.every(code => code === 200);
		});
		// An entry refuses a bundle before it has reached the store; a refusal as already known shows that an earlier try was accepted.
		await waitUntil('the bundle is accepted', async () => {
			await applyBundle(options.bundle).catch(() => undefined);
			const status = await callOperator({command: 'status'}) as {bundleVersion: number};
			return status.bundleVersion > 0;
		});
		await waitUntil('the entries are ready', async () => {
			const codes = await Promise.all(entries.map(async entry => getStatusCode(`http://${entry.address}/readyz`)));
			return codes.every(code => code === 200);
		});
		return cluster;
	} catch (error) {
		const statuses = await Promise.all(entries.map(async (_, index) => callOperator({command: 'status'}, index).catch(String)));
		const logs = entries.map(({name}) => readLastLines(join(folder, 'logs', `${name}.log`)));
		await stop();
		throw new Error([error instanceof Error ? error.message : String(error), ...statuses.map(status => JSON.stringify(status)), ...logs].join('\n'), {cause: error});
	}
}

function readLastLines(file: string): string {
	const lines = readFileSync(file, 'utf8').trimEnd().split('\n');
	return lines.slice(-10).join('\n');
}

/** Built main script of a package; under the tests a package resolves to its sources, which Node cannot run. */
function getMainScript(packageName: string): string {
	return join(dirname(load.resolve(packageName)), '..', 'dist', 'main.js');
}

/** Chooses a loopback address of its own for a cluster, so that clusters started at the same time cannot take each other's ports. */
function chooseLoopbackHost(): string {
	const parts = [1, 2, 3].map(() => randomInt(1, 255));
	return `127.${parts.join('.')}`;
}

/** Waits until a condition holds. Tests wait for conditions and not for times, so a slow machine changes no verdict. */
async function waitUntil(what: string, isMet: () => Promise<boolean>, limitMs = 20_000): Promise<void> {
	const startedAt = performance.now();
	while (performance.now() - startedAt < limitMs) {
		// eslint-disable-next-line no-await-in-loop
		if (await isMet().catch(() => false)) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(pollMs);
	}

	throw new Error(`not within ${limitMs} ms: ${what}`);
}

async function getStatusCode(url: string): Promise<number> {
	const answer = await request(url);
	await answer.body.dump();
	return answer.statusCode;
}

/** Finds ports on loopback that nothing listens on. @public */
export async function findFreePorts(count: number, host = '127.0.0.1'): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(servers.map(async server => {
		server.listen(0, host);
		await once(server, 'listening');
		const address = server.address();
		return typeof address === 'object' && address !== null ? address.port : 0;
	}));
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
}

type EntryAddresses = {
	readonly name: string;
	readonly zone: string;
	readonly callerAddress: string;
	readonly peerAddress: string;
	readonly storeAddress: string;
	readonly platformAddress: string;
};

function formatSettings(addresses: EntryAddresses): string {
	return [
		'[entry]',
		`name = ${addresses.name}`,
		`zone = ${addresses.zone}`,
		`caller-address = ${addresses.callerAddress}`,
		`peer-address = ${addresses.peerAddress}`,
		'[store]',
		`addresses = ${addresses.storeAddress}`,
		'[platform]',
		`address = ${addresses.platformAddress}`,
		'list-interval-ms = 300',
		'[peers]',
		'secret-file = peer.secret',
		'[operators]',
		`${operator} = operator.pem.pub`,
		'',
	].join('\n');
}
