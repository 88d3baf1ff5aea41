// Machines that are off are moved to a pool whose work waits; the machine service is unavailable for a moment, while a wave with a Cap of 1 is due for the same machines.
import {setTimeout as delay} from 'node:timers/promises';
import {sendCall} from '../lib-2/client.js';
import {startCloud} from '../lib-2/cloud.js';
import {startEntries} from '../lib-2/entries.js';
import {createManifest} from '../lib-2/manifest.js';
import {runCase} from '../lib-2/run-case.js';
import {createStore} from '../lib-2/store.js';
import {startWorker} from '../lib-2/worker.js';

const capacity = {cpu: 16_000, memMb: 65_536};
const service = 'dispatch';
const spare = 'misc';
const prefix = '/puxa400/';
const spareMachines = ['m-11', 'm-12', 'm-13', 'm-14', 'm-15', 'm-16'];
const workItem = {cpu: 8000, memMb: 1024, durationMs: 1500};
/** Time for which the machine service answers 503, from the first order to move a machine after the wave. */
const unavailableMs = 2000;
const waveCap = 1;

await runCase(import.meta.url, async ({record, isTroubled, closers}) => {
	const faults = [];
	const workers = new Map();
	const store = createStore();
	closers.push(store.close);
	store.write('op/config', createManifest({
		version: 4, services: [service, spare], spare, routes: [{name: 'route-plan', prefix, service}],
	}));
	const observeWorker = ({kind, worker, task, run, how}) => {
		record.add(`worker ${worker}: ${task} run ${run} ${kind}${how === undefined ? '' : ` ${how}`}`);
	};

	const startMachine = async machine => {
		const id = `i-${machine}-${record.getNow()}`;
		const worker = await startWorker({
			id, service, rack: 'r1-1', capacity, store, observe: observeWorker, findTask: () => workItem,
		});
		closers.push(worker.close);
		workers.set(id, worker);
		return id;
	};

	const machines = spareMachines.map(machine => ({machine, pool: spare, endpointId: undefined}));
	for (const machine of ['m-1', 'm-2']) {
		// eslint-disable-next-line no-await-in-loop
		machines.push({machine, pool: service, endpointId: await startMachine(machine)});
	}

	let isWaveDue = false;
	let unavailableUntil;
	const cloud = await startCloud({
		machines, pools: [service, spare], capacity, store,
		onLeft(id) {
			workers.get(id)?.leave();
		},
		onJoined: async (machine, pool) => pool === spare ? undefined : startMachine(machine),
		observe({kind, order, machine, status, downCount, cap}) {
			if (kind === 'upkeep') {
				record.add(`machine service: the upkeep of ${machine} begins beside ${downCount} others that are down for theirs; Cap ${cap}`);
				if (downCount >= cap) {
					faults.push(`LIMIT: the upkeep of ${machine} begins while ${downCount} machines of the wave are down for theirs; Cap ${cap}`);
				}
			} else {
				record.add(`machine service: ${kind} ${order ?? ''} ${machine} ${status ?? ''}`);
			}
		},
		chooseFault(order) {
			if (isTroubled && isWaveDue && order === 'machine-move') {
				unavailableUntil ??= performance.now() + unavailableMs;
			}

			return performance.now() < unavailableUntil ? {status: 503} : undefined;
		},
	});
	closers.push(cloud.close);
	const entries = await startEntries({names: ['front-a-1', 'front-b-1'], store, cloudAddress: cloud.address});
	closers.push(entries.close);
	if (!await entries.waitUntilReady()) {
		throw new Error('the entries did not become ready');
	}

	await delay(3000);
	store.write('op/wave/1', {
		Wave: 1, Machines: spareMachines, DurationS: 20, Cap: waveCap,
	});
	isWaveDue = true;
	record.add(`operator: wave 1 of ${spareMachines.length} machines, Cap ${waveCap}`);
	await delay(400);
	for (let number = 0; number < 60; number++) {
		const id = (1000 + number).toString(16).padStart(16, '0');
		// eslint-disable-next-line no-await-in-loop
		const {status} = await sendCall({
			port: entries.getFrontPort('front-a-1'), method: 'POST', path: `${prefix}${id}`, body: {
				Spec: 'route plan', Steps: [{
					Count: 2, Cpu: workItem.cpu, MemMb: workItem.memMb, EstimateMs: workItem.durationMs,
				}],
			},
		});
		record.add(`client: POST ${prefix}${id}: ${status}`);
		// eslint-disable-next-line no-await-in-loop
		await delay(150);
	}

	await delay(15_000);
	return faults;
});
