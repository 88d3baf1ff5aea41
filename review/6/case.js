// A route is removed and comes back with another service, while a job that was accepted by it is at work.
import {setTimeout as delay} from 'node:timers/promises';
import {sendCall} from '../lib-2/client.js';
import {startCloud} from '../lib-2/cloud.js';
import {startEntries} from '../lib-2/entries.js';
import {createManifest} from '../lib-2/manifest.js';
import {runCase} from '../lib-2/run-case.js';
import {createStore} from '../lib-2/store.js';
import {startWorker} from '../lib-2/worker.js';

const capacity = {cpu: 16_000, memMb: 65_536};
const services = ['dispatch', 'billing'];
const workItem = {cpu: 880, memMb: 512, durationMs: 25_000};
const prefix = '/puxa400/';
const jobId = '5c0e7a21d94b36f8';
const configApplyMs = 2000;

await runCase(import.meta.url, async ({record, isTroubled, closers}) => {
	const faults = [];
	const running = new Map();
	const store = createStore();
	closers.push(store.close);
	const writeManifest = (version, service) => {
		store.write('op/config', createManifest({version, services, routes: service === undefined ? [] : [{name: 'badge-print', prefix, service}]}));
		record.add(`operator: manifest ${version} ${service === undefined ? 'without the route' : `sends the route to ${service}`}; acknowledged`);
	};

	writeManifest(4, 'dispatch');
	const observe = ({kind, worker, service, task, run, how}) => {
		record.add(`worker ${worker} of ${service}: ${task} run ${run} ${kind}${how === undefined ? '' : ` ${how}`}`);
		if (kind === 'started') {
			const others = [...running].filter(([, name]) => name === task).map(([key]) => key);
			if (others.length > 0) {
				faults.push(`TWICE: ${task} was started on ${worker} of ${service} while it was running on ${others.join(', ')}`);
			}

			running.set(`${worker} of ${service}`, task);
		} else if (kind === 'ended') {
			running.delete(`${worker} of ${service}`);
		}
	};

	const machines = [];
	for (const service of services) {
		for (const number of [1, 2]) {
			const id = `i-${service}-${number}`;
			// eslint-disable-next-line no-await-in-loop
			const worker = await startWorker({
				id, service, rack: 'r1-1', capacity, store, observe, findTask: () => workItem,
			});
			closers.push(worker.close);
			machines.push({machine: `m-${service}-${number}`, pool: service, endpointId: id});
		}
	}

	const cloud = await startCloud({
		machines, pools: services, capacity, store,
	});
	closers.push(cloud.close);
	const entries = await startEntries({names: ['front-a-1', 'front-b-1'], store, cloudAddress: cloud.address});
	closers.push(entries.close);
	if (!await entries.waitUntilReady()) {
		throw new Error('the entries did not become ready');
	}

	await delay(1500);
	const call = async (entry, method) => {
		const body = method === 'POST'
			? {
				Spec: 'badge', Steps: [{
					Count: 1, Cpu: workItem.cpu, MemMb: workItem.memMb, EstimateMs: 20_000,
				}],
			}
			: undefined;
		record.add(`client: ${method} ${prefix}${jobId} to ${entry}`);
		const answer = await sendCall({
			port: entries.getFrontPort(entry), method, path: `${prefix}${jobId}`, body,
		});
		record.add(`client: ${answer.status} ${JSON.stringify(answer.body)} from ${entry}`);
		return answer;
	};

	const {status} = await call('front-a-1', 'POST');
	if (status !== 200) {
		throw new Error('the job was not accepted');
	}

	await delay(3500);
	if (running.size !== 1) {
		throw new Error('the job was not started');
	}

	if (isTroubled) {
		writeManifest(7, undefined);
		await delay(2500);
		writeManifest(9, 'billing');
	} else {
		await delay(2500);
	}

	await delay(configApplyMs + 1000);
	for (const entry of ['front-a-1', 'front-b-1']) {
		// eslint-disable-next-line no-await-in-loop
		const state = await call(entry, 'GET');
		if (state.status === 410) {
			faults.push(`LOST: ${entry} answered 410 to a GET for the accepted job, which runs and was not cancelled`);
		}
	}

	// Some seconds after the 2xx the same request arrives again.
	await call('front-b-1', 'POST');
	await delay(5000);
	await call('front-a-1', 'GET');
	return faults;
});
