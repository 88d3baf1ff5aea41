import {
	epochRecordSchema, memberSchema, storeKeys, type EntryId, type EpochRecord, type Member, type StoreEntry,
} from '@pistachiogauge/model';
import {
	emitEffect, passEvent, type Filter, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {isPoolCleared, updateActivation} from './activation.js';
import {isMember} from './permission.js';
import {proposeEpoch} from './propose-epoch.js';

/** Operation ids of this filter's store calls begin with this. */
const operationPrefix = 'membership:';

/**
Decides which epoch this entry follows, whether it may act, and which pools it owns.

@public
*/
export const membershipFilter: Filter = {
	name: 'membership',
	handlers: {
		tick: handleTick,
		'link-up'(state, event) {
			state.membership.links.add(event.entryId);
			return [];
		},
		'link-down'(state, event) {
			state.membership.links.delete(event.entryId);
			return [];
		},
		'peer-heartbeat'(state, event, context) {
			const {membership} = state;
			const {from, message} = event;
			membership.lastHeard.set(from, context.now);
			membership.adoptedBy.set(from, Math.max(message.adoptedEpoch, membership.adoptedBy.get(from) ?? 0));
			membership.reports.set(from, {suspects: message.suspects, at: context.now});
			const {record} = membership;
			if (record === undefined || membership.isLeaving) {
				return [];
			}

			if (message.adoptedEpoch < record.epoch) {
				return [emitEffect({kind: 'send-peer', to: from, message: {kind: 'epoch-announced', record}})];
			}

			if (message.adoptedEpoch === record.epoch && isMember(state, from)) {
				return [emitEffect({kind: 'send-peer', to: from, message: {kind: 'voucher', epoch: record.epoch, askedAt: message.askedAt}})];
			}

			return [];
		},
		'peer-voucher'(state, event, context) {
			const {membership} = state;
			membership.lastHeard.set(event.from, context.now);
			if (event.message.epoch === membership.record?.epoch) {
				const known = membership.vouchers.get(event.from) ?? Number.NEGATIVE_INFINITY;
				membership.vouchers.set(event.from, Math.max(known, event.message.askedAt));
			}

			return [];
		},
		'peer-epoch-announced': (state, event, context) => adoptEpoch(state, event.message.record, context),
		'store-reached'(state) {
			state.membership.isStoreReached = true;
			return readMembership(state);
		},
		'store-lost'(state) {
			state.membership.isStoreReached = false;
			return [];
		},
		'store-changed': (state, event, context) => handleStoreEntry(state, event, context),
		'store-answered'(state, event, context) {
			if (!event.operationId.startsWith(operationPrefix)) {
				return [];
			}

			const {membership} = state;
			if (event.operationId === membership.proposalOperation) {
				membership.proposalOperation = undefined;
				// Whatever the answer, the record itself is the truth: it also settles an answer lost after the write took effect.
				return readEpoch(state);
			}

			if (event.result !== 'applied') {
				return [];
			}

			if (event.operationId.endsWith(':epoch') && event.entries.length === 0) {
				membership.storeRevision = 0;
			}

			return event.entries.flatMap(entry => handleStoreEntry(state, entry, context));
		},
		'shutdown-requested'(state) {
			state.membership.isLeaving = true;
			return [];
		},
	},
};

function handleTick(state: EntryState, _event: unknown, context: DecisionContext): Output[] {
	const {membership} = state;
	membership.startedAt ??= context.now;
	return [
		...updateLinks(state),
		...sendHeartbeats(state, context),
		...updateActivation(state, context),
		...acquirePools(state),
		...proposeEpoch(state, context),
	];
}

function readMembership(state: EntryState): Output[] {
	return [
		emitEffect({
			kind: 'write-store', operationId: `${operationPrefix}register`, key: `${storeKeys.membersPrefix}${state.config.id}`, value: JSON.stringify(getSelf(state)), condition: {kind: 'always'}, isLeased: true,
		}),
		emitEffect({
			kind: 'read-store', operationId: `${operationPrefix}members`, key: storeKeys.membersPrefix, isPrefix: true,
		}),
		emitEffect({
			kind: 'read-store', operationId: `${operationPrefix}departed`, key: storeKeys.departedPrefix, isPrefix: true,
		}),
		...readEpoch(state),
	];
}

function readEpoch(_state: EntryState): Output[] {
	return [emitEffect({
		kind: 'read-store', operationId: `${operationPrefix}:epoch`, key: storeKeys.epoch, isPrefix: false,
	})];
}

function getSelf(state: EntryState): Member {
	const {id, peerAddress, zone} = state.config;
	return {id, address: peerAddress, zone};
}

/** A stored entry without a value stands for a deleted key. */
type StoredChange = Omit<StoreEntry, 'value'> & {readonly value?: string};

function handleStoreEntry(state: EntryState, entry: StoredChange, context: DecisionContext): Output[] {
	const {membership} = state;
	if (entry.key === storeKeys.epoch && entry.value !== undefined) {
		membership.storeRevision = Math.max(entry.revision, membership.storeRevision ?? 0);
		const record = epochRecordSchema.safeParse(parseJson(entry.value));
		return record.success ? adoptEpoch(state, record.data, context) : [];
	}

	if (entry.key.startsWith(storeKeys.departedPrefix) && entry.value !== undefined) {
		membership.departed.add(entry.key.slice(storeKeys.departedPrefix.length));
		return [];
	}

	if (entry.key.startsWith(storeKeys.membersPrefix)) {
		return updateRegistration(state, entry);
	}

	return [];
}

function updateRegistration(state: EntryState, entry: StoredChange): Output[] {
	const {membership, config} = state;
	const entryId = entry.key.slice(storeKeys.membersPrefix.length);
	if (entry.value === undefined) {
		membership.registered.delete(entryId);
		return [];
	}

	const member = memberSchema.safeParse(parseJson(entry.value));
	if (!member.success) {
		return [];
	}

	membership.registered.set(entryId, member.data);
	// Only one process can listen on an address, so an earlier incarnation at this entry's own address has ended.
	if (entryId !== config.id && member.data.address === config.peerAddress) {
		return recordDeparture(state, entryId);
	}

	return [];
}

function recordDeparture(state: EntryState, entryId: EntryId): Output[] {
	state.membership.departed.add(entryId);
	return [emitEffect({
		kind: 'write-store', operationId: `${operationPrefix}departure`, key: `${storeKeys.departedPrefix}${entryId}`, value: JSON.stringify({by: state.config.id}), condition: {kind: 'always'}, isLeased: false,
	})];
}

function adoptEpoch(state: EntryState, record: EpochRecord, context: DecisionContext): Output[] {
	const {membership, config} = state;
	const former = membership.record;
	if (former !== undefined && record.epoch <= former.epoch) {
		return [];
	}

	membership.formerMembers = former?.members.map(member => member.id) ?? [];
	membership.formerVouchers = membership.vouchers;
	membership.vouchers = new Map();
	membership.record = record;
	membership.majorityAdoptedAt = undefined;
	membership.isActive = false;
	membership.changeWantedAt = undefined;
	membership.nextHeartbeatAt = context.now;
	const outputs: Output[] = [
		emitEffect({
			kind: 'log', level: 'info', message: 'epoch adopted', fields: {epoch: record.epoch, members: record.members.length},
		}),
	];
	for (const member of record.members) {
		if (member.id !== config.id && member.address === config.peerAddress) {
			outputs.push(...recordDeparture(state, member.id));
		}
	}

	// With more than one epoch missed in between, another entry may have owned the pool meanwhile.
	const isRecent = former !== undefined && record.epoch <= former.epoch + 2;
	for (const pool of membership.acquired) {
		const isKept = isRecent && record.pools[pool]?.owner === config.id && record.previousPools[pool]?.owner === config.id;
		if (!isKept) {
			membership.acquired.delete(pool);
			outputs.push(passEvent({kind: 'pool-lost', pool}));
		}
	}

	outputs.push(
		passEvent({kind: 'epoch-adopted', epoch: record.epoch}),
		...[...membership.links].map(to => emitEffect({kind: 'send-peer', to, message: {kind: 'epoch-announced', record}})),
		...updateActivation(state, context),
		...acquirePools(state),
	);
	return outputs;
}

function acquirePools(state: EntryState): Output[] {
	const {membership, config} = state;
	const {record} = membership;
	if (record === undefined) {
		return [];
	}

	const outputs: Output[] = [];
	for (const [pool, assignment] of Object.entries(record.pools)) {
		if (assignment.owner !== config.id || membership.acquired.has(pool) || !isPoolCleared(state, pool)) {
			continue;
		}

		membership.acquired.add(pool);
		const isContinuous = record.previousPools[pool]?.standby === config.id;
		outputs.push(passEvent({kind: 'pool-acquired', pool, isContinuous}));
	}

	return outputs;
}

function sendHeartbeats(state: EntryState, context: DecisionContext): Output[] {
	const {membership, config} = state;
	if (context.now < membership.nextHeartbeatAt || membership.isLeaving) {
		return [];
	}

	membership.nextHeartbeatAt = context.now + config.timings.heartbeatMs;
	const message = {
		kind: 'heartbeat' as const,
		askedAt: context.now,
		adoptedEpoch: membership.record?.epoch ?? 0,
		bundleVersion: state.bundle.current?.version ?? 0,
		suspects: listSuspects(state, context.now),
	};
	return [...membership.links].map(to => emitEffect({kind: 'send-peer', to, message}));
}

function listSuspects(state: EntryState, now: number): EntryId[] {
	const {membership, config} = state;
	const suspects: EntryId[] = [];
	for (const {id} of membership.record?.members ?? []) {
		const heardAt = membership.lastHeard.get(id) ?? membership.startedAt ?? now;
		if (id !== config.id && now - heardAt > config.timings.suspectMs) {
			suspects.push(id);
		}
	}

	return suspects;
}

/** Keeps one link to every known entry; of a pair, the one with the lower id opens it. */
function updateLinks(state: EntryState): Output[] {
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
