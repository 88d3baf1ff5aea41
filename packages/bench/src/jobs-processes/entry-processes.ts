import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {settingsVariable} from '@pistachiogauge/platform';

/** Signals that a run sends to entries. */
export type EntrySignal = 'SIGSTOP' | 'SIGCONT' | 'SIGKILL' | 'SIGTERM' | 'SIGHUP';

/** Processes of the entries, started with the command of the deploy file. */
export type EntryProcesses = {
	start(entry: string, settingsPath: string): void;
	/** Signals an entry's process, unless it has ended. */
	signal(entry: string, signal: EntrySignal): void;
	isRunning(entry: string): boolean;
	killAll(): void;
};

type EntryProcessesOptions = {
	/** Program and its parameters. */
	readonly command: readonly string[];
	readonly logFolder: string;
	readonly onStart: (entry: string, pid: number | undefined) => void;
	/** `isOwnEnd` tells that no signal ended the process. */
	readonly onExit: (entry: string, pid: number | undefined, isOwnEnd: boolean) => void;
};

const repositoryFolder = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../../..');
/** Below the ports that the system gives to outgoing connections. */
const firstPort = 20_000;
const portCount = 12_000;
const usedPorts = new Set<number>();
/** Loopback address of the entries. Each process that runs a soak has its own, so that none takes another's ports while an entry is down. */
export const entryHost = `127.1.${Math.floor(process.pid / 254) % 256}.${(process.pid % 254) + 1}`;

/** Reads the command of the entries' role in the deploy file. */
export function readEntryCommand(deployText: string): readonly string[] {
	const command = /^run = "(?<command>[^"]+)"$/mu.exec(deployText)?.groups?.command;
	if (command === undefined) {
		throw new Error('deploy/system.toml has no line of the form run = "COMMAND"');
	}

	return command.split(' ');
}

/** Loads the command of the entries from the deploy file of this repository. */
export function loadEntryCommand(): readonly string[] {
	return readEntryCommand(readFileSync(path.join(repositoryFolder, 'deploy/system.toml'), 'utf8'));
}

export function createEntryProcesses({
	command, logFolder, onStart, onExit,
}: EntryProcessesOptions): EntryProcesses {
	const [program = 'node', ...parameters] = command;
	const children = new Map<string, ChildProcess>();
	/** Processes that were told to end. */
	const ended = new WeakSet<ChildProcess>();
	const isRunning = (child: ChildProcess | undefined): child is ChildProcess => child?.pid !== undefined && child.exitCode === null && child.signalCode === null;
	const killAll = (): void => {
		for (const child of children.values()) {
			if (isRunning(child)) {
				ended.add(child);
				child.kill('SIGKILL');
			}
		}
	};

	// Also ends the processes of a run that fails or is interrupted.
	process.once('exit', killAll);
	return {
		start(entry, settingsPath) {
			const logFile = openSync(path.join(logFolder, `${entry}.log`), 'a');
			const child = spawn(program, parameters, {
				cwd: repositoryFolder, env: createEnvironment(settingsPath), stdio: ['ignore', logFile, logFile],
			});
			closeSync(logFile);
			children.set(entry, child);
			onStart(entry, child.pid);
			child.on('exit', () => {
				onExit(entry, child.pid, !ended.has(child));
			});
		},
		signal(entry, signal) {
			const child = children.get(entry);
			if (isRunning(child)) {
				if (signal === 'SIGKILL' || signal === 'SIGTERM') {
					ended.add(child);
				}

				child.kill(signal);
			}
		},
		isRunning: entry => isRunning(children.get(entry)),
		killAll() {
			process.off('exit', killAll);
			killAll();
		},
	};
}

/** Passes on what the program needs; options of this process must not reach it. */
function createEnvironment(settingsPath: string): NodeJS.ProcessEnv {
	return Object.fromEntries([...['PATH', 'HOME'].map(name => [name, process.env[name]] as const), [settingsVariable, settingsPath]]);
}

async function isFreePort(port: number): Promise<boolean> {
	const server = createServer();
	return new Promise(resolve => {
		server.on('error', () => {
			resolve(false);
		});
		server.listen(port, entryHost, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds free ports, which an entry keeps over its restarts. */
export async function findFreePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		// eslint-disable-next-line no-await-in-loop
		if (!usedPorts.has(port) && await isFreePort(port)) {
			usedPorts.add(port);
			ports.push(port);
		}
	}

	return ports;
}
