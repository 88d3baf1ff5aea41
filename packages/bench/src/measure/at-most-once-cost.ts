import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {applyBundle} from '../faults/operator-faults.js';
import {type SentRequest} from '../virtual/virtual-callers.js';
import {createVirtualCluster, type VirtualCluster} from '../virtual/virtual-cluster.js';
import {endEntry} from '../virtual/virtual-entry.js';
import {chooseItem, type VirtualEntry} from '../virtual/world.js';
import {formatFigure, type Measure, type MeasureLine} from './measure.js';

const pools = ['print', 'host', 'admin'] as const;
const settleMs = 8000;
const loadMs = 10_000;
const intervalMs = 25;
const deadlineMs = 5000;
/** A caller whose entry is lost sends the same key to another one after this time. */
const repeatAfterMs = 500;
/** Share of requests that a caller sends twice, because it lost its patience or its connection. */
const repeatShare = 0.1;
/** Keyed requests are answered within this time, so none is open when the figures are taken. */
const endMs = deadlineMs + 3000;

type Load = {
	readonly cluster: VirtualCluster;
	readonly random: RandomSource;
};

function createLoad(seed: number): Load {
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
	cluster.run(settleMs);
	return {cluster, random: createRandomSource(seed)};
}

/** Sends keyed requests at a steady rate, some of them twice. */
function sendLoad({cluster, random}: Load, durationMs: number): void {
	for (let passedMs = 0; passedMs < durationMs; passedMs += intervalMs) {
		const isRepeat = random.getFraction() < repeatShare;
		const former = isRepeat ? chooseItem(random, cluster.callers.requests.slice(-100)) : undefined;
		sendKeyed(cluster, random, former);
		sendLostAgain(cluster, random);
		cluster.run(intervalMs);
	}
}

function sendKeyed({simulation, callers}: VirtualCluster, random: RandomSource, former: SentRequest | undefined): void {
	const alive = [...simulation.entries.values()].filter(entry => entry.isAlive);
	const service = former?.options.service ?? chooseItem(random, pools);
	callers.send(chooseItem(random, alive), {
		service,
		requestClass: 'normal',
		isIdempotent: false,
		deadlineMs,
		runMs: 200,
		key: former?.request.key,
		body: former === undefined ? undefined : new TextDecoder().decode(former.request.body),
	});
}

/** Callers of a lost entry turn to another one with the same key. */
function sendLostAgain(cluster: VirtualCluster, random: RandomSource): void {
	const {now} = cluster.simulation.queue;
	for (const sent of cluster.callers.requests) {
		if (sent.result === undefined && !sent.hasHungUp && !sent.entry.isAlive && now - sent.sentAt >= repeatAfterMs) {
			sent.hasHungUp = true;
			sendKeyed(cluster, random, sent);
		}
	}
}

function findOwner({simulation}: VirtualCluster): VirtualEntry {
	return [...simulation.entries.values()].find(({id, state}) => state.membership.record?.pools[pools[0]]?.owner === id)!;
}

/** Share of the requests since a moment that ended as refused or unknown. */
function computeLostShare({callers}: VirtualCluster, since: number): number {
	const asked = callers.requests.filter(sent => !sent.hasHungUp && sent.sentAt >= since);
	return asked.filter(sent => sent.result?.outcome !== 'completed').length / asked.length;
}

/** Loses the owner of a pool under load. Without a standby, no other entry has a copy of its keys. */
function runEntryLoss(seed: number, hasStandby: boolean): number {
	const load = createLoad(seed);
	const {cluster} = load;
	sendLoad(load, loadMs);
	const lostAt = cluster.simulation.queue.now - repeatAfterMs;
	endEntry(cluster.simulation, findOwner(cluster));
	for (const {state} of hasStandby ? [] : cluster.simulation.entries.values()) {
		for (const pooled of state.idempotency.pools.values()) {
			if (pooled.role === 'standby') {
				pooled.keys.clear();
				pooled.coverageSince = undefined;
			}
		}
	}

	sendLoad(load, loadMs);
	cluster.run(endMs);
	return computeLostShare(cluster, lostAt);
}

/** Takes the store away under load. */
function runStoreOutage(seed: number): {ours: number; recordPerKey: number} {
	const load = createLoad(seed);
	const {cluster} = load;
	sendLoad(load, loadMs);
	const lostAt = cluster.simulation.queue.now;
	cluster.simulation.conditions.isStoreDown = true;
	sendLoad(load, loadMs);
	const backAt = cluster.simulation.queue.now;
	cluster.simulation.conditions.isStoreDown = false;
	cluster.run(endMs);
	// A record per key is written before the request is sent, so a request waits for the store until its deadline.
	const asked = cluster.callers.requests.filter(sent => sent.sentAt >= lostAt);
	const refused = asked.filter(sent => sent.sentAt + deadlineMs <= backAt);
	return {ours: computeLostShare(cluster, lostAt), recordPerKey: refused.length / asked.length};
}

/** What at-most-once costs the callers: keyed requests refused or answered `unknown` after a loss. */
export const atMostOnceCostMeasure: Measure = {
	name: 'at-most-once-cost',
	description: 'keyed requests refused or unknown after the loss of an entry and in a store outage',
	run(seed): MeasureLine[] {
		const outage = runStoreOutage(seed);
		return [
			{
				measure: 'at-most-once-entry-lost',
				unit: 'share',
				policy: 'standby-copy',
				baseline: 'no-standby',
				value: formatFigure(runEntryLoss(seed, true)),
				baselineValue: formatFigure(runEntryLoss(seed, false)),
				seed,
			},
			{
				measure: 'at-most-once-store-outage',
				unit: 'share',
				policy: 'standby-copy',
				baseline: 'store-record-per-key',
				value: formatFigure(outage.ours),
				baselineValue: formatFigure(outage.recordPerKey),
				seed,
			},
		];
	},
};
