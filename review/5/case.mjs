import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase, startInstallation} from '../lib/installation.mjs';

/** `visible_ms` and 2 s. */
const countedAfterMs = 5000;
const folder = fileURLToPath(new URL('.', import.meta.url));
await runCase(async hasTrouble => {
	const installation = await startInstallation({
		folder,
		entryCount: 3,
		workers: Array.from({length: 7}, (_, index) => ({id: `i-a${index + 1}`, labels: ['a', `r1-${index + 1}`]})),
		queues: [
			{Name: 'prints', Prefix: '/prints/'},
			{
				Name: 'syncs', Prefix: '/syncs/', TargetLatencyMs: 2500, Stretch: 2.2,
			},
		],
	});
	try {
		await installation.waitUntilReady();
		await installation.occupy('/syncs/', 'a', 7);
		// The next work items go to the fullest worker.
		await installation.submit('/prints/', '0000000000005000', {
			Spec: 'print ms=60000', Steps: [{
				Count: 1, Cpu: 1300, MemMb: 4800, EstimateMs: 60_000,
			}],
		});
		await installation.waitForRuns('0000000000005000', 1);
		await delay(3000);
		const {worker} = installation.events.findLast(({kind}) => kind === 'start');
		if (hasTrouble) {
			installation.workers.get(worker).crash({isDark: true});
		}

		const acceptedAt = new Map();
		for (let index = 0; index < 10; index++) {
			const id = (0x10_00 + index).toString(16).padStart(16, '0');
			// eslint-disable-next-line no-await-in-loop
			const {status} = await installation.submit('/prints/', id, {
				Spec: 'print ms=800', Steps: [{
					Count: 1, Cpu: 900, MemMb: 1800, EstimateMs: 800,
				}],
			});
			if (status !== 200) {
				throw new Error(`the job was not accepted: ${status}`);
			}

			acceptedAt.set(id, installation.now());
		}

		const wrong = [];
		const until = installation.now() + 9000;
		while (installation.now() < until) {
			// eslint-disable-next-line no-await-in-loop
			await delay(100);
			const askedAt = installation.now();
			// eslint-disable-next-line no-await-in-loop
			const {status, body} = await installation.ask('GET', '/prints/');
			const begun = new Set(installation.events.filter(({kind}) => kind === 'start').map(({task}) => task.split('.')[0]));
			const waiting = [...acceptedAt].filter(([id, at]) => at < askedAt - countedAfterMs && !begun.has(id)).length;
			if (status === 200 && waiting > 0 && body.Waiting < waiting / 2) {
				wrong.push({at: askedAt, said: body.Waiting, waiting});
			}
		}

		installation.record('verdict', {wrong});
		return {isBroken: wrong.length > 0, text: wrong.length > 0 ? `MIXED is broken ${wrong.length} times, first: ${JSON.stringify(wrong[0])}` : 'MIXED holds'};
	} finally {
		await installation.close();
	}
});
