import {storeKeys, type EpochRecord} from '@pistachiogauge/model';
import {type VirtualCluster} from './virtual-cluster.js';

/** Three services, each in its own pool. */
export const services = {badge: 'p1', host: 'p2', admin: 'p3'};
/** Pools of `services`. */
export const pools = ['p1', 'p2', 'p3'];
/** One entry in each zone. */
export const threeEntries = [{id: 'a.1', zone: 'z1'}, {id: 'b.1', zone: 'z2'}, {id: 'c.1', zone: 'z3'}];
/** Time by which a cluster has an active epoch. */
export const startupMs = 6000;

/** Runs the cluster; throws as soon as two entries may act for the same pool. */
export function runWithOwnerCheck(cluster: VirtualCluster, durationMs: number): void {
	cluster.runFor(durationMs, () => {
		for (const pool of pools) {
			const acting = cluster.listActingOwners(pool);
			if (acting.length > 1) {
				throw new Error(`${pool} has two owners at ${cluster.getNow()}: ${acting.join(', ')}`);
			}
		}
	});
}

/** Reads the epoch record in the store; throws when there is none. */
export function readEpochRecord(cluster: VirtualCluster): EpochRecord {
	return JSON.parse(cluster.store.pairs.get(storeKeys.epoch)!.value) as EpochRecord;
}

/** Returns the owner of a pool in the stored epoch. */
export function getOwner(cluster: VirtualCluster, pool: string): string {
	return readEpochRecord(cluster).pools[pool]!.owner;
}
