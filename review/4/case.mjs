import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {holdsThroughout, runCase, startInstallation} from '../lib/installation.mjs';

const workerCount = 44;
const createId = index => `i-a${String(index).padStart(2, '0')}`;
/** Workers that may run the step. */
const goodIds = [createId(1), createId(41), createId(42), createId(43)];
/** A lasting work item has to have a run again from this time after its last one. */
const restartMs = 6000;
/** Time before that has to be calm. */
const calmMs = 4000;
/** The rule asks for 3 s; the case looks on for longer. */
const watchedMs = 15_000;
const folder = fileURLToPath(new URL('.', import.meta.url));
await runCase(async hasTrouble => {
	const installation = await startInstallation({
		folder,
		entryCount: 3,
		workers: Array.from({length: workerCount}, (_, index) => ({id: createId(index + 1), labels: ['a', `r1-${Math.floor(index / 12)}`]})),
		queues: [
			{
				Name: 'syncs', Prefix: '/syncs/', TargetLatencyMs: 2500, Stretch: 2.2,
			},
			{
				Name: 'advised', Prefix: '/advised/', TargetLatencyMs: 2500, Stretch: 2.2, Advice: {DecideMs: 20, EachMs: 1, ValidMs: 3000},
			},
		],
		adviseStep: () => goodIds,
	});
	try {
		await installation.waitUntilReady();
		await installation.occupy('/syncs/', 'a', workerCount);
		const id = '00000000000f0001';
		await installation.submit('/advised/', id, {
			Spec: 'sync', Steps: [{
				Count: 1, Cpu: 1300, MemMb: 4800, EstimateMs: 500, LongRunning: true,
			}],
		});
		await installation.waitForRuns(id, 1);
		await delay(3000);
		const {worker} = installation.events.findLast(({kind, task}) => kind === 'start' && task.startsWith(id));
		if (hasTrouble) {
			installation.workers.get(worker).crash();
		}

		await delay(restartMs + calmMs);
		const isIdle = await holdsThroughout(watchedMs, () => installation.countRuns(id) === 0);
		const {body} = await installation.ask('GET', `/advised/${id}`);
		const soundIds = goodIds.filter(each => installation.workers.get(each).isUp());
		const freeMillis = soundIds.map(each => 16_000 - installation.workers.get(each).computeUse().cpu);
		installation.record('verdict', {
			isIdle, state: body.State, soundIds, freeMillis,
		});
		return {isBroken: isIdle, text: `LOST ${isIdle ? 'is broken' : 'holds'}: the lasting work item is ${isIdle ? 'not ' : ''}run, its job is ${body.State}, and ${soundIds.length} workers that may run it have ${Math.min(...freeMillis)} thousandths of a core free or more`};
	} finally {
		await installation.close();
	}
});
