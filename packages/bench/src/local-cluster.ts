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
	/** Number of instances by pool. */
	readonly instances: Readonly<Record<string, number>>;
	/** Text of the first bundle. */
	readonly bundle: string;
	/** Run time of a request at the endpoints in milliseconds. */
	readonly runMs: number;
	/** Node.js options for the entries, such as `--cpu-prof`. */
	readonly entryNodeOptions?: readonly string[];
};

/** A process of the cluster. @public */
export type LocalProcess = {
	readonly name: string;
	/** Address for callers and operators; at stand-ins also for injecting faults. */
	readonly address: string;
	readonly child: ChildProcess;
};

/** A cluster of entries, store, platform and endpoints as separate processes on loopback. @public */
export type LocalCluster = {
	readonly entries: readonly LocalProcess[];
	readonly endpoints: ReadonlyMap<string, LocalProcess>;
	readonly storeAddress: string;
	readonly platformAddress: string;
	readonly folder: string;
	/** Restarts a stopped entry with the same settings, as a new incarnation. */
	restartEntry(index: number): Promise<void>;
	callOperator(command: OperatorCommand, entryIndex?: number): Promise<unknown>;
	applyBundle(text: string): Promise<unknown>;
	waitUntil(description: string, isMet: () => Promise<boolean>, timeoutMs?: number): Promise<void>;
	stop(): Promise<void>;
};

const packageRequire = createRequire(import.meta.url);
const operator = 'demo';
const pollIntervalMs = 50;
const stopTimeoutMs = 8000;

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

	const standinMain = getMainScript('@pistachiogauge/standins');
	const entryMain = getMainScript('@pistachiogauge/entry');
	const storeAddress = takeAddress();
	const platformAddress = takeAddress();
	startProcess('store', storeAddress, [standinMain, 'store', storeAddress]);
	startProcess('platform', platformAddress, [standinMain, 'platform', platformAddress]);
	const listed: ListedInstance[] = [];
	const endpoints = new Map<string, LocalProcess>();
	for (const [pool, count] of Object.entries(options.instances)) {
		for (let index = 0; index < count; index++) {
			const id = `${pool}-${index + 1}`;
			const address = takeAddress();
			endpoints.set(id, startProcess(id, address, [standinMain, 'endpoint', address, '--run-ms', String(options.runMs)]));
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
			const timer = setTimeout(() => child.kill('SIGKILL'), stopTimeoutMs);
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
		// An entry refuses a bundle until it has reached the store, so refusals are ignored. A refusal because the version is already known means that an earlier attempt was accepted.
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

/** Returns the built main script of a package. In tests, a package resolves to its TypeScript sources, which Node.js can't run. */
function getMainScript(packageName: string): string {
	return join(dirname(packageRequire.resolve(packageName)), '..', 'dist', 'main.js');
}

/** Chooses a random loopback address for a cluster, so that clusters started at the same time don't compete for ports. */
function chooseLoopbackHost(): string {
	const parts = [1, 2, 3].map(() => randomInt(1, 255));
	return `127.${parts.join('.')}`;
}

/** Waits until a condition holds. Tests wait for conditions instead of fixed times, so that results don't depend on the speed of the machine. */
async function waitUntil(description: string, isMet: () => Promise<boolean>, timeoutMs = 20_000): Promise<void> {
	const startedAt = performance.now();
	while (performance.now() - startedAt < timeoutMs) {
		// eslint-disable-next-line no-await-in-loop
		if (await isMet().catch(() => false)) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(pollIntervalMs);
	}

	throw new Error(`timed out after ${timeoutMs} ms waiting until ${description}`);
}

async function getStatusCode(url: string): Promise<number> {
	const answer = await request(url);
	await answer.body.dump();
	return answer.statusCode;
}

/** Finds free ports on loopback. @public */
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
