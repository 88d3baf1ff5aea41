import {
	storeKeys, type EntryId, type EpochRecord, type Member,
} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {assignPools} from './assign-pools.js';
import {getMajority, getVouchedUntil} from './permission.js';

/** Entries that start together get this long to register before the first epoch is written. */
const firstEpochDelayMs = 1000;
/** Each later entry in id order waits this much longer, so that proposals seldom collide. */
const proposalStaggerMs = 200;
/** Pause after a proposal, whatever became of it. */
const proposalPauseMs = 300;

/**
Writes the next epoch when members or pools have changed.

Only the store's compare-and-swap decides between proposals. A proposer must be vouched for by a majority and its epoch must be active, so no two epochs are in transition at once.

@internal
*/
export function proposeEpoch(state: EntryState, context: DecisionContext): Output[] {
	const {membership} = state;
	if (!canPropose(state, context)) {
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

	membership.operationCount += 1;
	membership.proposalOperation = `membership:proposal:${membership.operationCount}`;
	membership.nextProposalAt = context.now + proposalPauseMs;
	const revision = membership.storeRevision!;
	return [emitEffect({
		kind: 'write-store',
		operationId: membership.proposalOperation,
		key: storeKeys.epoch,
		value: JSON.stringify(next),
		condition: revision === 0 ? {kind: 'absent'} : {kind: 'unchanged', revision},
		isLeased: false,
	})];
}

function canPropose(state: EntryState, context: DecisionContext): boolean {
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

	const vouchedUntil = getVouchedUntil(state, context.now);
	return membership.isActive && vouchedUntil !== undefined && vouchedUntil > context.now;
}

function createNextEpoch(state: EntryState, context: DecisionContext): EpochRecord | undefined {
	const {membership, bundle, config} = state;
	const {record} = membership;
	const members = listNextMembers(state, context);
	const poolNames = Object.keys(bundle.current?.pools ?? record?.pools ?? {});
	const pools = assignPools(poolNames, members, record?.pools ?? {});
	if (record !== undefined && isSame(record, members, pools)) {
		return undefined;
	}

	return {
		epoch: (record?.epoch ?? 0) + 1,
		members,
		pools,
		previousMembers: record?.members.map(member => member.id) ?? [],
		previousPools: record?.pools ?? {},
		forced: false,
		proposer: config.id,
	};
}

function isSame(record: EpochRecord, members: readonly Member[], pools: EpochRecord['pools']): boolean {
	return JSON.stringify(toSortedIds(record.members)) === JSON.stringify(toSortedIds(members))
		&& JSON.stringify(toSortedEntries(record.pools)) === JSON.stringify(toSortedEntries(pools));
}

function compareText(left: string, right: string): number {
	return left < right ? -1 : 1;
}

function toSortedIds(members: readonly Member[]): EntryId[] {
	return members.map(member => member.id).sort(compareText);
}

function toSortedEntries(pools: EpochRecord['pools']): unknown {
	return Object.entries(pools).sort(([left], [right]) => compareText(left, right)).map(([pool, {owner, standby}]) => [pool, owner, standby]);
}

/** Keeps members that a majority of the others does not suspect, and adds registered entries that are linked. */
function listNextMembers(state: EntryState, context: DecisionContext): Member[] {
	const {membership, config} = state;
	const members = new Map<EntryId, Member>();
	for (const member of membership.record?.members ?? []) {
		if (!membership.departed.has(member.id) && !isSuspectedByMajority(state, member.id, context.now)) {
			members.set(member.id, member);
		}
	}

	for (const member of membership.registered.values()) {
		const isPresent = member.id === config.id || (membership.links.has(member.id) && isHeard(state, member.id, context.now));
		if (isPresent && !membership.departed.has(member.id)) {
			members.set(member.id, member);
		}
	}

	return [...members.values()].sort((left, right) => compareText(left.id, right.id));
}

function isHeard(state: EntryState, entryId: EntryId, now: number): boolean {
	const heardAt = state.membership.lastHeard.get(entryId);
	return heardAt !== undefined && now - heardAt <= state.config.timings.suspectMs;
}

function isSuspectedByMajority(state: EntryState, entryId: EntryId, now: number): boolean {
	const {membership, config} = state;
	const others = (membership.record?.members ?? []).filter(member => member.id !== entryId);
	let suspecting = 0;
	for (const {id} of others) {
		if (id === config.id) {
			suspecting += isHeard(state, entryId, now) ? 0 : 1;
			continue;
		}

		const report = membership.reports.get(id);
		if (report !== undefined && now - report.at <= config.timings.suspectMs && report.suspects.includes(entryId)) {
			suspecting += 1;
		}
	}

	return suspecting >= getMajority(others.length);
}

function getRank(state: EntryState, members: readonly EntryId[]): number {
	const present = members.filter(id => id === state.config.id || state.membership.links.has(id)).sort(compareText);
	return Math.max(0, present.indexOf(state.config.id));
}
