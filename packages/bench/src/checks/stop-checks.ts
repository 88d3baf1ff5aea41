import {storeKeys} from '@pistachiogauge/model';
import {type Simulation} from '../virtual/world.js';
import {type Check} from './check.js';
import {parsePoolRecord, readInstancePool} from './read-records.js';

/** Bound of section 1.2: no new work later than this after a drain was recorded. */
const drainBoundMs = 3000;
/** An instance that entries have seen as unlisted for this long counts as out of service. */
const unlistedMs = 3000;

/** Returns the pool of a record's key. */
function getPoolOfKey(key: string): string | undefined {
	return key.startsWith(storeKeys.poolsPrefix) ? key.slice(storeKeys.poolsPrefix.length) : undefined;
}

/** No planned stop begins beyond the pool's budget, and none without a permit. */
export const budgetCheck: Check = {
	name: 'budget',
	createHandlers() {
		const permitted = new Map<string, ReadonlySet<string>>();
		const unlistedSince = new Map<string, number>();
		return {
			'store-written'(world, {key, value, cause}) {
				const pool = getPoolOfKey(key);
				if (pool === undefined) {
					return undefined;
				}

				const former = permitted.get(pool) ?? new Set<string>();
				const current = new Set(Object.keys(parsePoolRecord(value)?.permits ?? {}));
				permitted.set(pool, current);
				// A restore of the store brings permits back that no entry asked for.
				const isLarger = cause !== 'restore' && [...current].some(id => !former.has(id));
				const failed = listUnlisted(world, pool, unlistedSince).filter(id => !current.has(id));
				const budget = world.bundles.getBudget(pool);
				return isLarger && current.size + failed.length > budget
					? `${pool} has permits for ${[...current].join(', ')} and has lost ${failed.join(', ') || 'none'}, with a budget of ${budget}`
					: undefined;
			},
			'instance-rebooted'(_world, {instanceId}) {
				const isPermitted = [...permitted.values()].some(ids => ids.has(instanceId));
				return isPermitted ? undefined : `${instanceId} was rebooted without a permit`;
			},
			'time-passed'(world) {
				const listed = new Set(world.fleet.getList().map(instance => instance.id));
				for (const id of world.fleet.endpoints.keys()) {
					if (listed.has(id)) {
						unlistedSince.delete(id);
					} else if (!unlistedSince.has(id)) {
						unlistedSince.set(id, world.queue.now);
					}
				}

				return undefined;
			},
		};
	},
};

function listUnlisted(world: Simulation, pool: string, unlistedSince: ReadonlyMap<string, number>): string[] {
	const ids: string[] = [];
	// The times are taken each 250 ms; an instance that has come back since then is in service.
	const listed = new Set(world.fleet.getList().map(instance => instance.id));
	for (const [id, since] of unlistedSince) {
		if (!listed.has(id) && world.queue.now - since > unlistedMs && !world.conditions.isListDown && readInstancePool(world.store.keyValues, id) === pool) {
			ids.push(id);
		}
	}

	return ids;
}

/** An instance with a recorded drain gets no new work after the bound. */
export const drainedCheck: Check = {
	name: 'drained-gets-nothing',
	createHandlers() {
		const recordedAt = new Map<string, Map<string, number>>();
		return {
			'store-written'(world, {key, value, cause}) {
				const pool = getPoolOfKey(key);
				if (pool === undefined) {
					return undefined;
				}

				const former = recordedAt.get(pool);
				if (cause === 'restore') {
					// A restore of the store records no drain; what an entry writes after it counts again.
					recordedAt.delete(pool);
					return undefined;
				}

				const ids = Object.keys(parsePoolRecord(value)?.permits ?? {});
				recordedAt.set(pool, new Map(ids.map(id => [id, former?.get(id) ?? world.queue.now])));
				return undefined;
			},
			'attempt-written'(world, {entry, request, instanceId, pool}) {
				const at = recordedAt.get(pool)?.get(instanceId);
				const ageMs = at === undefined ? 0 : world.queue.now - at;
				return ageMs > drainBoundMs
					? `${entry.id} sent ${request.requestId} to ${instanceId} ${Math.round(ageMs)} ms after its drain was recorded`
					: undefined;
			},
		};
	},
};

/** A planned stop of an instance or an entry interrupts no request. */
export const gracefulStopCheck: Check = {
	name: 'graceful-stop',
	createHandlers(callers) {
		/** A process cannot wait for a request that it has not read yet. */
		const read = new Set<string>();
		return {
			'entry-stepped'(_world, {event}) {
				if (event.kind === 'request-received') {
					read.add(event.request.requestId);
				}

				return undefined;
			},
			'instance-rebooted': (_world, {instanceId, busyCount}) => busyCount > 0
				? `${instanceId} was rebooted while it ran ${busyCount} requests`
				: undefined,
			'entry-stopped'(_world, {entry, exitCode}) {
				if (exitCode !== 0) {
					return undefined;
				}

				const waiting = callers.requests.find(sent => sent.entry === entry && sent.result === undefined && !sent.hasHungUp && read.has(sent.request.requestId));
				if (waiting !== undefined) {
					return `${entry.id} stopped before it answered ${waiting.request.requestId}`;
				}

				return entry.state.dispatch.attempts.size > 0 ? `${entry.id} stopped with requests in progress at endpoints` : undefined;
			},
		};
	},
};
