import {
	epochRecordSchema, storeKeys, type EntryId, type EpochRecord, type EventOf, type Member, type PoolName,
} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {assignPools} from './assign-pools.js';
import {isCutOff, isHeard} from './heartbeat.js';
import {countSupport, getMajoritySize} from './permission.js';

/** Entries that start together get this long to register before the first epoch is written. */
const firstEpochDelayMs = 1000;
/** Each later entry in id order waits this much longer, so that proposals seldom collide. */
const proposalStaggerMs = 200;
/** Pause after a proposal, whatever became of it. */
const proposalPauseMs = 300;
/** A store call without an answer for this long no longer holds up the next proposal. */
const proposalLimitMs = 5000;

/**
Writes the next epoch when members or pools have changed.

Only the store's compare-and-swap decides between proposals. The proposer's epoch must be active, so no two epochs are in transition at once, and a majority of its members must vouch for the proposer or have ended.

@internal
*/
export function proposeEpoch(state: EntryState, context: DecisionContext): Output[] {
	const {membership} = state;
	if (!mayPropose(state, context)) {
		return [];
	}

	const next = createNextEpoch(state, context);
	if (next === undefined) {
		membership.changeWantedAt = undefined;
		return [];
	}

	membership.changeWantedAt ??= context.now;
	const rank = getRank(state, next.members.map(member => member.id));
	const delayMs = (membership.record === undefined ? firstEpochDelayMs : 0) + (rank * proposalStaggerMs);
	if (context.now - membership.changeWantedAt < delayMs) {
		return [];
	}

	return writeEpoch(state, next, context);
}

/** Writes an epoch record under the condition that the store still holds the one last read. @internal */
export function writeEpoch(state: EntryState, record: EpochRecord, context: DecisionContext): Output[] {
	const {membership} = state;
	membership.operationCount += 1;
	membership.proposalCount += 1;
	membership.proposalOperation = `membership:proposal:${membership.operationCount}`;
	membership.proposedAt = context.now;
	membership.nextProposalAt = context.now + proposalPauseMs;
	const revision = membership.storeRevision ?? 0;
	return [emitEffect({
		kind: 'write-store',
		operationId: membership.proposalOperation,
		key: storeKeys.epoch,
		value: JSON.stringify(record),
		condition: revision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision},
		isLeased: false,
	})];
}

/** Lets the next proposal go when the answer to the last one never came. @internal */
export function dropStaleProposal(state: EntryState, context: DecisionContext): Output[] {
	const {membership} = state;
	if (membership.proposalOperation !== undefined && context.now - membership.proposedAt > proposalLimitMs) {
		membership.proposalOperation = undefined;
	}

	return [];
}

/**
Puts the adopted record back into a store that holds an older one or none.

A store restored from a copy has forgotten epochs that the entries already follow. Writing the adopted record again decides nothing new.

@internal
*/
export function restoreEpochRecord(state: EntryState, event: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	const {membership} = state;
	if (membership.record === undefined || membership.proposalOperation !== undefined || event.operationId !== membership.readOperation) {
		return [];
	}

	const [entry] = event.entries;
	const stored = entry === undefined ? undefined : epochRecordSchema.safeParse(parseJson(entry.value)).data;
	return (stored?.epoch ?? 0) < membership.record.epoch ? writeEpoch(state, membership.record, context) : [];
}

function mayPropose(state: EntryState, context: DecisionContext): boolean {
	const {membership} = state;
	if (
		!membership.isStoreReached
		|| membership.storeRevision === undefined
		|| membership.proposalOperation !== undefined
		|| membership.isLeaving
		|| context.now < membership.nextProposalAt
	) {
		return false;
	}

	if (membership.record === undefined) {
		return membership.storeRevision === 0;
	}

	return membership.isActive && countSupport(state, context.now) >= getMajoritySize(membership.record.members.length);
}

