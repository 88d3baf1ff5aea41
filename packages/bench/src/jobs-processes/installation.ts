import {
	createWriteStream, mkdtempSync, writeFileSync, type WriteStream,
} from 'node:fs';
import {request as sendRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {getClaimToken} from '@pistachiogauge/jobs';
import {
	createAdviceStandin, createCallerStandin, createEndpointStandin, createLinks, createMachineServiceStandin, createStoreStandin, encodeConfiguration, encodeEntrySettings,
	moveOutcomes, readinessPath,
	type AccountPlan, type CallerStandin, type EndpointStandin, type Lateness, type Links, type MachineServiceOptions, type Observation, type Observe, type StoreStandin,
} from '@pistachiogauge/platform/standins';
import {accountBounds} from '../accounts/index.js';
import {createAccountKeys, type AccountKeys} from './account-keys.js';
import {
	createEntryProcesses, entryHost, findFreePorts, loadEntryCommand, type EntryProcesses,
} from './entry-processes.js';
import {recordFile, writePlan} from './kept-record.js';
import {adviceTimes, mayRunAdvised} from './odd-jobs.js';
import {findPlannedTask} from './planned-tasks.js';
import {
	drawBetween, hasChance, type EndpointPlan, type RunPlan,
} from './run-plan.js';

/** Entry processes and the stand-ins around them. */
export type Installation = {
	readonly plan: RunPlan;
	/** For what depends on the order of events and so is not part of the plan. */
	readonly random: RandomSource;
	readonly links: Links;
	readonly store: StoreStandin;
	readonly endpoints: readonly EndpointStandin[];
	readonly callers: ReadonlyMap<string, CallerStandin>;
	readonly processes: EntryProcesses;
	readonly accountKeys: AccountKeys;
	readonly observations: readonly Observation[];
	/** Folder of the settings, the entries' logs and the record of the run. */
	readonly logFolder: string;
	readonly observe: Observe;
	getNowMs(): number;
	startEntry(entry: string): void;
	/** Writes a configuration with other client accounts. */
	writeAccounts(accounts: readonly AccountPlan[]): void;
	/** Writes a configuration in which a queue belongs to another pool, or is removed. */
	writeQueue(queue: string, service: string | undefined): void;
	/** The entry that gave the newest orders to a pool's endpoints. */
	findOwner(service: string): string | undefined;
	/** @throws Error if the entries do not become ready. */
	waitUntilReady(): Promise<void>;
	/** Ends the entries and closes the stand-ins and the record. */
	close(): Promise<void>;
};

type Entry = {readonly settingsPath: string; readonly readinessPort: number};

const readyTimeoutMs = 20_000;
const probeTimeoutMs = 1000;
const probeIntervalMs = 100;
/** Time that a process which ended by itself stays down. */
const restartMs = 500;
const delayProbeMs = 100;
const maxDelayMs = 300;
const lateOrderMs: Readonly<Record<Lateness, {readonly min: number; readonly max: number}>> = {late: {min: 2000, max: 12_000}, delayed: {min: 600, max: 3000}};
/** Half of the orders that a restarted endpoint carries out are this much apart at most. */
const maxHeldMs = 300;
const callsPerLostAnswer = 10;
/** Duration of a move of a machine. */
const moveMs = 1500;
const lateWriteMs = {min: 500, max: 8000};
/** Settings of a deployment with client accounts. */
const accountSettings = Object.fromEntries<number | boolean>([['StrictRevoke', true], ['RevokeMs', accountBounds.revokeMs], ['QuotaOverage', accountBounds.quotaOverage]]);

export async function startInstallation(plan: RunPlan): Promise<Installation> {
	const startedAt = performance.now();
	const random = createRandomSource(plan.seed + 1_000_000);
	const logFolder = mkdtempSync(path.join(tmpdir(), `process-soak-${plan.seed}-`));
	writePlan(logFolder, plan);
	const record = createWriteStream(path.join(logFolder, recordFile));
	const observations: Observation[] = [];
	const getNowMs = (): number => Math.round(performance.now() - startedAt);
	const observe: Observe = unstamped => {
		const observation: Observation = {at: getNowMs(), ...unstamped};
		observations.push(observation);
		record.write(`${JSON.stringify(observation)}\n`);
	};

	const stopWatchingDelay = watchEventLoop(observe);
	const links = createLinks();
	const store = createStoreStandin({links, observe, getLateMs: () => drawBetween(random, lateWriteMs.min, lateWriteMs.max)});
	const accountKeys = createAccountKeys(plan, random);
	const changedServices = new Map<string, string | undefined>();
	const services = plan.queues.map(({service}) => service);
	let currentAccounts = plan.accounts?.initial;
	let version = 0;
	function writeVersion(): void {
		version += 1;
		const queues = plan.queues.flatMap(queue => {
			const service = changedServices.has(queue.queue) ? changedServices.get(queue.queue) : queue.service;
			return service === undefined ? [] : [{...queue, service}];
		});
		const {key, value} = encodeConfiguration(queues, plan.isGuarding, plan.moves?.sparePool, {accounts: currentAccounts, version, services});
		store.write(key, value);
	}

	function writeAccounts(accounts: readonly AccountPlan[] | undefined): void {
		currentAccounts = accounts;
		writeVersion();
		if (accounts !== undefined) {
			accountKeys.update(accounts);
			observe({kind: 'accounts-written', version, accounts});
		}
	}

	writeAccounts(plan.accounts?.initial);
	const jobs = new Map(plan.jobs.map(({job}) => [job.jobId, job]));
	const advisedQueues = new Set(plan.queues.filter(({advice}) => advice !== undefined).map(({queue}) => queue));
	const advice = createAdviceStandin({...adviceTimes, mayRun: mayRunAdvised, isLost: callNumber => callNumber % callsPerLostAnswer === 0});
	const adviceAddress = advisedQueues.size === 0 ? '' : await advice.listen();
	const endpoints: EndpointStandin[] = [];
	async function startEndpoint({id, service, clockRate}: EndpointPlan): Promise<void> {
		const endpoint = createEndpointStandin({
			id, service, clockRate, store, links, observe, rack: `r1-${endpoints.length}`, capacity: plan.endpointCapacity, isGuarding: plan.isGuarding,
			findTask: taskId => findPlannedTask(jobs, taskId), getLateMs: lateness => drawBetween(random, lateOrderMs[lateness].min, lateOrderMs[lateness].max),
			getHeldMs: () => hasChance(random, 0.5) ? drawBetween(random, 0, maxHeldMs) : 0,
			isTicketValid: (ticket, taskId) => !advisedQueues.has(findPlannedTask(jobs, taskId)?.job.queue ?? '') || (ticket !== undefined && advice.isTicketValid(ticket, taskId, id)),
		});
		endpoints.push(endpoint);
		await endpoint.start();
	}

	await Promise.all(plan.endpoints.map(async endpoint => startEndpoint(endpoint)));
	const machineService = createMachineServiceStandin(createMachineOptions(plan, random, {
		onLeft(endpointId) {
			endpoints.find(({id}) => id === endpointId)?.leave();
		},
		async onJoined(machine, service) {
			if (service === plan.moves?.sparePool) {
				return undefined;
			}

			const id = `${service}-${machine}-${endpoints.length}`;
			await startEndpoint({id, service, clockRate: 1});
			return id;
		},
	}));
	const machineServiceAddress = await machineService.listen();

	const entries = new Map<string, Entry>();
	const callers = new Map<string, CallerStandin>();
	let isClosing = false;
	const processes = createEntryProcesses({
		command: loadEntryCommand(),
		logFolder,
		onStart(entry, pid) {
			observe({kind: 'entry-started', entry, pid});
		},
		onExit(entry, pid, isOwnEnd) {
			if (isClosing) {
				return;
			}

			observe({
				kind: 'entry-exited', entry, pid, isOwnEnd,
			});
			if (isOwnEnd) {
				setTimeout(startEntry, restartMs, entry);
			}
		},
	});

	function startEntry(entry: string): void {
		const known = entries.get(entry);
		if (known !== undefined && !isClosing && !processes.isRunning(entry)) {
			processes.start(entry, known.settingsPath);
		}
	}

	for (const entry of plan.entries) {
		// eslint-disable-next-line no-await-in-loop
		const [callerPort = 0, readinessPort = 0, controlPort = 0] = await findFreePorts(3);
		const settingsPath = path.join(logFolder, `${entry}.conf`);
		writeFileSync(settingsPath, encodeEntrySettings({
			entry, host: entryHost, callerPort, readinessPort, controlPort, machineServiceAddress, adviceAddress,
			// eslint-disable-next-line no-await-in-loop
			storeAddress: await store.listen(entry),
		}, plan.accounts === undefined ? {} : accountSettings));
		entries.set(entry, {settingsPath, readinessPort});
		callers.set(entry, createCallerStandin(entryHost, callerPort));
		startEntry(entry);
	}

	return {
		plan, random, links, store, endpoints, callers, processes, observations, logFolder, observe, getNowMs, startEntry, accountKeys, writeAccounts,
		writeQueue(queue, service) {
			changedServices.set(queue, service);
			writeVersion();
			observe({kind: 'queue-written', queue, service});
		},
		findOwner(service) {
			const tokens = endpoints.filter(endpoint => endpoint.service === service).map(endpoint => endpoint.getHighestToken());
			return store.findWriter(getClaimToken(Math.max(0, ...tokens)));
		},
		async waitUntilReady() {
			const ports = [...entries.values()].map(({readinessPort}) => readinessPort);
			const giveUpAt = performance.now() + readyTimeoutMs;
			while (performance.now() < giveUpAt) {
				// eslint-disable-next-line no-await-in-loop
				const answers = await Promise.all(ports.map(async port => isReady(port)));
				if (answers.every(Boolean)) {
					return;
				}

				// eslint-disable-next-line no-await-in-loop
				await delay(probeIntervalMs);
			}

			throw new Error(`the entries are not ready after ${readyTimeoutMs} ms; their logs are in ${logFolder}`);
		},
		async close() {
			isClosing = true;
			stopWatchingDelay();
			processes.killAll();
			for (const part of [...callers.values(), ...endpoints, machineService, advice, store]) {
				part.close();
			}

			await closeFile(record);
		},
	};
}

/** Describes the machines of a plan, one for each endpoint and those that are switched off; undefined if no machine is moved. */
function createMachineOptions({endpoints, endpointCapacity, moves}: RunPlan, random: RandomSource, callbacks: Pick<MachineServiceOptions, 'onLeft' | 'onJoined'>): MachineServiceOptions | undefined {
	if (moves === undefined) {
		return undefined;
	}

	const {mode, sparePool, spareMachines} = moves;
	return {
		...callbacks,
		machines: [
			...endpoints.map(({id, service}) => ({machine: `machine-of-${id}`, pool: service, endpointId: id})),
			...spareMachines.map(machine => ({machine, pool: sparePool ?? '', endpointId: undefined})),
		],
		capacity: endpointCapacity,
		moveMs,
		chooseOutcome: () => mode === 'mixed' ? moveOutcomes[random.getInteger(moveOutcomes.length)]! : mode,
	};
}

/** Records the times at which this process was too busy to answer as a disturbance of the store. @returns A function that stops it. */
function watchEventLoop(observe: Observe): () => void {
	let expectedAt = performance.now() + delayProbeMs;
	let number = 0;
	const timer = setInterval(() => {
		if (performance.now() > expectedAt + maxDelayMs) {
			number -= 1;
			observe({
				kind: 'fault-started', number, fault: 'driver-delayed', participants: ['store'],
			});
			observe({
				kind: 'fault-ended', number, fault: 'driver-delayed', participants: ['store'],
			});
		}

		expectedAt = performance.now() + delayProbeMs;
	}, delayProbeMs);
	return () => {
		clearInterval(timer);
	};
}

async function closeFile(file: WriteStream): Promise<void> {
	await new Promise<void>(resolve => {
		file.end(resolve);
	});
}

async function isReady(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const message = sendRequest({
			host: entryHost, port, path: readinessPath, timeout: probeTimeoutMs, agent: false,
		}, response => {
			response.resume();
			resolve(response.statusCode === 200);
		});
		message.on('timeout', () => {
			message.destroy();
		});
		message.on('error', () => {
			resolve(false);
		});
		message.end();
	});
}
