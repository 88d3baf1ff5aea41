import {
	epochRecordSchema, storeKeys, type EntryId, type EpochRecord, type EventOf, type Member, type PoolName,
} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {assignPools} from './assign-pools.js';
import {hasLostMajority, isRecentlyHeard} from './heartbeat.js';
import {countSupporters, getMajoritySize} from './permission.js';

/** Time for entries that start together to register before the first epoch is written. */
const firstEpochDelayMs = 1000;
/** Additional delay for each position of an entry in the order of ids, so that proposals rarely conflict. */
const proposalStaggerMs = 200;
/** Minimum interval between proposals of this entry, whether they succeed or not. */
const minProposalIntervalMs = 300;
/** Time without an answer from the store after which a pending proposal no longer blocks the next one. */
const proposalTimeoutMs = 5000;

/**
Writes the next epoch when members or pools have changed.

Competing proposals are decided by the store's compare-and-swap alone. The proposer's epoch must be active, so that two epoch changes never overlap, and a majority of its members must have granted the proposer a voucher or have ended.

@internal
*/
export function proposeEpoch(state: EntryState, context: DecisionContext): Output[] {
	const {membership} = state;
	if (!canPropose(state, context)) {
		return [];
	}

	const next = createNextEpoch(state, context);
	if (next === undefined) {
		membership.changeNeededAt = undefined;
		return [];
	}

	membership.changeNeededAt ??= context.now;
	const rank = computeProposerRank(state, next.members.map(member => member.id));
	const delayMs = (membership.record === undefined ? firstEpochDelayMs : 0) + (rank * proposalStaggerMs);
	if (context.now - membership.changeNeededAt < delayMs) {
		return [];
	}

	return writeEpoch(state, next, context);
}

/** Writes an epoch record on the condition that the record in the store is unchanged since the last read. @internal */
export function writeEpoch(state: EntryState, record: EpochRecord, context: DecisionContext): Output[] {
	const {membership} = state;
	membership.operationCount += 1;
	membership.proposalCount += 1;
	membership.proposalOperationId = `membership:proposal:${membership.operationCount}`;
	membership.proposedAt = context.now;
	membership.nextProposalAt = context.now + minProposalIntervalMs;
	const revision = membership.storeRevision ?? 0;
	return [emitEffect({
		kind: 'write-store',
		operationId: membership.proposalOperationId,
		key: storeKeys.epoch,
		value: JSON.stringify(record),
		condition: revision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision},
		isLeased: false,
	})];
}

/** Drops the pending proposal after a timeout, so that the next one can be written. @internal */
export function dropStaleProposal(state: EntryState, context: DecisionContext): Output[] {
	const {membership} = state;
	if (membership.proposalOperationId !== undefined && context.now - membership.proposedAt > proposalTimeoutMs) {
		membership.proposalOperationId = undefined;
	}

	return [];
}

/**
Writes the adopted epoch record again when the store has an older one or none.

A store that was restored from a backup lacks epochs that the entries have already adopted. Writing the adopted record again changes neither members nor owners.

@internal
*/
export function restoreEpochRecord(state: EntryState, event: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	const {membership} = state;
	if (membership.record === undefined || membership.proposalOperationId !== undefined || event.operationId !== membership.epochReadOperationId) {
		return [];
	}

	const [entry] = event.entries;
	const stored = entry === undefined ? undefined : epochRecordSchema.safeParse(parseJson(entry.value)).data;
	return (stored?.epoch ?? 0) < membership.record.epoch ? writeEpoch(state, membership.record, context) : [];
}

function canPropose(state: EntryState, context: DecisionContext): boolean {
	const {membership} = state;
	if (
		!membership.isStoreReached
		|| membership.storeRevision === undefined
		|| membership.proposalOperationId !== undefined
		|| membership.isLeaving
		|| context.now < membership.nextProposalAt
	) {
		return false;
	}

	if (membership.record === undefined) {
		return membership.storeRevision === 0;
	}

	return membership.isActive && countSupporters(state, context.now) >= getMajoritySize(membership.record.members.length);
}

function createNextEpoch(state: EntryState, context: DecisionContext): EpochRecord | undefined {
	const {membership} = state;
	const {record} = membership;
	const members = listNextMembers(state, context);
	if (members.length === 0) {
		// All members are suspected, including this entry.
		return undefined;
	}

	const pools = assignPools(listAssignedPools(state), members, record?.pools ?? {});
	if (record !== undefined && isUnchanged(record, members, pools) && !hasDivergedMember(state, record)) {
		return undefined;
	}

	return createEpochRecord(state, members, pools, false);
}

