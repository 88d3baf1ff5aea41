import {storeKeys} from '@pistachiogauge/model';
import {type Simulation} from '../virtual/simulation.js';
import {type Check} from './check.js';
import {parsePoolRecord, readInstancePool} from './read-records.js';

/** Bound of section 1.2 of the design page: after this time a drained instance gets no new requests. */
const drainBoundMs = 3000;
/** An instance that is missing from the list for this long counts as out of service. */
const unlistedMs = 3000;

/** Returns the pool whose record a key holds; undefined for other keys. */
function getPoolOfKey(key: string): string | undefined {
	return key.startsWith(storeKeys.poolsPrefix) ? key.slice(storeKeys.poolsPrefix.length) : undefined;
}

/** No planned stop starts beyond the pool's budget or without a permit. */
export const budgetCheck: Check = {
	name: 'budget',
	createHandlers() {
		const permittedByPool = new Map<string, ReadonlySet<string>>();
		const unlistedSince = new Map<string, number>();
		return {
			'store-written'(simulation, {key, value, cause}) {
				const pool = getPoolOfKey(key);
				if (pool === undefined) {
					return undefined;
				}

				const previous = permittedByPool.get(pool) ?? new Set<string>();
				const current = new Set(Object.keys(parsePoolRecord(value)?.permits ?? {}));
				permittedByPool.set(pool, current);
				// A restore of the store can bring back permits that no entry requested.
				const isLarger = cause !== 'restore' && [...current].some(id => !previous.has(id));
				const failed = listUnlisted(simulation, pool, unlistedSince).filter(id => !current.has(id));
				const budget = simulation.bundles.getBudget(pool);
				return isLarger && current.size + failed.length > budget
					? `${pool} has permits for ${[...current].join(', ')} and has lost ${failed.join(', ') || 'none'}, with a budget of ${budget}`
					: undefined;
			},
			'instance-rebooted'(_simulation, {instanceId}) {
				const isPermitted = [...permittedByPool.values()].some(ids => ids.has(instanceId));
				return isPermitted ? undefined : `${instanceId} was rebooted without a permit`;
			},
			'interval-elapsed'(simulation) {
				const listed = new Set(simulation.fleet.getListedInstances().map(instance => instance.id));
				for (const id of simulation.fleet.endpoints.keys()) {
					if (listed.has(id)) {
						unlistedSince.delete(id);
					} else if (!unlistedSince.has(id)) {
						unlistedSince.set(id, simulation.queue.now);
					}
				}

				return undefined;
			},
		};
	},
};

function listUnlisted(simulation: Simulation, pool: string, unlistedSince: ReadonlyMap<string, number>): string[] {
	const ids: string[] = [];
	// `unlistedSince` is updated every 250 ms; an instance that has been listed again since then is in service.
	const listed = new Set(simulation.fleet.getListedInstances().map(instance => instance.id));
	for (const [id, since] of unlistedSince) {
		if (!listed.has(id) && simulation.queue.now - since > unlistedMs && !simulation.conditions.isListDown && readInstancePool(simulation.store.keyValues, id) === pool) {
			ids.push(id);
		}
	}

	return ids;
}

/** An instance whose drain is recorded gets no new requests after the bound. */
export const drainedCheck: Check = {
	name: 'drained-gets-nothing',
	createHandlers() {
		const recordedAt = new Map<string, Map<string, number>>();
		return {
			'store-written'(simulation, {key, value, cause}) {
				const pool = getPoolOfKey(key);
				if (pool === undefined) {
					return undefined;
				}

				const previous = recordedAt.get(pool);
				if (cause === 'restore') {
					// A restore of the store is not a recorded drain; the next write of an entry counts again.
					recordedAt.delete(pool);
					return undefined;
				}

				const ids = Object.keys(parsePoolRecord(value)?.permits ?? {});
				recordedAt.set(pool, new Map(ids.map(id => [id, previous?.get(id) ?? simulation.queue.now])));
				return undefined;
			},
			'attempt-written'(simulation, {entry, request, instanceId, pool}) {
				const at = recordedAt.get(pool)?.get(instanceId);
				const ageMs = at === undefined ? 0 : simulation.queue.now - at;
				return ageMs > drainBoundMs
					? `${entry.id} sent ${request.requestId} to ${instanceId} ${Math.round(ageMs)} ms after its drain was recorded`
					: undefined;
			},
		};
	},
};

/** A planned stop of an instance or an entry does not interrupt any request. */
export const gracefulStopCheck: Check = {
	name: 'graceful-stop',
	createHandlers(callers) {
		/** Requests that an entry has read; a process cannot wait for one that it has not read yet. */
		const readRequestIds = new Set<string>();
		return {
			'event-applied'(_simulation, {event}) {
				if (event.kind === 'request-received') {
					readRequestIds.add(event.request.requestId);
				}

				return undefined;
			},
			'instance-rebooted': (_simulation, {instanceId, busyCount}) => busyCount > 0
				? `${instanceId} was rebooted while it ran ${busyCount} requests`
				: undefined,
			'entry-stopped'(_simulation, {entry, exitCode}) {
				if (exitCode !== 0) {
					return undefined;
				}

				const waiting = callers.requests.find(sent => sent.entry === entry && sent.result === undefined && !sent.hasHungUp && readRequestIds.has(sent.request.requestId));
				if (waiting !== undefined) {
					return `${entry.id} stopped before it answered ${waiting.request.requestId}`;
				}

				return entry.state.dispatch.attempts.size > 0 ? `${entry.id} stopped with requests in progress at endpoints` : undefined;
			},
		};
	},
};
