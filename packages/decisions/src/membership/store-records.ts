import {
	epochRecordSchema, memberSchema, storeKeys, type EventOf, type Member, type KeyValue,
} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {adoptEpoch} from './adopt-epoch.js';
import {recordDeparture} from './record-departure.js';

/** Prefix of the operation ids of this filter's store calls. @internal */
export const operationIdPrefix = 'membership:';

const registrationRetryDelayMs = 1000;
const readRetryDelayMs = 1000;
const readOperationIdPrefixes = ['members', 'departed', 'epoch:'].map(name => `${operationIdPrefix}${name}`);
/** Minimum interval between reads of the epoch record that are triggered by its changes. */
const minEpochReadIntervalMs = 300;

/** A key of the store as a read or watch reports it; without a value the key was deleted. */
type StoreChange = Omit<KeyValue, 'value'> & {readonly value?: string};

/** Registers this entry and reads all membership records from the store. @internal */
export function readMembership(state: EntryState): Output[] {
	return [
		registerSelf(state),
		emitEffect({
			kind: 'read-store', operationId: `${operationIdPrefix}members`, key: storeKeys.membersPrefix, isPrefix: true,
		}),
		emitEffect({
			kind: 'read-store', operationId: `${operationIdPrefix}departed`, key: storeKeys.departedPrefix, isPrefix: true,
		}),
		...readEpoch(state),
	];
}

/** Reads the epoch record. Answers to earlier reads no longer set its revision. @internal */
export function readEpoch(state: EntryState): Output[] {
	const {membership} = state;
	membership.operationCount += 1;
	membership.epochReadOperationId = `${operationIdPrefix}epoch:${membership.operationCount}`;
	return [emitEffect({
		kind: 'read-store', operationId: membership.epochReadOperationId, key: storeKeys.epoch, isPrefix: false,
	})];
}

/** Schedules another read of all records when the failed operation was a read. @internal */
export function scheduleReadRetry(state: EntryState, event: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	const isRead = readOperationIdPrefixes.some(operation => event.operationId.startsWith(operation));
	if (isRead) {
		state.membership.retryReadsAt ??= context.now + readRetryDelayMs;
	}

	return [];
}

/** Reads all records again after a failed read, because the watch does not report changes that were made before it began. @internal */
export function retryReads(state: EntryState, context: DecisionContext): Output[] {
	const {membership} = state;
	if (membership.retryReadsAt === undefined || context.now < membership.retryReadsAt || !membership.isStoreReached) {
		return [];
	}

	membership.retryReadsAt = undefined;
	return readMembership(state);
}

/** Writes the registration again when the last attempt has failed, for example because there was no store lease yet. @internal */
export function retryRegistration(state: EntryState, context: DecisionContext): Output[] {
	const {membership} = state;
	if (membership.isRegistered || !membership.isStoreReached || context.now < membership.nextRegistrationAt) {
		return [];
	}

	membership.nextRegistrationAt = context.now + registrationRetryDelayMs;
	return [registerSelf(state)];
}

/**
Applies the answer to a read of the epoch record.

The latest read sets the revision even if it is lower than the known one: a restored store starts from an older revision, and a wrong revision only makes the next compare-and-swap fail.

@internal
*/
export function applyEpochRead(state: EntryState, event: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	const {membership} = state;
	const [entry] = event.entries;
	if (event.operationId === membership.epochReadOperationId) {
		membership.storeRevision = entry?.revision ?? 0;
	}

	return entry === undefined ? [] : applyStoreChange(state, entry, context);
}

/** Applies a key that was read from the store or reported by the watch. @internal */
export function applyStoreChange(state: EntryState, entry: StoreChange, context: DecisionContext): Output[] {
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

function applyEpochChange(state: EntryState, entry: StoreChange, context: DecisionContext): Output[] {
	const {membership} = state;
	const record = epochRecordSchema.safeParse(parseJson(entry.value ?? '')).data;
	if (record !== undefined && record.epoch >= (membership.record?.epoch ?? 0)) {
		membership.storeRevision = Math.max(entry.revision, membership.storeRevision ?? 0);
		return adoptEpoch(state, record, context);
	}

	// Either a delayed watch event or a store that has lost the adopted record; reading the record shows which.
	if (membership.record === undefined || context.now < membership.nextReadAt) {
		return [];
	}

	membership.nextReadAt = context.now + minEpochReadIntervalMs;
	return readEpoch(state);
}

/** Replaces the known registrations by those read, which drops those whose deletion the watch has missed. @internal */
export function replaceRegistrations(state: EntryState, entries: readonly KeyValue[]): Output[] {
	const {membership} = state;
	// A restored store starts from a lower revision, so known revisions are no longer comparable.
	membership.registrationRevisions.clear();
	const present = new Set(entries.map(entry => entry.key.slice(storeKeys.membersPrefix.length)));
	for (const id of membership.registrations.keys()) {
		if (!present.has(id)) {
			membership.registrations.delete(id);
		}
	}

	return entries.flatMap(entry => updateRegistration(state, entry));
}

function updateRegistration(state: EntryState, entry: StoreChange): Output[] {
	const {membership, config} = state;
	const entryId = entry.key.slice(storeKeys.membersPrefix.length);
	// The deletion caused by an expired lease can arrive after the new registration.
	if (entry.revision < (membership.registrationRevisions.get(entryId) ?? 0)) {
		return [];
	}

	membership.registrationRevisions.set(entryId, entry.revision);
	const member = memberSchema.safeParse(parseJson(entry.value ?? ''));
	if (!member.success) {
		membership.registrations.delete(entryId);
		membership.isRegistered &&= entryId !== config.id;
		return [];
	}

	membership.registrations.set(entryId, member.data);
	// Only one process can listen on an address, so another incarnation registered with this entry's address has ended.
	return entryId !== config.id && member.data.address === config.peerAddress ? recordDeparture(state, entryId) : [];
}

function registerSelf(state: EntryState): Output {
	return emitEffect({
		kind: 'write-store',
		operationId: `${operationIdPrefix}register`,
		key: `${storeKeys.membersPrefix}${state.config.id}`,
		value: JSON.stringify(createOwnMember(state)),
		condition: {kind: 'always'},
		isLeased: true,
	});
}

function createOwnMember(state: EntryState): Member {
	const {id, peerAddress, zone} = state.config;
	return {id, address: peerAddress, zone};
}
