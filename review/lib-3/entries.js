/** Starts the project's entries with the command of the deploy file, and ends them. */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync, openSync, closeSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {findPorts} from './http.js';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Reads the program and its arguments from the deploy file. */
function readCommand() {
	const line = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8').split('\n').find(each => each.startsWith('run ='));
	return JSON.parse(line.slice(line.indexOf('=') + 1).trim()).split(' ');
}

/** The settings of a small deployment. */
function formatSettings({
	name, ports, storeAddress, cloudAddress, adviceAddress, extra,
}) {
	const fields = {
		NodeName: name,
		Role: 'entry',
		MachineClass: 'front',
		Serves: 'front,control',
		Ip: '127.0.0.1',
		Zone: 'ank-a',
		Region: 'tr-central',
		'Zones.ank-a': 'tr-central',
		'Listen.Front': `127.0.0.1:${ports[0]}`,
		'Listen.Ready': `127.0.0.1:${ports[1]}`,
		'Listen.Control': `127.0.0.1:${ports[2]}`,
		Bootstrap: 'true',
		CountsAsLoss: 'false',
		'Limits.CpuShare': '0.675',
		'Limits.Cores': '1',
		'Limits.MemoryMb': '350',
		'Limits.MaxFds': '4100',
		Discovery: 'platform',
		Entry: 'vip',
		HeartbeatMs: '1500',
		Contracts: 'base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing',
		'Bounds.ContactMs': '3000',
		'Bounds.AckMs': '4000',
		'Bounds.DrainMs': '2000',
		'Bounds.GraceS': '6',
		'Bounds.ConfigApplyMs': '2000',
		'Bounds.HoldMaxMs': '10000',
		'Bounds.StopMs': '900',
		'Bounds.GangTimeoutMs': '3000',
		'Bounds.cancel_ms': '3000',
		'Bounds.visible_ms': '3000',
		'Bounds.finish_s': '14',
		'Bounds.CheckpointS': '1',
		'Bounds.RestoreMs': '250',
		'Bounds.MoveS': '1.5',
		'Bounds.UpkeepS': '2',
		'Bounds.FencingEnforced': 'false',
		'Bounds.LeaseMs': '3000',
		Orders: 'call',
		Advice: adviceAddress ?? '',
		'platform.Address': storeAddress,
		'platform.form': 'kv',
		'platform.WritesPerS': '400',
		'platform.ReadsPerS': '2000',
		'platform.HistoryS': '20',
		'platform.ValueBytes': '1048576',
		'platform.TtlMinMs': '1000',
		'Cloud.Address': cloudAddress ?? '',
		'Cloud.RatePerS': '64.0',
		'Cloud.DutyPerS': '64.0',
		...extra,
	};
	return Object.entries(fields).map(([key, value]) => `${key}=${value}`).join('\n') + '\n';
}

/** Entries as separate processes. One that ends by itself is started again after 500 ms, as the platform does. */
export async function createEntries({names, getAddresses, keepLogs = false}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const ports = await findPorts(3 * names.length);
	const [program, ...args] = readCommand();
	const entries = names.map((name, index) => ({
		name, ports: ports.slice(3 * index, (3 * index) + 3), process: undefined, isWanted: false, ends: [], logFile: path.join(folder, `${name}.log`),
	}));
	const listeners = [];

	function start(entry) {
		entry.isWanted = true;
		const settings = path.join(folder, `${entry.name}.conf`);
		writeFileSync(settings, formatSettings({name: entry.name, ports: entry.ports, ...getAddresses(entry.name)}));
		const log = openSync(entry.logFile, 'a');
		const child = spawn(program, args, {cwd: root, stdio: ['ignore', log, log], env: {PATH: process.env.PATH, HOME: process.env.HOME, PISTACHIOGAUGE_CONFIG: settings}});
		closeSync(log);
		entry.process = child;
		entry.startedAt = performance.now();
		child.on('exit', (code, signal) => {
			if (entry.process !== child) {
				return;
			}

			entry.process = undefined;
			if (entry.isWanted) {
				entry.ends.push({code, signal, afterMs: Math.round(performance.now() - entry.startedAt)});
				for (const listener of listeners) {
					listener(entry, code, signal);
				}

				setTimeout(() => {
					if (entry.isWanted && entry.process === undefined) {
						start(entry);
					}
				}, 500);
			}
		});
	}

	return {
		entries,
		folder,
		getFront: index => `127.0.0.1:${entries[index].ports[0]}`,
		getReady: index => `127.0.0.1:${entries[index].ports[1]}`,
		onEnd(listener) {
			listeners.push(listener);
		},
		startAll() {
			for (const entry of entries) {
				start(entry);
			}
		},
		start,
		signal(entry, signal) {
			entry.process?.kill(signal);
		},
		/** Ends a process for good. */
		end(entry, signal = 'SIGKILL') {
			entry.isWanted = false;
			entry.process?.kill('SIGCONT');
			entry.process?.kill(signal);
		},
		async stop() {
			for (const entry of entries) {
				entry.isWanted = false;
				entry.process?.kill('SIGCONT');
				entry.process?.kill('SIGKILL');
			}

			await new Promise(resolve => {
				setTimeout(resolve, 300);
			});
			if (!keepLogs) {
				rmSync(folder, {recursive: true, force: true});
			}
		},
		readLog: entry => readFileSync(entry.logFile, 'utf8'),
	};
}
