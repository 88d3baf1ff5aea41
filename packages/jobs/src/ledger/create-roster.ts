import {type DirectoryView} from '../directory/index.js';
import {type Roster} from '../model/index.js';
import {type PoolLedger} from './ledger-state.js';

/** Creates the roster of endpoints that may run tasks: those listed for the pool, and those on the saved roster unless it is certain that they run nothing. @internal */
export function createRoster(directory: DirectoryView['directory'], pool: PoolLedger): Roster {
	const ids = new Set<string>();
	for (const endpoint of directory.endpoints.values()) {
		if (endpoint.pool === pool.pool) {
			ids.add(endpoint.id);
			pool.forgottenEndpointIds.delete(endpoint.id);
		}
	}

	for (const id of pool.rosterEndpointIds) {
		if (!pool.forgottenEndpointIds.has(id)) {
			ids.add(id);
		}
	}

	const silent = [...pool.silentRuns].filter(([, runs]) => runs.length > 0).sort(([left], [right]) => left < right ? -1 : 1);
	const endpointIds = [...ids].filter(id => !pool.evacuatedEndpointIds.has(id) && !pool.silentRuns.has(id)).sort();
	return {
		endpointIds,
		...(silent.length > 0 && {silentRuns: Object.fromEntries(silent)}),
		processes: Object.fromEntries([...endpointIds, ...silent.map(([id]) => id)].flatMap(id => {
			// Until a process has answered, the one that was listed first counts.
			const startedAt = pool.endpointProcesses.get(id) ?? pool.savedRoster.processes?.[id] ?? directory.endpoints.get(id)?.startedAt;
			return startedAt === undefined ? [] : [[id, startedAt]];
		})),
	};
}
