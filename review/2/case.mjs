import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {judgeLost, runCase, startInstallation} from '../lib/installation.mjs';

const lastingJobCount = 30;

const createLastingId = index => (0xA0_00 + index).toString(16).padStart(16, '0');
const folder = fileURLToPath(new URL('.', import.meta.url));
await runCase(async hasTrouble => {
	const installation = await startInstallation({
		folder,
		entryCount: 3,
		workers: [
			...Array.from({length: 6}, (_, index) => ({id: `i-a${index + 1}`, labels: ['a', `r1-${index + 1}`]})),
			{id: 'i-b1', labels: ['b', 'r1-7']},
		],
		queues: [
			{Name: 'prints', Prefix: '/prints/'},
			{
				Name: 'syncs', Prefix: '/syncs/', TargetLatencyMs: 2500, Stretch: 2.2,
			},
		],
	});
	try {
		await installation.waitUntilReady();
		await installation.occupy('/syncs/', 'a', 6);
		for (let index = 0; index < lastingJobCount; index++) {
			// eslint-disable-next-line no-await-in-loop
			await installation.submit('/syncs/', createLastingId(index), {
				Spec: `sync ${index}`,
				Steps: [{
					Count: 1, Cpu: 300, MemMb: 500, EstimateMs: 500, LongRunning: true, Constraints: 'b',
				}],
			});
		}

		for (let index = 0; index < lastingJobCount; index++) {
			// eslint-disable-next-line no-await-in-loop
			await installation.waitForRuns(createLastingId(index), 1);
		}

		await delay(3000);
		if (hasTrouble) {
			installation.workers.get('i-b1').crash();
		}

		// The worker's entry goes after 4.5 s, and its lease ends after 6 s.
		await delay(10_000);
		const prints = ['00000000000b0001', '00000000000b0002', '00000000000b0003'];
		for (const id of prints) {
			// eslint-disable-next-line no-await-in-loop
			const {status} = await installation.submit('/prints/', id, {
				Spec: 'print ms=800', Steps: [{
					Count: 4, Cpu: 900, MemMb: 1800, EstimateMs: 800,
				}],
			});
			if (status !== 200) {
				throw new Error(`the job was not accepted: ${status}`);
			}
		}

		return await judgeLost(installation, '/prints/', prints, 6 * 16_000);
	} finally {
		await installation.close();
	}
});
