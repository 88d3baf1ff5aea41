import {storeKeys, type EpochRecord} from '@pistachiogauge/model';
import {
	sendKeyedRequest, checkAtMostOnce, getOutcome, createKey, type KeyedRequest,
} from './keyed-request.js';
import {createVirtualCluster, type VirtualCluster} from './virtual-cluster.js';

/** Three services, each in its own pool. */
export const services = {badge: 'p1', host: 'p2', admin: 'p3'};
const entries = [{id: 'a.1', zone: 'z1'}, {id: 'b.1', zone: 'z2'}, {id: 'c.1', zone: 'z3'}, {id: 'd.1', zone: 'z1'}];
/** Time by which a cluster has an active epoch. */
export const startupMs = 8000;

/** Reads the epoch record in the store; throws when there is none. */
export function readEpochRecord(cluster: VirtualCluster): EpochRecord {
	return JSON.parse(cluster.store.pairs.get(storeKeys.epoch)!.value) as EpochRecord;
}

/** Returns the owner and the standby of a pool, and an entry that is neither. */
export function getRoles(cluster: VirtualCluster, pool = 'p1'): {owner: string; standby: string; other: string} {
	const record = readEpochRecord(cluster);
	const {owner, standby} = record.pools[pool]!;
	return {owner, standby: standby!, other: record.members.map(member => member.id).find(id => id !== owner && id !== standby)!};
}

/** Functions with which a trace drives the cluster. */
export type TraceDriver = {
	readonly cluster: VirtualCluster;
	/** Sends a non-idempotent request with a key to an entry. */
	readonly ask: (receiver: string, requestId: string, key: string, options?: KeyedRequest) => void;
	/** Advances virtual time, then throws if a key was sent twice or a request that was sent is reported as not run. */
	readonly run: (durationMs: number) => void;
	/** Creates a key; `issuedMs` is the offset of its issue time from the present wall time. */
	readonly key: (salt: number, issuedMs?: number) => string;
};

/** A sequence of requests with idempotency keys under failures, with the expected outcomes. */
export type KeyTrace = {
	readonly name: string;
	/** Service time of endpoints; undefined if they never answer. */
	readonly answerMs?: number;
	readonly run: (driver: TraceDriver) => void;
	/** Expected outcome by request id; a list names the allowed ones. */
	readonly outcomes: Readonly<Record<string, string | readonly string[]>>;
	/** Expected number of sends over all keys. */
	readonly sends: number;
};

/** Results of a trace. */
export type KeyTraceReport = {
	/** Requests whose outcome is not among the expected ones. */
	readonly unexpected: readonly string[];
	readonly sends: number;
	/** Distinct keys among the sends. */
	readonly sentKeys: number;
	readonly handlerFailures: number;
};

/** Runs a trace; throws if a key was sent twice or a request that was sent is reported as not run. */
export function runKeyTrace({run, outcomes, answerMs}: KeyTrace): KeyTraceReport {
	const cluster = createVirtualCluster({entries, services, answerMs});
	cluster.runFor(startupMs);
	run({
		cluster,
		ask(receiver, requestId, key, options) {
			sendKeyedRequest(cluster, receiver, requestId, key, options);
		},
		run(durationMs) {
			cluster.runFor(durationMs);
			checkAtMostOnce(cluster);
		},
		key: (salt, issuedMs = 0) => createKey(cluster.getWallTime() + issuedMs, salt),
	});
	const unexpected: string[] = [];
	for (const [requestId, expected] of Object.entries(outcomes)) {
		const outcome = getOutcome(cluster, requestId);
		if (outcome === undefined || ![expected].flat().includes(outcome)) {
			unexpected.push(`${requestId}: ${outcome ?? 'no answer'}`);
		}
	}

	return {
		unexpected,
		sends: cluster.sends.length,
		sentKeys: new Set(cluster.sends.map(send => send.request.key)).size,
		handlerFailures: cluster.effects.filter(({effect}) => effect.kind === 'handler-failed').length,
	};
}
