import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {applyBundle} from '../faults/operator-faults.js';
import {type SentRequest} from '../virtual/virtual-callers.js';
import {createVirtualCluster, type VirtualCluster} from '../virtual/virtual-cluster.js';
import {endEntry} from '../virtual/virtual-entry.js';
import {chooseItem, type VirtualEntry} from '../virtual/simulation.js';
import {roundValue, type Measure, type MeasureLine} from './measure.js';

const pools = ['print', 'host', 'admin'] as const;
const startupMs = 8000;
const loadMs = 10_000;
const intervalMs = 25;
const deadlineMs = 5000;
/** Time after which a caller whose entry has stopped sends the same key to another entry. */
const resendAfterMs = 500;
/** Share of requests that a caller sends twice, as after a caller's timeout or a broken connection. */
const duplicateShare = 0.1;
/** All keyed requests are answered within this time, so that none is open when the shares are computed. */
const completionMs = deadlineMs + 3000;

type LoadedCluster = {
	readonly cluster: VirtualCluster;
	readonly random: RandomSource;
};

function createLoadedCluster(seed: number): LoadedCluster {
	const cluster = createVirtualCluster({
		seed,
		zones: ['z1', 'z2', 'z3'],
		entryCount: 6,
		pools: pools.map(name => ({
			name, instanceCount: 4, budget: 1, isSpare: false,
		})),
		services: pools.map(name => ({name, pool: name, queueLimit: 1000})),
	}, () => () => undefined);
	cluster.run(1000);
	applyBundle(cluster);
	cluster.run(startupMs);
	return {cluster, random: createRandomSource(seed)};
}

/** Sends keyed requests at a constant rate, some of them twice. */
function sendLoad({cluster, random}: LoadedCluster, durationMs: number): void {
	for (let passedMs = 0; passedMs < durationMs; passedMs += intervalMs) {
		const isDuplicate = random.getFraction() < duplicateShare;
		const original = isDuplicate ? chooseItem(random, cluster.callers.requests.slice(-100)) : undefined;
		sendKeyedRequest(cluster, random, original);
		resendLostRequests(cluster, random);
		cluster.run(intervalMs);
	}
}

function sendKeyedRequest({simulation, callers}: VirtualCluster, random: RandomSource, original: SentRequest | undefined): void {
	const aliveEntries = [...simulation.entries.values()].filter(entry => entry.isAlive);
	const service = original?.options.service ?? chooseItem(random, pools);
	callers.send(chooseItem(random, aliveEntries), {
		service,
		requestClass: 'normal',
		isIdempotent: false,
		deadlineMs,
		runMs: 200,
		key: original?.request.key,
		body: original === undefined ? undefined : new TextDecoder().decode(original.request.body),
	});
}

/** Resends unanswered requests of stopped entries to another entry with the same key. */
function resendLostRequests(cluster: VirtualCluster, random: RandomSource): void {
	const {now} = cluster.simulation.queue;
	for (const sent of cluster.callers.requests) {
		if (sent.result === undefined && !sent.hasHungUp && !sent.entry.isAlive && now - sent.sentAt >= resendAfterMs) {
			sent.hasHungUp = true;
			sendKeyedRequest(cluster, random, sent);
		}
	}
}

function findOwner({simulation}: VirtualCluster): VirtualEntry {
	return [...simulation.entries.values()].find(({id, state}) => state.membership.record?.pools[pools[0]]?.owner === id)!;
}

/** Share of the requests sent since a point in time that were refused or answered `unknown`. */
function computeFailedShare({callers}: VirtualCluster, since: number): number {
	const sentRequests = callers.requests.filter(sent => !sent.hasHungUp && sent.sentAt >= since);
	return sentRequests.filter(sent => sent.result?.outcome !== 'completed').length / sentRequests.length;
}

/** Stops the owner of a pool under load. Without a standby, no other entry has a copy of its keys. */
function runEntryLoss(seed: number, hasStandby: boolean): number {
	const load = createLoadedCluster(seed);
	const {cluster} = load;
	sendLoad(load, loadMs);
	const lostAt = cluster.simulation.queue.now - resendAfterMs;
	endEntry(cluster.simulation, findOwner(cluster));
	for (const {state} of hasStandby ? [] : cluster.simulation.entries.values()) {
		for (const poolKeys of state.idempotency.pools.values()) {
			if (poolKeys.role === 'standby') {
				poolKeys.keys.clear();
				poolKeys.coverageSince = undefined;
			}
		}
	}

	sendLoad(load, loadMs);
	cluster.run(completionMs);
	return computeFailedShare(cluster, lostAt);
}

/** Stops the store under load. */
function runStoreOutage(seed: number): {standbyCopy: number; recordPerKey: number} {
	const load = createLoadedCluster(seed);
	const {cluster} = load;
	sendLoad(load, loadMs);
	const lostAt = cluster.simulation.queue.now;
	cluster.simulation.conditions.isStoreDown = true;
	sendLoad(load, loadMs);
	const restoredAt = cluster.simulation.queue.now;
	cluster.simulation.conditions.isStoreDown = false;
	cluster.run(completionMs);
	// A record per key is written before the request is sent, so a request waits for the store until its deadline.
	const sentRequests = cluster.callers.requests.filter(sent => sent.sentAt >= lostAt);
	const refusedRequests = sentRequests.filter(sent => sent.sentAt + deadlineMs <= restoredAt);
	return {standbyCopy: computeFailedShare(cluster, lostAt), recordPerKey: refusedRequests.length / sentRequests.length};
}

/** Cost of at-most-once execution to callers: the share of keyed requests refused or answered `unknown` after a failure. */
export const atMostOnceCostMeasure: Measure = {
	name: 'at-most-once-cost',
	description: 'share of keyed requests refused or answered unknown after the loss of an entry and during a store outage',
	run(seed): MeasureLine[] {
		const outage = runStoreOutage(seed);
		return [
			{
				measure: 'at-most-once-entry-lost',
				unit: 'share',
				policy: 'standby-copy',
				baseline: 'no-standby',
				value: roundValue(runEntryLoss(seed, true)),
				baselineValue: roundValue(runEntryLoss(seed, false)),
				seed,
			},
			{
				measure: 'at-most-once-store-outage',
				unit: 'share',
				policy: 'standby-copy',
				baseline: 'store-record-per-key',
				value: roundValue(outage.standbyCopy),
				baselineValue: roundValue(outage.recordPerKey),
				seed,
			},
		];
	},
};
