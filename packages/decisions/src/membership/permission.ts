import {type EntryId, type PoolName} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/** Limit for how long a leaving entry serves its pools when no epoch assigns them to others, for example during a store outage. */
const maxLeavingMs = 5000;

/** Returns the smallest number of members that is a majority. @public */
export function getMajoritySize(memberCount: number): number {
	return Math.floor(memberCount / 2) + 1;
}

/** Whether the entry is a member of the adopted epoch. @public */
export function isMember(state: EntryState, entryId: EntryId): boolean {
	return state.membership.record?.members.some(member => member.id === entryId) ?? false;
}

/**
Returns the time until which this entry has unexpired vouchers of a majority of the adopted epoch's members, in monotonic milliseconds; undefined without a majority.

A voucher is valid from the time at which it was requested, so a slow answer never extends it.

@public
*/
export function getVoucherExpiry(state: EntryState, now: number): number | undefined {
	const {record, vouchers} = state.membership;
	if (record === undefined) {
		return undefined;
	}

	// An entry always counts as supporting itself in the epoch that it has adopted.
	return computeVoucherExpiry(state, record.members.map(member => member.id), id => id === state.config.id ? now : vouchers.get(id));
}

/**
Returns the time until which this entry may start new work for a pool, in monotonic milliseconds; undefined when it may not.

@public
*/
export function getPoolPermissionExpiry(state: EntryState, pool: PoolName, now: number): number | undefined {
	const {record, acquiredPools, formerMembers, formerVouchers} = state.membership;
	if (record?.pools[pool]?.owner !== state.config.id || !acquiredPools.has(pool) || hasStoppedServing(state, now)) {
		return undefined;
	}

	const current = getVoucherExpiry(state, now) ?? 0;
	// The epoch after the adopted one cannot become active before these vouchers have expired, so until then no other entry can act for a pool that kept its owner.
	const former = formerMembers.length > 0 ? computeVoucherExpiry(state, formerMembers, id => formerVouchers.get(id)) ?? 0 : 0;
	const until = Math.max(current, former);
	return until > now ? until : undefined;
}

/**
Whether this entry is shutting down and still owns pools that other members can take over.

It serves them until the next epoch assigns them to other owners, or until the time limit.

@public
*/
export function isHandingOver(state: EntryState, now: number): boolean {
	const {record, acquiredPools, isLeaving, leavingAt} = state.membership;
	const canMove = acquiredPools.size > 0 && (record?.members.length ?? 0) > 1;
	return isLeaving && canMove && now - (leavingAt ?? now) < maxLeavingMs;
}

/** Counts the adopted epoch's members that support a proposal of this entry: those with an unexpired voucher, this entry itself, and those that have ended. @internal */
export function countSupporters(state: EntryState, now: number): number {
	const {membership, config} = state;
	let count = 0;
	for (const {id} of membership.record?.members ?? []) {
		const isVouching = (membership.vouchers.get(id) ?? Number.NEGATIVE_INFINITY) + config.timings.voucherMs > now;
		count += id === config.id || membership.departed.has(id) || isVouching ? 1 : 0;
	}

	return count;
}

function hasStoppedServing(state: EntryState, now: number): boolean {
	return state.reply.hasStopped || (state.membership.isLeaving && !isHandingOver(state, now));
}

function computeVoucherExpiry(
	state: EntryState,
	members: readonly EntryId[],
	getAskedAt: (member: EntryId) => number | undefined,
): number | undefined {
	const askedTimes: number[] = [];
	for (const member of members) {
		const askedAt = getAskedAt(member);
		if (askedAt !== undefined) {
			askedTimes.push(askedAt);
		}
	}

	const majority = getMajoritySize(members.length);
	if (askedTimes.length < majority) {
		return undefined;
	}

	askedTimes.sort((left, right) => right - left);
	return askedTimes[majority - 1]! + state.config.timings.voucherMs;
}
