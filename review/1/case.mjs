import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase, startInstallation} from '../lib/installation.mjs';

/** Length of one cut, as of `srv_cut` in `fleetbench kinds`; there are two, and the second begins before the first one ends. */
const cutMs = 5000;
const secondCutAfterMs = 4800;
const folder = fileURLToPath(new URL('.', import.meta.url));
await runCase(async hasTrouble => {
	/** The worker and the entry that are cut off from all others, but not from each other. */
	let cutWorker;
	let cutEntry;
	const installation = await startInstallation({
		folder,
		entryCount: 4,
		recordsLeases: true,
		workers: Array.from({length: 5}, (_, index) => ({id: `i-a${index + 1}`, labels: ['a', `r1-${index + 1}`]})),
		queues: [{
			Name: 'syncs', Prefix: '/syncs/', TargetLatencyMs: 2500, Stretch: 2.2,
		}],
		mayAnswer({worker, token}) {
			if (cutEntry === undefined) {
				return 'answer';
			}

			const entry = installation.store.nodeByRevision.get(token);
			return (worker === cutWorker) === (entry === cutEntry) ? 'answer' : 'drop';
		},
	});
	try {
		await installation.waitUntilReady();
		const id = '00000000000a0001';
		await installation.submit('/syncs/', id, {
			Spec: 'sync', Steps: [{
				Count: 1, Cpu: 1300, MemMb: 4800, EstimateMs: 500, LongRunning: true,
			}],
		});
		await installation.waitForRuns(id, 1);
		await delay(3000);
		const owner = installation.findGiver();
		const {worker} = installation.events.findLast(({kind}) => kind === 'start');
		installation.record('owner', {owner, worker});
		if (hasTrouble) {
			installation.store.cutNodes.add(owner);
			cutEntry = owner;
			cutWorker = worker;
			installation.record('cut begins', {entry: owner, worker});
			setTimeout(() => {
				installation.store.cutNodes.delete(owner);
				cutEntry = undefined;
				installation.record('cut ends', {entry: owner, worker});
			}, secondCutAfterMs + cutMs);
		}

		await delay(16_000);
		const running = new Map();
		const doubles = [];
		for (const {at, kind, worker: place, task, run} of installation.events) {
			if (kind === 'start') {
				for (const other of running.get(task)?.keys() ?? []) {
					doubles.push({
						at, task, run, worker: place, other,
					});
				}

				running.set(task, (running.get(task) ?? new Map()).set(place, run));
			}

			if (kind === 'end') {
				running.get(task)?.delete(place);
			}
		}

		installation.record('verdict', {doubles});
		return {isBroken: doubles.length > 0, text: doubles.length > 0 ? `TWICE is broken: ${JSON.stringify(doubles[0])}` : 'TWICE holds'};
	} finally {
		await installation.close();
	}
});
