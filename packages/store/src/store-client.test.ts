import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {
	storeKeys, type EffectOf, type InputEvent, type WriteCondition,
} from '@pistachiogauge/model';
import {createStoreStandin, type StoreStandin} from '@pistachiogauge/standins';
import {createStoreClient, type StoreClient} from './store-client.js';

const key = storeKeys.epoch;
let standin: StoreStandin;
let client: StoreClient;
let events: InputEvent[];
let counts: Map<string, number>;

beforeEach(async () => {
	const address = `127.0.0.1:${await findFreePort()}`;
	standin = createStoreStandin(address);
	await standin.start();
	events = [];
	counts = new Map();
	client = createStoreClient({
		addresses: [address],
		leaseSeconds: 2,
		pushEvent(event) {
			events.push(event);
		},
		count(metric, by = 1) {
			counts.set(metric, (counts.get(metric) ?? 0) + by);
		},
	});
	client.start();
	await waitUntil('the store is reached', () => countEvents('store-reached') === 1);
});
afterEach(async () => {
	await client.stop();
	standin.stop();
});

async function findFreePort(): Promise<number> {
	const probe = createServer().listen(0, '127.0.0.1');
	await once(probe, 'listening');
	const {port} = probe.address() as AddressInfo;
	probe.close();
	await once(probe, 'close');
	return port;
}

function countEvents(kind: InputEvent['kind']): number {
	return events.filter(event => event.kind === kind).length;
}

async function waitUntil(what: string, isMet: () => boolean): Promise<void> {
	await expect.poll(isMet, {timeout: 20_000, message: what}).toBe(true);
}

function findAnswer(operationId: string): Extract<InputEvent, {kind: 'store-answered'}> | undefined {
	for (const event of events) {
		if (event.kind === 'store-answered' && event.operationId === operationId) {
			return event;
		}
	}

	return undefined;
}

async function write(operationId: string, condition: WriteCondition, isLeased = false): Promise<string> {
	const effect: EffectOf<'write-store'> = {
		kind: 'write-store', operationId, key, value: operationId, condition, isLeased,
	};
	client.runOperation(effect);
	await waitUntil(`an answer to ${operationId}`, () => findAnswer(operationId) !== undefined);
	return findAnswer(operationId)!.result;
}

type StoreCase = {
	readonly name: string;
	readonly run: () => Promise<void>;
};

const cases: readonly StoreCase[] = [
	{
		// Guards against a delayed write that overwrites a newer record.
		name: 'a write to a record that has changed is a conflict',
		async run() {
			expect(await write('w1', {kind: 'absent'})).toBe('applied');
			const {revision} = (findAnswer('w1')!.entries[0]!);
			expect(await write('w2', {kind: 'absent'})).toBe('conflict');
			expect(await write('w3', {kind: 'unchanged', revision})).toBe('applied');
			expect(await write('w4', {kind: 'unchanged', revision})).toBe('conflict');
			expect(standin.store.getPair(key)?.value).toBe('w3');
		},
	},
	{
		// Guards against a lost response that is taken for a write that did not happen, or that a retried write conceals.
		name: 'a lost response is reported as failed and the write is not retried',
		async run() {
			standin.setFaults({lostAnswers: 1});
			expect(await write('w1', {kind: 'always'})).toBe('failed');
			await waitUntil('the watch shows the write', () => events.some(event => event.kind === 'store-changed' && event.value === 'w1'));
			expect(standin.calls.get('/v3/kv/txn')).toBe(1);
		},
	},
	{
		// Guards against an entry that does not notice an outage or does not reconnect after it.
		name: 'the start and the end of an outage are reported',
		async run() {
			standin.setFaults({isDown: true});
			await waitUntil('the outage is reported', () => countEvents('store-lost') === 1);
			expect(await write('w1', {kind: 'always'})).toBe('failed');
			standin.setFaults({isDown: false});
			await waitUntil('the end is reported', () => countEvents('store-reached') === 2);
			expect(await write('w2', {kind: 'always'})).toBe('applied');
		},
	},
	{
		// Guards against a watch that stays open and delivers nothing while records change.
		name: 'a watch that delivers nothing is detected and reopened',
		async run() {
			standin.setFaults({isWatchSilent: true});
			standin.store.putPair(key, 'unseen');
			await waitUntil('the watch is closed', () => countEvents('store-lost') === 1);
			standin.setFaults({isWatchSilent: false});
			await waitUntil('the store is reached again', () => countEvents('store-reached') === 2);
			standin.store.putPair(key, 'seen');
			await waitUntil('changes arrive', () => events.some(event => event.kind === 'store-changed' && event.value === 'seen'));
		},
	},
	{
		// Guards against a watch that the service has cancelled while its stream stays open.
		name: 'a cancelled watch is reopened',
		async run() {
			standin.setFaults({areWatchesCanceled: true});
			await waitUntil('the store is reached again', () => countEvents('store-reached') === 2);
			expect(standin.calls.get('/v3/watch')).toBe(2);
		},
	},
	{
		// Guards against a registration that is never written again after the process was paused for longer than its lease.
		name: 'an expired lease is replaced and reported',
		async run() {
			expect(await write('w1', {kind: 'always'}, true)).toBe('applied');
			standin.store.expireLeases(Number.POSITIVE_INFINITY);
			expect(standin.store.getPair(key)).toBeUndefined();
			await waitUntil('the store is reported as reached again', () => countEvents('store-reached') === 2);
			expect(await write('w2', {kind: 'always'}, true)).toBe('applied');
		},
	},
	{
		// Guards against calls that count towards the platform's limits and are missing in the metrics.
		name: 'calls and bytes are counted',
		async run() {
			await write('w1', {kind: 'always'});
			for (const metric of ['store_writes_total', 'store_watches_total', 'store_bytes_sent_total', 'store_bytes_received_total']) {
				expect(counts.get(metric) ?? 0, metric).toBeGreaterThan(0);
			}
		},
	},
];

describe('store client', () => {
	it.each(cases)('$name', async ({run}) => {
		await run();
	});
});
