import {
	epochRecordSchema, memberSchema, storeKeys, type EventOf, type Member, type StoreEntry,
} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {adoptEpoch} from './adopt-epoch.js';
import {recordDeparture} from './record-departure.js';

/** Operation ids of this filter's store calls begin with this. @internal */
export const operationPrefix = 'membership:';

const registrationPauseMs = 1000;
const failedReadPauseMs = 1000;
const readOperations = ['members', 'departed', 'epoch:'].map(name => `${operationPrefix}${name}`);
/** Lowest interval of reads that changes of the epoch record cause. */
const readPauseMs = 300;

/** A stored entry without a value stands for a deleted key. */
type StoredChange = Omit<StoreEntry, 'value'> & {readonly value?: string};

/** Registers this entry and reads everything that membership knows from the store. @internal */
export function readMembership(state: EntryState): Output[] {
	return [
		registerSelf(state),
		emitEffect({
			kind: 'read-store', operationId: `${operationPrefix}members`, key: storeKeys.membersPrefix, isPrefix: true,
		}),
		emitEffect({
			kind: 'read-store', operationId: `${operationPrefix}departed`, key: storeKeys.departedPrefix, isPrefix: true,
		}),
		...readEpoch(state),
	];
}

/** Reads the epoch record. @internal */
export function readEpoch(state: EntryState): Output[] {
	const {membership} = state;
	membership.operationCount += 1;
	membership.readOperation = `${operationPrefix}epoch:${membership.operationCount}`;
	return [emitEffect({
		kind: 'read-store', operationId: membership.readOperation, key: storeKeys.epoch, isPrefix: false,
	})];
}

/** Notes that a read has failed. @internal */
export function setReadRetry(state: EntryState, event: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	const isRead = readOperations.some(operation => event.operationId.startsWith(operation));
	if (isRead) {
		state.membership.readAgainAt ??= context.now + failedReadPauseMs;
	}

	return [];
}

/** Reads everything again after a failed read: what the watch delivered before is not known otherwise. @internal */
export function retryReads(state: EntryState, context: DecisionContext): Output[] {
	const {membership} = state;
	if (membership.readAgainAt === undefined || context.now < membership.readAgainAt || !membership.isStoreReached) {
		return [];
	}

	membership.readAgainAt = undefined;
	return readMembership(state);
}

/** Writes the registration again when it has failed, for instance because there was no lease yet. @internal */
export function retryRegistration(state: EntryState, context: DecisionContext): Output[] {
	const {membership} = state;
	if (membership.isRegistered || !membership.isStoreReached || context.now < membership.nextRegistrationAt) {
		return [];
	}

	membership.nextRegistrationAt = context.now + registrationPauseMs;
	return [registerSelf(state)];
}

/**
Applies the answer to a read of the epoch record.

The newest read sets the revision even to a lower one: a restored store goes back, and a wrong revision only makes the next compare-and-swap fail.

@internal
*/
export function applyEpochAnswer(state: EntryState, event: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	const {membership} = state;
	const [entry] = event.entries;
	if (event.operationId === membership.readOperation) {
		membership.storeRevision = entry?.revision ?? 0;
	}

	return entry === undefined ? [] : applyStoreChange(state, entry, context);
}

/** Applies a change that a watch or a read has shown. @internal */
export function applyStoreChange(state: EntryState, entry: StoredChange, context: DecisionContext): Output[] {
	const {membership} = state;
	if (entry.key === storeKeys.epoch) {
		return applyEpochChange(state, entry, context);
	}

	if (entry.key.startsWith(storeKeys.departedPrefix) && entry.value !== undefined) {
		membership.departed.add(entry.key.slice(storeKeys.departedPrefix.length));
		return [];
	}

	return entry.key.startsWith(storeKeys.membersPrefix) ? updateRegistration(state, entry) : [];
}

function applyEpochChange(state: EntryState, entry: StoredChange, context: DecisionContext): Output[] {
	const {membership} = state;
	const record = epochRecordSchema.safeParse(parseJson(entry.value ?? '')).data;
	if (record !== undefined && record.epoch >= (membership.record?.epoch ?? 0)) {
		membership.storeRevision = Math.max(entry.revision, membership.storeRevision ?? 0);
		return adoptEpoch(state, record, context);
	}

	// Either a late watch event or a store that has lost the adopted record; a read tells which.
	if (membership.record === undefined || context.now < membership.nextReadAt) {
		return [];
	}

	membership.nextReadAt = context.now + readPauseMs;
	return readEpoch(state);
}

/** Takes the registrations as read, and drops those that a missed watch event has deleted. @internal */
export function setRegistrations(state: EntryState, entries: readonly StoreEntry[]): Output[] {
	const {membership} = state;
	// A restored store starts again from a lower revision.
	membership.registrationRevisions.clear();
	const present = new Set(entries.map(entry => entry.key.slice(storeKeys.membersPrefix.length)));
	for (const id of membership.registered.keys()) {
		if (!present.has(id)) {
			membership.registered.delete(id);
		}
	}

	return entries.flatMap(entry => updateRegistration(state, entry));
}

function updateRegistration(state: EntryState, entry: StoredChange): Output[] {
	const {membership, config} = state;
	const entryId = entry.key.slice(storeKeys.membersPrefix.length);
	// The deletion of a lapsed lease can arrive after the new registration.
	if (entry.revision < (membership.registrationRevisions.get(entryId) ?? 0)) {
		return [];
	}

	membership.registrationRevisions.set(entryId, entry.revision);
	const member = memberSchema.safeParse(parseJson(entry.value ?? ''));
	if (!member.success) {
		membership.registered.delete(entryId);
		membership.isRegistered &&= entryId !== config.id;
		return [];
	}

	membership.registered.set(entryId, member.data);
	// Only one process can listen on an address, so an earlier incarnation at this entry's own address has ended.
	return entryId !== config.id && member.data.address === config.peerAddress ? recordDeparture(state, entryId) : [];
}

function registerSelf(state: EntryState): Output {
	return emitEffect({
		kind: 'write-store',
		operationId: `${operationPrefix}register`,
		key: `${storeKeys.membersPrefix}${state.config.id}`,
		value: JSON.stringify(getSelf(state)),
		condition: {kind: 'always'},
		isLeased: true,
	});
}

function getSelf(state: EntryState): Member {
	const {id, peerAddress, zone} = state.config;
	return {id, address: peerAddress, zone};
}
