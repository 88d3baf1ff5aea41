import {type Bundle} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/**
Finds what keeps a bundle from replacing the one in force; undefined when nothing does.

A pool with instances cannot be removed, because no one would own them. A service may be removed or change its pool: the idempotency filter refuses keys that the new pool's owner cannot know.

@public
*/
export function findReplacementConflict(state: EntryState, next: Bundle): string | undefined {
	const {current} = state.bundle;
	for (const pool of Object.keys(current?.pools ?? {})) {
		const instances = Object.hasOwn(next.pools, pool) ? [] : listInstances(state, pool);
		if (instances.length > 0) {
			return `pool ${pool} still has instances: ${instances.join(', ')}; move them first`;
		}
	}

	return undefined;
}

function listInstances(state: EntryState, pool: string): string[] {
	return [...state.fleet.instances]
		.filter(([, {record}]) => record?.pool === pool && record.hasLeft !== true)
		.map(([id]) => id);
}
