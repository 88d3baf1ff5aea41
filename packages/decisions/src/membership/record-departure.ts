import {storeKeys, type EntryId} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type EntryState} from '../entry-state.js';

/** Records in the store that an earlier incarnation of an entry, a process with the same address, has ended. @internal */
export function recordDeparture(state: EntryState, entryId: EntryId): Output[] {
	state.membership.departed.add(entryId);
	return [emitEffect({
		kind: 'write-store',
		operationId: 'membership:departure',
		key: `${storeKeys.departedPrefix}${entryId}`,
		value: JSON.stringify({by: state.config.id}),
		condition: {kind: 'always'},
		isLeased: false,
	})];
}
