import {once} from 'node:events';
import {
	afterAll, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import {type LocalCluster, type LocalProcess} from '../local-cluster.js';
import {
	checkLedger, countRuns, type SentRequest,
} from './request-ledger.js';
import {runLoad} from './send-request.js';
import {
	createTestCluster, formatBundle, getCount, getOwnerIndex, getStatus, isReady, setStoreFaults, waitUntilSettled,
} from './test-cluster.js';

const services = ['badges', 'reports'];
const ledger: SentRequest[] = [];
let cluster: LocalCluster;

beforeAll(async () => {
	cluster = await createTestCluster();
});
afterAll(async () => cluster.stop());
beforeEach(async () => {
	for (const [index, {child}] of cluster.entries.entries()) {
		if (child.exitCode !== null || child.signalCode !== null) {
			// eslint-disable-next-line no-await-in-loop
			await cluster.restartEntry(index);
		}
	}

	await waitUntilSettled(cluster);
});

async function waitForExit({child}: LocalProcess): Promise<number | string | undefined> {
	if (child.exitCode === null && child.signalCode === null) {
		await once(child, 'exit');
	}

	return child.signalCode ?? child.exitCode ?? undefined;
}

/** Waits until the other entries have removed a member and the pools have owners again. */
async function waitUntilReplaced(observer: number, lostId: string): Promise<void> {
	await cluster.waitUntil('the pools have new owners', async () => {
		const {members, isActive} = await getStatus(cluster, observer);
		return isActive && members.every(member => member.id !== lostId);
	});
}

async function getBundleVersion(): Promise<number> {
	const {bundleVersion} = await getStatus(cluster, 0);
	return bundleVersion;
}

/** Waits until so many more answers have come in, which shows that work goes on. */
async function waitForCompletions(entry: LocalProcess, count: number): Promise<void> {
	const before = await getCount(entry, 'requests_completed_total');
	await cluster.waitUntil(`${count} more requests complete`, async () => await getCount(entry, 'requests_completed_total') >= before + count);
}

type Case = {
	readonly name: string;
	readonly run: () => Promise<void>;
};

const cases: readonly Case[] = [
	{
		// Guards against a second run or a false outcome when the pool's queue, slots and keys are lost at once.
		name: 'the owner of a pool is killed under load',
		async run() {
			const owner = await getOwnerIndex(cluster, 'badge-desk');
			const observer = (owner + 1) % 3;
			const {entry: lostId} = await getStatus(cluster, owner);
			const lost = cluster.entries[owner]!;
			let isLost = false;
			const sent = await runLoad({ledger, services, getEntries: () => cluster.entries.filter(entry => !isLost || entry !== lost)}, async () => {
				await waitForCompletions(cluster.entries[observer]!, 20);
				lost.child.kill('SIGKILL');
				isLost = true;
				await waitUntilReplaced(observer, lostId);
				await waitForCompletions(cluster.entries[observer]!, 50);
			});
			expect(sent.filter(item => item.outcome === 'no-answer' && item.entry !== lost.name)).toEqual([]);
		},
	},
	{
		// Guards against an owner that sends on permission that ran out while it was paused.
		name: 'the owner of a pool is paused and wakes after its pools have moved',
		async run() {
			const owner = await getOwnerIndex(cluster, 'badge-desk');
			const observer = (owner + 1) % 3;
			const paused = cluster.entries[owner]!;
			const {entry: pausedId} = await getStatus(cluster, owner);
			let isPaused = false;
			await runLoad({ledger, services, getEntries: () => cluster.entries.filter(entry => !isPaused || entry !== paused)}, async () => {
				await waitForCompletions(cluster.entries[observer]!, 20);
				paused.child.kill('SIGSTOP');
				isPaused = true;
				try {
					await waitUntilReplaced(observer, pausedId);
					await waitForCompletions(cluster.entries[observer]!, 20);
				} finally {
					paused.child.kill('SIGCONT');
				}

				isPaused = false;
				await cluster.waitUntil('the paused entry is a member again', async () => {
					const {members} = await getStatus(cluster, observer);
					return members.some(member => member.id === pausedId);
				});
			});
		},
	},
	{
		// Guards against requests or a begun roll-out that stop with the store.
		name: 'requests and a bundle roll-out go on while the store is down',
		async run() {
			let version = 0;
			await runLoad({ledger, services, getEntries: () => cluster.entries}, async () => {
				version = await getBundleVersion() + 1;
				await cluster.applyBundle(formatBundle(version));
				await setStoreFaults(cluster, {isDown: true});
				try {
					await cluster.waitUntil('the bundle is in force everywhere', async () => {
						const statuses = await Promise.all([0, 1, 2].map(async index => getStatus(cluster, index)));
						return statuses.every(status => status.bundleVersion === version);
					}, 3000);
					await cluster.waitUntil('the entries notice the outage', async () => {
						const {isStoreReached} = await getStatus(cluster, 0);
						return !isStoreReached;
					});
					await waitForCompletions(cluster.entries[0]!, 50);
				} finally {
					await setStoreFaults(cluster, {isDown: false});
				}
			});
		},
	},
	{
		// Guards against a write that took effect being reported as refused, or being made twice.
		name: 'the answer to a bundle write is lost after it took effect',
		async run() {
			const version = await getBundleVersion() + 1;
			await setStoreFaults(cluster, {lostAnswers: 1});
			await cluster.applyBundle(formatBundle(version));
			await cluster.waitUntil('the bundle is in force everywhere', async () => {
				const statuses = await Promise.all([0, 1, 2].map(async index => getStatus(cluster, index)));
				return statuses.every(status => status.bundleVersion === version);
			});
		},
	},
	{
		// Guards against a planned stop that cuts off requests in progress.
		name: 'SIGTERM under load cuts off nothing and exits with 0',
		async run() {
			const index = await getOwnerIndex(cluster, 'badge-desk');
			const stopped = cluster.entries[index]!;
			let isBalanced = true;
			const sent = await runLoad({ledger, services, getEntries: () => cluster.entries.filter(entry => isBalanced || entry !== stopped)}, async () => {
				await waitForCompletions(cluster.entries[(index + 1) % 3]!, 20);
				stopped.child.kill('SIGTERM');
				// The balancer takes the entry out as soon as its readiness check fails.
				await cluster.waitUntil('the entry is not ready', async () => !(await isReady(stopped)));
				isBalanced = false;
				expect(await waitForExit(stopped)).toBe(0);
				await waitForCompletions(cluster.entries[(index + 1) % 3]!, 20);
			});
			expect(sent.filter(item => item.outcome === 'no-answer' || item.outcome === 'unknown')).toEqual([]);
		},
	},
	{
		// Guards against an operator who cannot end a process that waits for its last request.
		name: 'a second signal ends the process at once',
		async run() {
			const stopped = cluster.entries[2]!;
			stopped.child.kill('SIGTERM');
			await cluster.waitUntil('the entry is not ready', async () => !(await isReady(stopped)));
			stopped.child.kill('SIGTERM');
			expect(await waitForExit(stopped)).toBe(1);
		},
	},
];

describe('entry processes', () => {
	it.each(cases)('$name', async ({run}) => {
		await run();
		expect(checkLedger(ledger, await countRuns([...cluster.endpoints.values()]))).toEqual([]);
	});
});
