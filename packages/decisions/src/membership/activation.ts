import {type EntryId, type PoolName} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getMajoritySize} from './permission.js';

/**
Marks the adopted epoch as active once no owner of the previous epoch can act any more.

This requires that a majority of the previous members no longer grants vouchers for the previous epoch, and that the voucher time plus the drift allowance has passed since, so that every voucher granted earlier has expired. The first epoch waits as well: when the store has lost its contents, the members of an earlier epoch write their record back during this time.

@internal
*/
export function updateActivation(state: EntryState, context: DecisionContext): Output[] {
	const {membership, config} = state;
	const {record} = membership;
	if (record === undefined || membership.isActive) {
		return [];
	}

	if (membership.majorityAdoptedAt === undefined) {
		const adopted = record.previousMembers.filter(id => hasLeftPreviousEpoch(state, id));
		if (!record.forced && record.previousMembers.length > 0 && adopted.length < getMajoritySize(record.previousMembers.length)) {
			return [];
		}

		membership.majorityAdoptedAt = context.now;
	}

	if (context.now - membership.majorityAdoptedAt < config.timings.voucherMs + config.timings.driftMs) {
		return [];
	}

	membership.isActive = true;
	return [emitEffect({
		kind: 'log', level: 'info', message: 'epoch active', fields: {epoch: record.epoch},
	})];
}

/**
Whether the former owner of a pool can no longer act for it, so that this entry may take the pool over.

There is no need to wait for the activation of the epoch when the former owner itself has reported that it adopted the epoch, or has ended. A forced epoch always waits, because the epoch before it may not have been active.

@internal
*/
export function isPoolReleased(state: EntryState, pool: PoolName): boolean {
	const {isActive, record, adoptedProposals} = state.membership;
	if (isActive || record === undefined || record.forced) {
		return isActive;
	}

	const formerOwner = record.previousPools[pool]?.owner;
	if (formerOwner === undefined || !hasLeftPreviousEpoch(state, formerOwner)) {
		return false;
	}

	// An entry that has adopted a different record with the same epoch number may still act for the pool.
	const isOtherRecord = state.membership.adoptedEpochs.get(formerOwner) === record.epoch && adoptedProposals.get(formerOwner) !== record.proposal;
	return formerOwner === state.config.id || state.membership.departed.has(formerOwner) || !isOtherRecord;
}

/** Whether the entry has permanently stopped granting vouchers for the epoch before the adopted one. */
function hasLeftPreviousEpoch(state: EntryState, entryId: EntryId): boolean {
	const {membership, config} = state;
	return entryId === config.id || membership.departed.has(entryId) || (membership.adoptedEpochs.get(entryId) ?? 0) >= membership.record!.epoch;
}
