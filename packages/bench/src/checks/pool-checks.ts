import {storeKeys} from '@pistachiogauge/model';
import {addCount} from '../virtual/simulation.js';
import {type Check} from './check.js';
import {readInstancePool} from './read-records.js';

const connectionLimit = 64;

/** At most one entry sends for a pool at a time: once a new owner has sent, no earlier owner sends. */
export const oneOwnerCheck: Check = {
	name: 'one-owner',
	createHandlers() {
		const senders = new Map<string, {readonly entryId: string; readonly epoch: number}>();
		return {
			'attempt-written'(_simulation, {entry, request, pool, epoch}) {
				const previous = senders.get(pool);
				if (previous !== undefined && previous.entryId !== entry.id && previous.epoch >= epoch) {
					return `${entry.id} in epoch ${epoch} sent ${request.requestId} for ${pool} after ${previous.entryId} in epoch ${previous.epoch}`;
				}

				senders.set(pool, {entryId: entry.id, epoch});
				return undefined;
			},
		};
	},
};

/**
Requests are sent to an instance only for the pool that its record names.

A restore of the store can delete the record; the instance then stays in the pool that the record named before.
*/
export const onePoolCheck: Check = {
	name: 'one-pool',
	createHandlers() {
		const knownPools = new Map<string, string>();
		return {
			'attempt-written'(simulation, {entry, request, instanceId, pool}) {
				const recorded = readInstancePool(simulation.store.keyValues, instanceId) ?? knownPools.get(instanceId);
				return recorded === pool ? undefined : `${entry.id} sent ${request.requestId} for ${pool} to ${instanceId}, which is recorded in ${recorded ?? 'no pool'}`;
			},
			'store-written'(simulation, {key, value, cause}) {
				if (!key.startsWith(storeKeys.instancesPrefix)) {
					return undefined;
				}

				const instanceId = key.slice(storeKeys.instancesPrefix.length);
				if (value === undefined) {
					return cause === 'restore' ? undefined : `the record ${key} was deleted`;
				}

				knownPools.set(instanceId, readInstancePool(simulation.store.keyValues, instanceId) ?? '');
				return undefined;
			},
		};
	},
};

/** All entries together stay within an endpoint's connection limit. Requests beyond its slots are refused by the endpoint and only counted. */
export const connectionsCheck: Check = {
	name: 'connections',
	createHandlers() {
		return {
			'connection-opened': (_simulation, {instanceId, openCount}) => openCount > connectionLimit
				? `${openCount} connections to ${instanceId}`
				: undefined,
			'slots-exceeded'(simulation) {
				addCount(simulation, 'slot_overruns');
				return undefined;
			},
		};
	},
};
