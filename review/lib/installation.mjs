/* eslint-disable promise/prefer-await-to-then */
/* eslint-disable unicorn/no-process-exit */
import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, request as sendRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {findFreePorts, readJson, sendJson} from './http-helpers.mjs';
import {createStoreStandin} from './store-standin.mjs';
import {createWorkerStandin} from './worker-standin.mjs';

const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const host = 'desk.example';
const defaultQueue = {
	Host: host, RouteType: 'unsafe', TimeoutMs: 3000, TargetLatencyMs: 600, Priority: 0, Attempts: 2, Stretch: 1.6,
};

/**
Starts an installation on loopback addresses: entries as separate processes, with the command of the deploy file, and stand-ins for the store, the workers, the machine service and the advice service.

@param options.folder - Folder of the case; the record goes into `record.txt` there.
@param options.adviseStep - Returns the ids of the workers that may run a step, from those asked for.
*/
export async function startInstallation({
	folder, entryCount, workers, queues, admissionCheck = true, adviseStep, mayAnswer, lateMs, recordsLeases = false,
}) {
	const startedAt = performance.now();
	const events = [];
	const recordFile = createWriteStream(path.join(folder, 'record.txt'));
	const logFolder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const jobs = new Map();
	const entries = new Map();
	const servers = [];

	function record(kind, fields) {
		const event = {at: Math.round(performance.now() - startedAt), kind, ...fields};
		events.push(event);
		recordFile.write(`${JSON.stringify(event)}\n`);
	}

	const getStep = task => {
		const parts = task.split('.');
		return jobs.get(parts[0])?.Steps[Number(parts[2])] ?? {};
	};

	const store = createStoreStandin();
	const recordLease = fields => {
		record('lease', {...fields, node: store.nodeByRevision.get(fields.token)});
	};

	const service = 'desk';
	store.write('op/config', {
		Version: 7,
		Routes: queues.map(queue => ({...defaultQueue, Service: service, ...queue})),
		Services: [{
			Name: service, HealthPath: '/healthz', MaxConnections: 64, Protocol: 'h1', Tls: false, AdmissionCheck: admissionCheck, Spare: false,
		}],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
	});
	const standins = workers.map(worker => createWorkerStandin({
		service, zone: 'zone-a', capacity: {Cpu: 16_000, MemMb: 65_536}, isGuarding: admissionCheck, mayAnswer, lateMs, ...worker, store, record, getStep,
		...(recordsLeases && {recordLease}),
	}));
	await Promise.all(standins.map(async worker => worker.start()));

	async function serve(handle) {
		const server = createServer((message, response) => {
			handle(message, response).catch(() => {
				response.destroy();
			});
		});
		servers.push(server);
		await new Promise(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${server.address().port}`;
	}

	const cloudAddress = await serve(async (message, response) => {
		if (message.method === 'GET') {
			sendJson(response, 200, {Machines: standins.map(worker => worker.getMachine()), NextToken: null});
			return;
		}

		// There is one pool and no wave, so no order is expected.
		record('machine order', {path: message.url, body: await readJson(message)});
		sendJson(response, 400, {});
	});
	const adviceAddress = adviseStep === undefined
		? ''
		: await serve(async (message, response) => {
			const {Step, Workers} = await readJson(message);
			const good = adviseStep(Step).filter(id => Workers.includes(id));
			record('advice', {step: Step, asked: Workers, good});
			setTimeout(() => {
				sendJson(response, 200, {Good: good.map(id => [id, `ticket-${id}`]), ValidMs: 3000});
			}, 20);
		});

	process.on('exit', () => {
		for (const {child} of entries.values()) {
			child.kill('SIGKILL');
		}
	});

	function startEntry(entry) {
		const child = spawn('node', ['--max-old-space-size=160', '--max-semi-space-size=32', 'target/pistachiogauge-entry.js', 'jobs'], {
			cwd: repository, env: {PATH: process.env.PATH, HOME: process.env.HOME, PISTACHIOGAUGE_CONFIG: entry.settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		child.stdout.pipe(createWriteStream(path.join(logFolder, `${entry.node}.log`), {flags: 'a'}));
		child.stderr.pipe(createWriteStream(path.join(logFolder, `${entry.node}.log`), {flags: 'a'}));
		entry.child = child;
		record('entry started', {node: entry.node, pid: child.pid});
	}

	for (let index = 1; index <= entryCount; index++) {
		const node = `front-${index}`;
		// eslint-disable-next-line no-await-in-loop
		const [front, ready, control] = await findFreePorts(3);
		// eslint-disable-next-line no-await-in-loop
		const storeAddress = await store.listen(node);
		const settingsPath = path.join(logFolder, `${node}.conf`);
		writeFileSync(settingsPath, [
			`NodeName=${node}`,
			'Zone=zone-a',
			'Limits.CpuShare=0.675',
			'Limits.Cores=1',
			`Listen.Front=127.0.0.1:${front}`,
			`Listen.Ready=127.0.0.1:${ready}`,
			`Listen.Control=127.0.0.1:${control}`,
			`platform.Address=${storeAddress}`,
			'platform.TtlMinMs=1000',
			`Cloud.Address=${cloudAddress}`,
			`Advice=${adviceAddress}`,
			'Orders=call',
			'Bounds.LeaseMs=3000',
			'Bounds.GraceS=6',
			'Bounds.HoldMaxMs=10000',
			'Bounds.StopMs=900',
			'',
		].join('\n'));
		const entry = {
			node, front, ready, settingsPath,
		};
		entries.set(node, entry);
		startEntry(entry);
	}

	async function call(port, method, target, body) {
		return new Promise(resolve => {
			const message = sendRequest({
				host: '127.0.0.1', port, method, path: target, headers: {host, ...(body !== undefined && {'content-type': 'application/json'})}, timeout: 3000, agent: false,
			}, async response => {
				try {
					resolve({status: response.statusCode, body: await readJson(response)});
				} catch {
					resolve({status: response.statusCode, body: {}});
				}
			});
			message.on('timeout', () => {
				message.destroy();
			});
			message.on('error', () => {
				resolve({status: 0, body: {}});
			});
			message.end(body === undefined ? undefined : JSON.stringify(body));
		});
	}

	const installation = {
		events,
		record,
		store,
		workers: new Map(standins.map(worker => [worker.id, worker])),
		entries,
		/** Time in ms since the start. */
		now: () => Math.round(performance.now() - startedAt),
		/** Sends a client's request to an entry, and to the others until one gives a final answer. */
		async ask(method, target, body, {first = 'front-1', tries = 5} = {}) {
			const nodes = [first, ...[...entries.keys()].filter(node => node !== first)];
			let answer = {status: 0, body: {}};
			for (let attempt = 0; attempt < tries; attempt++) {
				const {node, front} = entries.get(nodes[attempt % nodes.length]);
				// eslint-disable-next-line no-await-in-loop
				answer = await call(front, method, target, body);
				record('answer', {
					method, target, node, status: answer.status, body: answer.body,
				});
				if (answer.status !== 0 && answer.status < 500 && answer.status !== 429) {
					break;
				}

				// eslint-disable-next-line no-await-in-loop
				await delay(300);
			}

			return answer;
		},
		/** Hands a job in. */
		async submit(prefix, jobId, job, options) {
			jobs.set(jobId, job);
			record('submit', {prefix, job: jobId, steps: job.Steps});
			return installation.ask('POST', `${prefix}${jobId}`, job, options);
		},
		/** Runs a lasting work item on each worker of a kind, so that the pool has no machine to spare. */
		async occupy(prefix, kind, count) {
			const jobId = `00000000000000${kind}0`;
			await installation.submit(prefix, jobId, {
				Spec: 'sync', Steps: [{
					Count: count, Cpu: 300, MemMb: 500, EstimateMs: 500, LongRunning: true, AntiAffinity: 1, Constraints: kind,
				}],
			});
			await installation.waitForRuns(jobId, count);
		},
		/** Waits until all entries report that they are ready. */
		async waitUntilReady() {
			for (let attempt = 0; attempt < 150; attempt++) {
				// eslint-disable-next-line no-await-in-loop
				const answers = await Promise.all([...entries.values()].map(async ({ready}) => call(ready, 'GET', '/pistachiogauge/ready')));
				if (answers.every(({status}) => status === 200)) {
					// eslint-disable-next-line no-await-in-loop
					await delay(3000);
					return;
				}

				// eslint-disable-next-line no-await-in-loop
				await delay(100);
			}

			throw new Error('the entries did not become ready');
		},
		/** The entry that gave the last order to a worker, known by the transaction that its fence number stands for. */
		findGiver() {
			const last = events.findLast(({kind}) => kind === 'start');
			return store.nodeByRevision.get(last?.token);
		},
		kill(node) {
			const entry = entries.get(node);
			entry.child.kill('SIGKILL');
			record('entry killed', {node, pid: entry.child.pid});
		},
		restart(node) {
			startEntry(entries.get(node));
		},
		/** Waits until a number of a job's work items run. */
		async waitForRuns(jobId, count) {
			for (let attempt = 0; attempt < 200; attempt++) {
				if (installation.countRuns(jobId) >= count) {
					return;
				}

				// eslint-disable-next-line no-await-in-loop
				await delay(100);
			}

			throw new Error(`job ${jobId} did not start`);
		},
		countRuns(jobId) {
			return standins.reduce((sum, {runs}) => sum + [...runs.keys()].filter(task => task.startsWith(jobId)).length, 0);
		},
		async close() {
			for (const {child} of entries.values()) {
				child.kill('SIGKILL');
			}

			for (const worker of standins) {
				worker.close();
			}

			store.close();
			for (const server of servers) {
				server.close();
				server.closeAllConnections();
			}

			await new Promise(resolve => {
				recordFile.end(resolve);
			});
			if (process.env.KEEP_LOGS === undefined) {
				rmSync(logFolder, {recursive: true, force: true});
			} else {
				console.log(`logs: ${logFolder}`);
			}
		},
	};
	return installation;
}

/** Waits, and returns whether a condition held all the while. */
export async function holdsThroughout(durationMs, check) {
	const until = performance.now() + durationMs;
	let holds = true;
	while (performance.now() < until) {
		holds &&= check();
		// eslint-disable-next-line no-await-in-loop
		await delay(50);
	}

	return holds;
}

/**
Judges LOST for jobs, `finish_s` after the last one was accepted: whether one that is not done has had nothing running for 3 s, while there is room for it twice over and under half of the service's capacity is in use.
*/
export async function judgeLost(installation, prefix, jobIds, capacityMillis) {
	const finishMs = 14_000;
	const idleMs = 3000;
	await delay(finishMs);
	const wasIdle = await holdsThroughout(idleMs + 500, () => jobIds.every(id => installation.countRuns(id) === 0));
	const states = [];
	for (const id of jobIds) {
		// eslint-disable-next-line no-await-in-loop
		const {body} = await installation.ask('GET', `${prefix}${id}`);
		states.push(body.State);
	}

	const usedMillis = [...installation.workers.values()].reduce((sum, worker) => sum + worker.computeUse().cpu, 0);
	installation.record('verdict', {
		states, wasIdle, usedMillis, capacityMillis,
	});
	const isBroken = wasIdle && usedMillis * 2 < capacityMillis && states.some(state => state !== 'done');
	return {isBroken, text: `LOST ${isBroken ? 'is broken' : 'holds'}: accepted jobs are ${states.join(', ')}; ${usedMillis} of ${capacityMillis} thousandths of a core are in use`};
}

/** Runs a case and ends with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` there is no disruption. */
export async function runCase(play) {
	// No timer of a stand-in may keep the case beyond its time.
	process.on('SIGTERM', () => {
		process.exit(2);
	});
	const limit = setTimeout(() => {
		console.log('the case took too long');
		process.exit(2);
	}, 115_000);
	let exitCode = 2;
	try {
		const verdict = await play(process.env.TROUBLE !== '0');
		console.log(verdict.text);
		exitCode = verdict.isBroken ? 1 : 0;
	} catch (error) {
		console.log(`the case could not run: ${error.stack}`);
	}

	clearTimeout(limit);
	process.exit(exitCode);
}
