import {type EntryId} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type EntryState} from '../entry-state.js';

/** Keeps one link to every known entry; of a pair, the one with the lower id opens it. @internal */
export function updateLinks(state: EntryState): Output[] {
	const {membership, config} = state;
	const known = new Map<EntryId, string>();
	for (const {id, address} of [...membership.registered.values(), ...membership.record?.members ?? []]) {
		if (id !== config.id && !membership.departed.has(id) && config.id < id) {
			known.set(id, address);
		}
	}

	const outputs: Output[] = [];
	for (const [entryId, address] of known) {
		if (membership.wantedLinks.get(entryId) !== address) {
			membership.wantedLinks.set(entryId, address);
			outputs.push(emitEffect({kind: 'open-link', entryId, address}));
		}
	}

	for (const entryId of membership.wantedLinks.keys()) {
		if (!known.has(entryId)) {
			membership.wantedLinks.delete(entryId);
			outputs.push(emitEffect({kind: 'close-link', entryId}));
		}
	}

	return outputs;
}
