import {storeKeys} from '@pistachiogauge/model';
import {addCount} from '../virtual/world.js';
import {type Check} from './check.js';
import {readInstancePool} from './read-records.js';

const connectionLimit = 64;

/** At most one entry sends for a pool at a time: once a later owner has sent, no former one does. */
export const oneOwnerCheck: Check = {
	name: 'one-owner',
	createHandlers() {
		const senders = new Map<string, {readonly entryId: string; readonly epoch: number}>();
		return {
			'attempt-written'(_world, {entry, request, pool, epoch}) {
				const former = senders.get(pool);
				if (former !== undefined && former.entryId !== entry.id && former.epoch >= epoch) {
					return `${entry.id} in epoch ${epoch} sent ${request.requestId} for ${pool} after ${former.entryId} in epoch ${former.epoch}`;
				}

				senders.set(pool, {entryId: entry.id, epoch});
				return undefined;
			},
		};
	},
};

/**
Work goes to an instance only for the pool that its record names.

A restore of the store can take the record away; the instance then stays in the pool that the record named.
*/
export const onePoolCheck: Check = {
	name: 'one-pool',
	createHandlers() {
		const knownPools = new Map<string, string>();
		return {
			'attempt-written'(world, {entry, request, instanceId, pool}) {
				const recorded = readInstancePool(world.store.keyValues, instanceId) ?? knownPools.get(instanceId);
				return recorded === pool ? undefined : `${entry.id} sent ${request.requestId} for ${pool} to ${instanceId}, which is recorded in ${recorded ?? 'no pool'}`;
			},
			'store-written'(world, {key, value, cause}) {
				if (!key.startsWith(storeKeys.instancesPrefix)) {
					return undefined;
				}

				const instanceId = key.slice(storeKeys.instancesPrefix.length);
				if (value === undefined) {
					return cause === 'restore' ? undefined : `the record ${key} was deleted`;
				}

				knownPools.set(instanceId, readInstancePool(world.store.keyValues, instanceId) ?? '');
				return undefined;
			},
		};
	},
};

/** All entries together keep within a worker's connections. Overruns of slots are refused by the worker and only counted. */
export const connectionsCheck: Check = {
	name: 'connections',
	createHandlers() {
		return {
			'connection-opened': (_world, {instanceId, openCount}) => openCount > connectionLimit
				? `${openCount} connections to ${instanceId}`
				: undefined,
			'slots-overrun'(world) {
				addCount(world, 'slot_overruns');
				return undefined;
			},
		};
	},
};
