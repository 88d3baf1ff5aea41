import {type EntryId} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type EntryState} from '../entry-state.js';

/** Maintains one link to every known entry. Of two entries, the one with the lower id opens the link. @internal */
export function updateLinks(state: EntryState): Output[] {
	const {membership, config} = state;
	const knownAddresses = new Map<EntryId, string>();
	for (const {id, address} of [...membership.registrations.values(), ...membership.record?.members ?? []]) {
		if (id !== config.id && !membership.departed.has(id) && config.id < id) {
			knownAddresses.set(id, address);
		}
	}

	const outputs: Output[] = [];
	for (const [entryId, address] of knownAddresses) {
		if (membership.requestedLinks.get(entryId) !== address) {
			membership.requestedLinks.set(entryId, address);
			outputs.push(emitEffect({kind: 'open-link', entryId, address}));
		}
	}

	for (const entryId of membership.requestedLinks.keys()) {
		if (!knownAddresses.has(entryId)) {
			membership.requestedLinks.delete(entryId);
			outputs.push(emitEffect({kind: 'close-link', entryId}));
		}
	}

	return outputs;
}
