import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {judgeLost, runCase, startInstallation} from '../lib/installation.mjs';

/** Largest share of `applied_late` that `fleetbench kinds` names, and its length in the site file. */
const lateShare = 0.5;
const spellMs = 5500;
const spellCount = 3;
const workerCount = 3;

/** Creates a source of random numbers from 0 to 1. */
function createRandom(seed) {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
}

const folder = fileURLToPath(new URL('.', import.meta.url));
await runCase(async hasTrouble => {
	const random = createRandom(1);
	let areOrdersLate = false;
	const installation = await startInstallation({
		folder,
		entryCount: 3,
		workers: Array.from({length: workerCount}, (_, index) => ({id: `i-a${index + 1}`, labels: ['a', `r1-${index + 1}`]})),
		queues: [
			{Name: 'prints', Prefix: '/prints/'},
			{
				Name: 'syncs', Prefix: '/syncs/', TargetLatencyMs: 2500, Stretch: 2.2,
			},
		],
		// An order that is not answered is carried out 2 to 12 s later.
		mayAnswer: () => areOrdersLate && random() < lateShare ? 'late' : 'answer',
		lateMs: () => 2000 + (10_000 * random()),
	});
	try {
		await installation.waitUntilReady();
		await installation.occupy('/syncs/', 'a', workerCount);
		let number = 0;
		for (let spell = 0; spell < spellCount; spell++) {
			areOrdersLate = hasTrouble;
			const until = installation.now() + spellMs;
			while (installation.now() < until) {
				number += 1;
				const id = (0xC0_00 + number).toString(16).padStart(16, '0');
				// eslint-disable-next-line no-await-in-loop
				const {status} = await installation.submit('/prints/', id, {
					Spec: 'print ms=1600', Steps: [{
						Count: 12, Cpu: 1500, MemMb: 3000, EstimateMs: 1600,
					}],
				});
				// eslint-disable-next-line no-await-in-loop
				await delay(100);
				if (status === 200) {
					// The client leaves early and cancels its job.
					// eslint-disable-next-line no-await-in-loop
					await installation.ask('DELETE', `/prints/${id}`);
				}

				// eslint-disable-next-line no-await-in-loop
				await delay(600);
			}

			areOrdersLate = false;
			// eslint-disable-next-line no-await-in-loop
			await delay(1500);
		}

		// The last late orders have been carried out by then, and every worker has answered for 12 s.
		await delay(12_500);
		const ids = ['00000000000d0001', '00000000000d0002', '00000000000d0003'];
		for (const id of ids) {
			// eslint-disable-next-line no-await-in-loop
			const {status} = await installation.submit('/prints/', id, {
				Spec: 'print ms=800', Steps: [{
					Count: 1, Cpu: 5700, MemMb: 5400, EstimateMs: 800,
				}],
			});
			if (status !== 200) {
				throw new Error(`the job was not accepted: ${status}`);
			}
		}

		return await judgeLost(installation, '/prints/', ids, workerCount * 16_000);
	} finally {
		await installation.close();
	}
});
