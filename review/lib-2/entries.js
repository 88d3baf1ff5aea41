import {spawn} from 'node:child_process';
import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {sendCall} from './client.js';
import {host} from './json-server.js';

const repositoryFolder = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const readyTimeoutMs = 25_000;

/** Ports below those that the system gives to outgoing channels, so that none of these takes one before an entry listens on it. */
const firstPort = 20_000;
const portCount = 12_000;
const usedPorts = new Set();

async function isFree(port) {
	const server = createServer();
	return new Promise(resolve => {
		server.on('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

async function findFreePort() {
	for (;;) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		// eslint-disable-next-line no-await-in-loop
		if (!usedPorts.has(port) && await isFree(port)) {
			usedPorts.add(port);
			return port;
		}
	}
}

function readCommand() {
	const text = readFileSync(path.join(repositoryFolder, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"$/mu.exec(text).groups.command.split(' ');
}

/** Settings of one entry, as in DEPLOY.md, with the bounds of a small deployment. */
function formatSettings({name, frontPort, readyPort, controlPort, storeAddress, cloudAddress, bounds}) {
	const fields = {
		NodeName: name, Role: 'entry', MachineClass: 'front', Serves: 'front,control', Ip: host, Zone: 'zone-a', Region: 'region-1', 'Zones.zone-a': 'region-1',
		'Listen.Front': `${host}:${frontPort}`, 'Listen.Ready': `${host}:${readyPort}`, 'Listen.Control': `${host}:${controlPort}`, Seeds: `${host}:${controlPort}`, Bootstrap: true, CountsAsLoss: false,
		'Limits.CpuShare': 0.675, 'Limits.Cores': 1, 'Limits.MemoryMb': 350, 'Limits.MaxFds': 4100, 'Limits.LinkMbps': 1000, 'Limits.DiskMb': 0,
		Discovery: 'platform', Entry: 'vip', HeartbeatMs: 1500, Contracts: 'base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing',
		'Bounds.SeedLagS': 3, 'Bounds.ReuseAfterS': 2, 'Bounds.ContactMs': 3000, 'Bounds.AckMs': 4000, 'Bounds.CatchUpS': 4, 'Bounds.DrainMs': 2000, 'Bounds.GraceS': 6, 'Bounds.LossSlackMs': 200,
		'Bounds.ConfigApplyMs': 2000, 'Bounds.RollbackSlackMs': 250, 'Bounds.MaxStretchMs': 5000, 'Bounds.RecoverS': 12, 'Bounds.HoldMaxMs': 10_000, 'Bounds.StopMs': 900, 'Bounds.GangTimeoutMs': 3000,
		'Bounds.cancel_ms': 3000, 'Bounds.visible_ms': 3000, 'Bounds.early_ms': 250, 'Bounds.finish_s': 14, 'Bounds.status_s': 120, 'Bounds.FarFactor': 2, 'Bounds.CheckpointS': 1, 'Bounds.RestoreMs': 100,
		'Bounds.NoticeMs': 4500, 'Bounds.MoveS': 1.5, 'Bounds.UpkeepS': 2, 'Bounds.FencingEnforced': false, 'Bounds.LeaseMs': 3000, 'Bounds.ThawMs': 300, 'Bounds.PaceMs': 100, 'Bounds.HarmMs': 4000,
		...bounds,
		Orders: 'call', Advice: '', 'platform.Address': storeAddress, 'platform.form': 'kv', 'platform.WritesPerS': 400, 'platform.ReadsPerS': 2000, 'platform.HistoryS': 20, 'platform.ValueBytes': 1_048_576, 'platform.TtlMinMs': 1000,
		'Cloud.Address': cloudAddress, 'Cloud.RatePerS': 64, 'Cloud.Duties': '', 'Cloud.DutyPerS': 64,
	};
	return `${Object.entries(fields).map(([key, value]) => `${key}=${value}`).join('\n')}\n`;
}

/**
Starts entry processes with the command of the deploy file, and waits until they are ready.

@param names - Names of the entries.
@param onExit - Called when a process ends, with its name and how it ended.
*/
export async function startEntries({names, store, cloudAddress, bounds = {}, onExit = () => undefined}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'review-entries-'));
	const [program, ...parameters] = readCommand();
	const entries = new Map();
	let isClosing = false;

	function start(name) {
		const entry = entries.get(name);
		const log = openSync(path.join(folder, `${name}.log`), 'a');
		const child = spawn(program, parameters, {
			cwd: repositoryFolder, stdio: ['ignore', log, log], env: {PATH: process.env.PATH, HOME: process.env.HOME, PISTACHIOGAUGE_CONFIG: entry.settingsPath},
		});
		closeSync(log);
		entry.child = child;
		child.on('exit', (code, signal) => {
			if (!isClosing) {
				onExit(name, signal ?? code);
			}
		});
	}

	for (const name of names) {
		// eslint-disable-next-line no-await-in-loop
		const [frontPort, readyPort, controlPort, storeAddress] = [await findFreePort(), await findFreePort(), await findFreePort(), await store.listen(name)];
		const settingsPath = path.join(folder, `${name}.conf`);
		writeFileSync(settingsPath, formatSettings({
			name, frontPort, readyPort, controlPort, storeAddress, cloudAddress, bounds,
		}));
		entries.set(name, {
			settingsPath, frontPort, readyPort, child: undefined,
		});
	}

	for (const name of names) {
		start(name);
	}

	async function isReady(name) {
		const {status} = await sendCall({
			port: entries.get(name).readyPort, method: 'GET', path: '/pistachiogauge/ready', timeoutMs: 1000,
		});
		return status === 200;
	}

	async function waitUntilReady() {
		const giveUpAt = performance.now() + readyTimeoutMs;
		while (performance.now() < giveUpAt) {
			// eslint-disable-next-line no-await-in-loop
			const answers = await Promise.all(names.map(async name => isReady(name)));
			if (answers.every(Boolean)) {
				return true;
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(100);
		}

		return false;
	}

	return {
		folder,
		start,
		waitUntilReady,
		isReady,
		getFrontPort: name => entries.get(name).frontPort,
		signal(name, signal) {
			entries.get(name).child.kill(signal);
		},
		isRunning(name) {
			const {child} = entries.get(name);
			return child.exitCode === null && child.signalCode === null;
		},
		readLog: name => readFileSync(path.join(folder, `${name}.log`), 'utf8'),
		close() {
			isClosing = true;
			for (const {child} of entries.values()) {
				child.kill('SIGKILL');
			}

			if (process.env.KEEP_LOGS === undefined) {
				rmSync(folder, {recursive: true, force: true});
			}
		},
	};
}
