import {type Bundle} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/**
Finds the reason why a bundle may not replace the applied one; undefined when it may.

A pool that still has instances cannot be removed, because nobody would own them. A service may be removed or assigned to another pool: the idempotency filter refuses keys that the new pool's owner cannot know.

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
