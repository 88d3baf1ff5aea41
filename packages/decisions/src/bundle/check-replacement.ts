import {type Bundle} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/**
Finds what keeps a bundle from replacing the one in force; undefined when nothing does.

A pool with instances cannot be removed, because no one would own them. A service stays in its pool, because only that pool's owner knows which keys have run.

@public
*/
export function findReplacementFault(state: EntryState, next: Bundle): string | undefined {
	const {current} = state.bundle;
	for (const pool of Object.keys(current?.pools ?? {})) {
		const instances = Object.hasOwn(next.pools, pool) ? [] : listInstances(state, pool);
		if (instances.length > 0) {
			return `pool ${pool} still has instances: ${instances.join(', ')}; move them first`;
		}
	}

	for (const [service, declaration] of Object.entries(current?.services ?? {})) {
		const pool = Object.hasOwn(next.services, service) ? next.services[service]!.pool : declaration.pool;
		if (pool !== declaration.pool) {
			return `service ${service} moves from pool ${declaration.pool} to pool ${pool}, whose owner does not know which of its requests have run; declare a new service`;
		}
	}

	return undefined;
}

function listInstances(state: EntryState, pool: string): string[] {
	return [...state.fleet.instances]
		.filter(([, {record}]) => record?.pool === pool && record.hasLeft !== true)
		.map(([id]) => id);
}
