import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase, startInstallation} from '../lib/installation.mjs';

const capacity = {Cpu: 16_000, MemMb: 65_536};
const folder = fileURLToPath(new URL('.', import.meta.url));
await runCase(async hasTrouble => {
	const installation = await startInstallation({
		folder,
		entryCount: 3,
		admissionCheck: false,
		workers: Array.from({length: 4}, (_, index) => ({
			id: `i-a${index + 1}`, labels: ['a', `r1-${index + 1}`], capacity, stopMs: 800,
		})),
		queues: [{Name: 'prints', Prefix: '/prints/'}],
	});
	try {
		await installation.waitUntilReady();
		const steps = [{
			Count: 16, Cpu: 4000, MemMb: 4000, EstimateMs: 15_000,
		}];
		const [first, second] = ['00000000000e0001', '00000000000e0002'];
		await installation.submit('/prints/', first, {Spec: 'report ms=15000', Steps: steps});
		await installation.waitForRuns(first, 16);
		await delay(1500);
		await installation.submit('/prints/', second, {Spec: 'report ms=3000', Steps: steps});
		await delay(1500);
		const killed = installation.findGiver();
		const survivor = [...installation.entries.keys()].find(node => node !== killed);
		if (hasTrouble) {
			installation.kill(killed);
			setTimeout(() => {
				installation.restart(killed);
			}, 1000);
		}

		await delay(300);
		const {status} = await installation.ask('DELETE', `/prints/${first}`, undefined, {first: survivor});
		if (status !== 200) {
			throw new Error(`the job was not cancelled: ${status}`);
		}

		await delay(15_000);
		const overloads = installation.events.filter(({kind, cpu, memory}) => kind === 'start' && (cpu > capacity.Cpu || memory > capacity.MemMb));
		const most = Math.max(0, ...overloads.map(({cpu}) => cpu));
		installation.record('verdict', {overloads: overloads.length, most});
		return {
			isBroken: overloads.length > 0,
			text: overloads.length > 0 ? `LIMIT is broken: ${overloads.length} starts on workers that had no room, up to ${most} of ${capacity.Cpu} thousandths of a core` : 'LIMIT holds',
		};
	} finally {
		await installation.close();
	}
});