function createNextEpoch(state: EntryState, context: DecisionContext): EpochRecord | undefined {
	const {membership} = state;
	const {record} = membership;
	const members = listNextMembers(state, context);
	if (members.length === 0) {
		// Everyone is suspected, this entry as well.
		return undefined;
	}

	const pools = assignPools(listAssignedPools(state), members, record?.pools ?? {});
	if (record !== undefined && isSame(record, members, pools) && !hasStray(state, record)) {
		return undefined;
	}

	return createEpochRecord(state, members, pools, false);
}

/** Builds the record of the epoch after the adopted one. @internal */
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

/** Whether a member follows another record with the same epoch number; only the next epoch brings it back. */
function hasStray(state: EntryState, record: EpochRecord): boolean {
	const {adoptedBy, proposalOf} = state.membership;
	return record.members.some(({id}) => id !== state.config.id && adoptedBy.get(id) === record.epoch && proposalOf.get(id) !== record.proposal);
}

function isSame(record: EpochRecord, members: readonly Member[], pools: EpochRecord['pools']): boolean {
	return JSON.stringify(listSortedIds(record.members)) === JSON.stringify(listSortedIds(members))
		&& JSON.stringify(listSortedEntries(record.pools)) === JSON.stringify(listSortedEntries(pools));
}

function compareText(left: string, right: string): number {
	return left < right ? -1 : 1;
}

function listSortedIds(members: readonly Member[]): EntryId[] {
	return members.map(member => member.id).sort(compareText);
}

function listSortedEntries(pools: EpochRecord['pools']): unknown {
	return Object.entries(pools).sort(([left], [right]) => compareText(left, right)).map(([pool, {owner, standby}]) => [pool, owner, standby]);
}

/** Keeps members that a majority of the others does not suspect, and adds registered entries that are linked. @internal */
export function listNextMembers(state: EntryState, context: DecisionContext): Member[] {
	const {membership, config} = state;
	const members = new Map<EntryId, Member>();
	for (const member of membership.record?.members ?? []) {
		if (!isEnding(state, member.id) && !isSuspectedByMajority(state, member.id, context.now)) {
			members.set(member.id, member);
		}
	}

	for (const member of membership.registered.values()) {
		const isPresent = member.id === config.id
			|| (membership.links.has(member.id) && isHeard(state, member.id, context.now) && !isCutOff(state, member.id, context.now));
		if (isPresent && !isEnding(state, member.id)) {
			members.set(member.id, member);
		}
	}

	return [...members.values()].sort((left, right) => compareText(left.id, right.id));
}

function isEnding(state: EntryState, entryId: EntryId): boolean {
	return state.membership.departed.has(entryId) || state.membership.leaving.has(entryId);
}

function isSuspectedByMajority(state: EntryState, entryId: EntryId, now: number): boolean {
	const {membership, config} = state;
	const others = (membership.record?.members ?? []).filter(member => member.id !== entryId);
	let suspecting = 0;
	for (const {id} of others) {
		if (id === config.id) {
			suspecting += isHeard(state, entryId, now) && !isCutOff(state, entryId, now) ? 0 : 1;
			continue;
		}

		const report = membership.reports.get(id);
		if (report !== undefined && now - report.at <= config.timings.suspectMs && report.suspects.includes(entryId)) {
			suspecting += 1;
		}
	}

	return suspecting >= getMajoritySize(others.length);
}

function getRank(state: EntryState, members: readonly EntryId[]): number {
	const present = members.filter(id => id === state.config.id || state.membership.links.has(id)).sort(compareText);
	return Math.max(0, present.indexOf(state.config.id));
}

/**
Pools that an epoch assigns: those of the bundle and those of the epoch before.

A pool that the bundle drops keeps its owner. So a pool without a former owner has never had one, and its owner knows that no key can have run.

@internal
*/
export function listAssignedPools(state: EntryState): PoolName[] {
	const declared = Object.keys(state.bundle.current?.pools ?? {});
	const former = Object.keys(state.membership.record?.pools ?? {});
	return [...new Set([...former, ...declared])];
}
