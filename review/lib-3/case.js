/** What the cases share: the record, the verdict, the time limit and a small deployment of stand-ins and entries. */
import {randomBytes} from 'node:crypto';
import {appendFileSync, existsSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createEntries} from './entries.js';
import {sendRequest} from './http.js';
import {startStore} from './store.js';
import {startWorker} from './workers.js';

const limitMs = 115_000;
const readyLimitMs = 20_000;
const exitCodes = {held: 0, broken: 1, failed: 2};
const host = 'desk.example';

export const pause = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

export const createId = () => randomBytes(8).toString('hex');

/** Whether the case brings its disruption about. */
export const isTroubled = process.env.TROUBLE !== '0';

/**
Runs a case and ends the process with its verdict.

@param play - Returns the rules that were broken, as text; none if all held.
*/
export async function runCase(caseUrl, play) {
	const recordFile = fileURLToPath(new URL('record.txt', caseUrl));
	const startedAt = performance.now();
	const cleanups = [];
	writeFileSync(recordFile, '');
	const record = text => {
		appendFileSync(recordFile, `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)}  ${text}\n`);
	};

	async function end(verdict, text) {
		record(`verdict: ${verdict}. ${text}`);
		await Promise.all(cleanups.map(async cleanUp => cleanUp()));
		process.stdout.write(`${verdict}: ${text}\n`);
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(exitCodes[verdict]);
	}

	setTimeout(end, limitMs, 'failed', 'the case took too long');
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, () => {
			end('failed', `ended by ${signal}`);
		});
	}

	record(isTroubled ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
	try {
		const broken = await play({record, onEnd: cleanUp => cleanups.push(cleanUp), startedAt});
		await end(broken.length === 0 ? 'held' : 'broken', broken.length === 0 ? 'all rules held' : broken.join('; '));
	} catch (error) {
		await end('failed', error.stack);
	}
}

/** Starts a store, the workers of one service and three entries, and waits until all entries are ready. */
export async function startDeployment({record, onEnd}, {
	workerCount, getWork, observeWorker, observeEntryEnd = () => {}, configuration, settings,
}) {
	if (!existsSync(new URL('../../target/pistachiogauge-entry.js', import.meta.url))) {
		throw new Error('target/ has not been built');
	}

	const store = await startStore();
	onEnd(async () => store.stop());
	const route = {
		Name: 'r-desk', Host: host, Prefix: '/jobs/', RouteType: 'unsafe', TimeoutMs: 3000, TargetLatencyMs: 600, Priority: 0, Service: 'desk', Attempts: 2, Stretch: 1.6,
	};
	store.write('op/config', {
		Version: 1, Routes: [route], Services: [{Name: 'desk', AdmissionCheck: true}], Limits: {}, ...configuration,
	});
	const workers = await Promise.all(Array.from({length: workerCount}, async (_, index) => startWorker({
		id: `i-${index}`, pool: 'desk', store, labels: ['a', `r1-${Math.floor(index / 4)}`], getWork, observe: observeWorker,
	})));
	onEnd(async () => {
		for (const worker of workers) {
			worker.stop();
		}
	});
	const deployment = await createEntries({names: ['front-a-1', 'front-b-1', 'front-c-1'], getAddresses: () => ({storeAddress: store.address, extra: settings})});
	onEnd(async () => deployment.stop());
	deployment.onEnd((entry, code, signal) => {
		record(`process of ${entry.name} ended by itself: code ${code}, signal ${signal}`);
		observeEntryEnd(entry);
	});
	deployment.startAll();
	const deadline = performance.now() + readyLimitMs;
	for (const index of deployment.entries.keys()) {
		// eslint-disable-next-line no-await-in-loop
		while (!await isReady(deployment, index)) {
			if (performance.now() > deadline) {
				throw new Error('the entries are not ready');
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(200);
		}
	}

	// Traffic starts once the pool has an owner and the workers are in use.
	await pause(3000);
	record(`${workerCount} workers and ${deployment.entries.length} entries are up`);
	return {store, workers, deployment};
}

async function isReady(deployment, index) {
	const {status} = await sendRequest({
		address: deployment.getReady(index), method: 'GET', path: '/pistachiogauge/ready', host, timeoutMs: 1000,
	});
	return status === 200;
}

/** A client as on the sheet: a time limit of 3 s and four retries, which reach other entries. */
export function createClient(deployment, record, apiKey) {
	let next = 0;
	async function call(method, id, body) {
		let answer;
		for (let attempt = 0; attempt <= 4; attempt++) {
			const index = next % deployment.entries.length;
			next += 1;
			// eslint-disable-next-line no-await-in-loop
			answer = await sendRequest({
				address: deployment.getFront(index), method, path: `/jobs/${id}`, host, body, apiKey,
			});
			record(`${method} ${id} at ${deployment.entries[index].name}: ${answer.status ?? 'no answer'}${answer.body?.State === undefined ? '' : ` ${answer.body.State}`}`);
			if (answer.status !== undefined && ![429, 502, 503, 504].includes(answer.status)) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(300);
		}

		return answer;
	}

	return {
		submit: async (id, body) => call('POST', id, body),
		getState: async id => call('GET', id),
		cancel: async id => call('DELETE', id),
	};
}
