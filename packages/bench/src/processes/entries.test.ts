import {once} from 'node:events';
import {
	afterAll, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import {type LocalCluster, type LocalProcess} from '../local-cluster.js';
import {
	findRuleViolations, countRuns, type ObservedRequest,
} from './request-results.js';
import {runWithLoad} from './send-request.js';
import {
	createTestCluster, formatBundle, readCounter, getOwnerIndex, getStatus, isReady, setStoreFaults, waitUntilEntriesAgree,
} from './test-cluster.js';

const services = ['badges', 'reports'];
const results: ObservedRequest[] = [];
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

	await waitUntilEntriesAgree(cluster);
});

async function waitForExit({child}: LocalProcess): Promise<number | string | undefined> {
	if (child.exitCode === null && child.signalCode === null) {
		await once(child, 'exit');
	}

	return child.signalCode ?? child.exitCode ?? undefined;
}

/** Waits until an observing entry has removed the killed member and the epoch is active again, so that all pools have owners. */
async function waitForTakeover(observer: number, killedId: string): Promise<void> {
	await cluster.waitUntil('the pools have new owners', async () => {
		const {members, isActive} = await getStatus(cluster, observer);
		return isActive && members.every(member => member.id !== killedId);
	});
}

async function getBundleVersion(): Promise<number> {
	const {bundleVersion} = await getStatus(cluster, 0);
	return bundleVersion;
}

/** Waits until the given number of further requests have completed, which shows that the entries still process requests. */
async function waitForCompletions(entry: LocalProcess, count: number): Promise<void> {
	const before = await readCounter(entry, 'requests_completed_total');
	await cluster.waitUntil(`${count} more requests complete`, async () => await readCounter(entry, 'requests_completed_total') >= before + count);
}

type Case = {
	readonly name: string;
	readonly run: () => Promise<void>;
};

const cases: readonly Case[] = [
	{
		// Guards against a duplicate run or a false outcome when the pool's queue, slots and idempotency keys are lost together.
		name: 'the owner of a pool is killed under load',
		async run() {
			const owner = await getOwnerIndex(cluster, 'badge-desk');
			const observer = (owner + 1) % 3;
			const {entry: killedId} = await getStatus(cluster, owner);
			const killed = cluster.entries[owner]!;
			let isKilled = false;
			const sent = await runWithLoad({results, services, getEntries: () => cluster.entries.filter(entry => !isKilled || entry !== killed)}, async () => {
				await waitForCompletions(cluster.entries[observer]!, 20);
				killed.child.kill('SIGKILL');
				isKilled = true;
				await waitForTakeover(observer, killedId);
				await waitForCompletions(cluster.entries[observer]!, 50);
			});
			expect(sent.filter(item => item.outcome === 'no-answer' && item.entry !== killed.name)).toEqual([]);
		},
	},
	{
		// Guards against an owner that sends requests under a permission that expired while it was paused.
		name: 'the owner of a pool is paused and resumes after the takeover of its pools',
		async run() {
			const owner = await getOwnerIndex(cluster, 'badge-desk');
			const observer = (owner + 1) % 3;
			const paused = cluster.entries[owner]!;
			const {entry: pausedId} = await getStatus(cluster, owner);
			let isPaused = false;
			await runWithLoad({results, services, getEntries: () => cluster.entries.filter(entry => !isPaused || entry !== paused)}, async () => {
				await waitForCompletions(cluster.entries[observer]!, 20);
				paused.child.kill('SIGSTOP');
				isPaused = true;
				try {
					await waitForTakeover(observer, pausedId);
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
		// Guards against requests or a roll-out in progress that stop when the store is down.
		name: 'requests and a bundle roll-out continue while the store is down',
		async run() {
			let version = 0;
			await runWithLoad({results, services, getEntries: () => cluster.entries}, async () => {
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
		// Guards against reporting a write that took effect as refused, and against applying it twice.
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
		// Guards against a shutdown that aborts requests in progress.
		name: 'SIGTERM under load aborts no request and exits with 0',
		async run() {
			const index = await getOwnerIndex(cluster, 'badge-desk');
			const stopped = cluster.entries[index]!;
			let isInRotation = true;
			const sent = await runWithLoad({results, services, getEntries: () => cluster.entries.filter(entry => isInRotation || entry !== stopped)}, async () => {
				await waitForCompletions(cluster.entries[(index + 1) % 3]!, 20);
				stopped.child.kill('SIGTERM');
				// A load balancer removes the entry as soon as its readiness check fails.
				await cluster.waitUntil('the entry is not ready', async () => !(await isReady(stopped)));
				isInRotation = false;
				expect(await waitForExit(stopped)).toBe(0);
				await waitForCompletions(cluster.entries[(index + 1) % 3]!, 20);
			});
			expect(sent.filter(item => item.outcome === 'no-answer' || item.outcome === 'unknown')).toEqual([]);
		},
	},
	{
		// Guards against a process that can't be ended while it waits for its last request.
		name: 'a second signal ends the process immediately',
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
		expect(findRuleViolations(results, await countRuns([...cluster.endpoints.values()]))).toEqual([]);
	});
});
