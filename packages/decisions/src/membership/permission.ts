import {type EntryId, type PoolName} from '@pistachiogauge/model';
import {type EntryState} from '../entry-state.js';

/** A leaving entry serves its pools at most this long when no epoch takes them over, for instance in a store outage. */
const leaveLimitMs = 5000;

/** Number of members that make a majority. @public */
export function getMajoritySize(memberCount: number): number {
	return Math.floor(memberCount / 2) + 1;
}

/** Whether the entry belongs to the adopted epoch. @public */
export function isMember(state: EntryState, entryId: EntryId): boolean {
	return state.membership.record?.members.some(member => member.id === entryId) ?? false;
}

/**
Time until which a majority of the adopted epoch's members vouches for this entry, in monotonic milliseconds.

Vouchers count from the moment they were asked for, so a slow answer never lengthens them.

@public
*/
export function getVoucherExpiry(state: EntryState, now: number): number | undefined {
	const {record, vouchers} = state.membership;
	if (record === undefined) {
		return undefined;
	}

	// An entry always supports itself in the epoch that it has adopted.
	return computeVouchedUntil(state, record.members.map(member => member.id), id => id === state.config.id ? now : vouchers.get(id));
}

/**
Time until which this entry may start new work for a pool, in monotonic milliseconds; undefined when it may not.

@public
*/
export function getPoolPermissionExpiry(state: EntryState, pool: PoolName, now: number): number | undefined {
	const {record, acquiredPools: acquired, formerMembers, formerVouchers} = state.membership;
	if (record?.pools[pool]?.owner !== state.config.id || !acquired.has(pool) || hasStoppedServing(state, now)) {
		return undefined;
	}

	const current = getVoucherExpiry(state, now) ?? 0;
	// The epoch after this one cannot become active before these vouchers have run out, so they still protect a pool that kept its owner.
	const former = formerMembers.length > 0 ? computeVouchedUntil(state, formerMembers, id => formerVouchers.get(id)) ?? 0 : 0;
	const until = Math.max(current, former);
	return until > now ? until : undefined;
}

/**
Whether this entry shuts down and still owns pools that the others can take over.

It serves them until the next epoch names other owners, or the limit has passed.

@public
*/
export function isHandingOver(state: EntryState, now: number): boolean {
	const {record, acquiredPools: acquired, isLeaving, leavingAt} = state.membership;
	const canMove = acquired.size > 0 && (record?.members.length ?? 0) > 1;
	return isLeaving && canMove && now - (leavingAt ?? now) < leaveLimitMs;
}

/** Number of the adopted epoch's members that support a proposal of this entry: unexpired vouchers, itself, and members that have ended. @internal */
export function countSupport(state: EntryState, now: number): number {
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

function computeVouchedUntil(
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
