import {setTimeout as delay} from 'node:timers/promises';
import {type JobEvent} from '@pistachiogauge/jobs';
import {type StoreClient} from '@pistachiogauge/platform';
import {describe, expect, it} from 'vitest';
import {followPool} from './follow-pool.js';
import {encodeRecord} from './job-records.js';

const stepSpec = {
	count: 1,
	room: {cpuMillis: 1000, memoryMb: 100, gpus: 0},
	estimateMs: 1000,
	after: [],
	isCheckpointing: false,
	isGang: false,
	isSameRack: false,
	mayDuplicate: false,
	isLongRunning: false,
	image: '',
	isFiller: false,
};
const jobItem = {
	key: 'inbox/desk/job/0000000000000001',
	value: encodeRecord({
		id: '0000000000000001', queue: 'prints', pool: 'desk', spec: {
			payload: '', steps: [stepSpec], repeatCount: 0, startAtMs: 0, intervalMs: 0,
		}, priority: 0, attempts: 2, stretch: 1.6, latencyTargetMs: 600, acceptedAt: 0,
	} as never),
	revision: 1,
};
/** Key of the first step of the only occurrence. */
const firstStep = '0.0';
const progress = encodeRecord({
	queue: 'prints', status: 'running', steps: {[firstStep]: 'd'}, lastRun: 3,
} as never);

type Case = {
	readonly name: string;
	/** Value of the job's progress record. */
	readonly progress: string;
	/** Time in ms after which the watch reports that its history is lost. */
	readonly historyLostAfterMs: number;
	/** Time in ms that the reads of the pool's state take. */
	readonly stateReadMs: number;
	/** Time in ms after which the pool is lost. */
	readonly lostAfterMs?: number;
	readonly expected: readonly string[];
};

/** Lists the loads of a pool and the jobs that are published as new after it. */
async function listEvents({progress: value, historyLostAfterMs, stateReadMs, lostAfterMs = 250}: Case): Promise<string[]> {
	const events: string[] = [];
	let watchCount = 0;
	const store = {
		async listItems(prefix: string) {
			await delay(prefix.startsWith('state/') ? stateReadMs : 0);
			const items = prefix.startsWith('state/') ? [{key: 'state/desk/progress/0000000000000001', value, revision: 2}] : [];
			return {items: prefix.startsWith('inbox/') ? [jobItem] : items, revision: 3};
		},
		readItem: async () => undefined,
		async watchItems(prefix: string) {
			watchCount += prefix.startsWith('inbox/') ? 1 : 0;
			if (!prefix.startsWith('inbox/') || watchCount > 1) {
				return new Promise<undefined>(() => {/* Waits for a change that does not come. */});
			}

			await delay(historyLostAfterMs);
			return undefined;
		},
	} as unknown as StoreClient;
	const describeEvent: Partial<Record<JobEvent['kind'], (event: never) => string>> = {
		'pool-read': ({jobs}: Extract<JobEvent, {kind: 'pool-read'}>) => `loaded with ${jobs.length} jobs`,
		'job-recorded': ({stored}: Extract<JobEvent, {kind: 'job-recorded'}>) => `new job with progress ${JSON.stringify(stored.progress.steps)}`,
	};
	const stop = followPool({
		store,
		pushEvent(event) {
			const text = describeEvent[event.kind]?.(event as never);
			events.push(...(text === undefined ? [] : [text]));
		},
		log() {/* Not needed. */},
		reportIgnoredItem() {/* Not needed. */},
		node: 'e1',
		incarnation: 'first',
		handleRegistrationLost() {/* Not needed. */},
	}, 'desk', 7);
	await delay(lostAfterMs);
	stop();
	await delay(250 - lostAfterMs);
	return events;
}

const cases: readonly Case[] = [
	{
		name: 'during the load', progress, historyLostAfterMs: 20, stateReadMs: 60, expected: ['loaded with 1 jobs'],
	},
	{
		// Guards against tasks that run again, as a job that was left out of the load for its progress is taken as new.
		name: 'after the load of a job whose progress cannot be decoded', progress: '{', historyLostAfterMs: 60, stateReadMs: 0, expected: ['loaded with 0 jobs'],
	},
	{
		// Guards against records from under one claim on a pool that change what is known under the next one.
		name: 'during the load of a pool that is lost meanwhile', progress, historyLostAfterMs: 250, stateReadMs: 60, lostAfterMs: 20, expected: [],
	},
];

describe('a pool whose watch loses its history', () => {
	it.each(cases)('publishes $expected $name', async input => {
		expect(await listEvents(input)).toEqual(input.expected);
	});
});