/** Creates the record of the epoch after the adopted one. @internal */
export function createEpochRecord(state: EntryState, members: readonly Member[], pools: EpochRecord['pools'], isForced: boolean): EpochRecord {
	const {record, proposalCount} = state.membership;
	return {
		epoch: (record?.epoch ?? 0) + 1,
		members: [...members],
		pools,
		previousMembers: record?.members.map(member => member.id) ?? [],
		previousPools: record?.pools ?? {},
		forced: isForced,
		proposer: state.config.id,
		proposal: `${state.config.id}:${proposalCount}`,
		previousProposal: record?.proposal,
	};
}

/** Whether a member has adopted a different record with the same epoch number; only a higher epoch makes it follow this one again. */
function hasDivergedMember(state: EntryState, record: EpochRecord): boolean {
	const {adoptedEpochs, adoptedProposals} = state.membership;
	return record.members.some(({id}) => id !== state.config.id && adoptedEpochs.get(id) === record.epoch && adoptedProposals.get(id) !== record.proposal);
}

function isUnchanged(record: EpochRecord, members: readonly Member[], pools: EpochRecord['pools']): boolean {
	return JSON.stringify(listSortedIds(record.members)) === JSON.stringify(listSortedIds(members))
		&& JSON.stringify(listSortedPools(record.pools)) === JSON.stringify(listSortedPools(pools));
}

function compareText(left: string, right: string): number {
	return left < right ? -1 : 1;
}

function listSortedIds(members: readonly Member[]): EntryId[] {
	return members.map(member => member.id).sort(compareText);
}

function listSortedPools(pools: EpochRecord['pools']): unknown {
	return Object.entries(pools).sort(([left], [right]) => compareText(left, right)).map(([pool, {owner, standby}]) => [pool, owner, standby]);
}

/** Lists the members of the next epoch: current members that a majority of the others does not suspect, and registered entries that this entry can reach. @internal */
export function listNextMembers(state: EntryState, context: DecisionContext): Member[] {
	const {membership, config} = state;
	const members = new Map<EntryId, Member>();
	for (const member of membership.record?.members ?? []) {
		if (!isDepartedOrLeaving(state, member.id) && !isSuspectedByMajority(state, member.id, context.now)) {
			members.set(member.id, member);
		}
	}

	for (const member of membership.registrations.values()) {
		const isPresent = member.id === config.id
			|| (membership.links.has(member.id) && isRecentlyHeard(state, member.id, context.now) && !hasLostMajority(state, member.id, context.now));
		if (isPresent && !isDepartedOrLeaving(state, member.id)) {
			members.set(member.id, member);
		}
	}

	return [...members.values()].sort((left, right) => compareText(left.id, right.id));
}

function isDepartedOrLeaving(state: EntryState, entryId: EntryId): boolean {
	return state.membership.departed.has(entryId) || state.membership.leaving.has(entryId);
}

function isSuspectedByMajority(state: EntryState, entryId: EntryId, now: number): boolean {
	const {membership, config} = state;
	const others = (membership.record?.members ?? []).filter(member => member.id !== entryId);
	let suspecting = 0;
	for (const {id} of others) {
		if (id === config.id) {
			suspecting += isRecentlyHeard(state, entryId, now) && !hasLostMajority(state, entryId, now) ? 0 : 1;
			continue;
		}

		const report = membership.suspicionReports.get(id);
		if (report !== undefined && now - report.receivedAt <= config.timings.suspectMs && report.suspects.includes(entryId)) {
			suspecting += 1;
		}
	}

	return suspecting >= getMajoritySize(others.length);
}

function computeProposerRank(state: EntryState, members: readonly EntryId[]): number {
	const present = members.filter(id => id === state.config.id || state.membership.links.has(id)).sort(compareText);
	return Math.max(0, present.indexOf(state.config.id));
}

/**
Lists the pools to which an epoch assigns an owner: those of the bundle and those of the previous epoch.

A pool that is removed from the bundle keeps its owner. So a pool without a former owner has never had one, and its new owner knows that no key of it can have run.

@internal
*/
export function listAssignedPools(state: EntryState): PoolName[] {
	const declared = Object.keys(state.bundle.current?.pools ?? {});
	const former = Object.keys(state.membership.record?.pools ?? {});
	return [...new Set([...former, ...declared])];
}
