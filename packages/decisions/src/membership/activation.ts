import {type EntryId, type PoolName} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getMajoritySize} from './permission.js';

/**
Activates the adopted epoch once no owner of the epoch before can act any more.

A majority of the former members no longer vouches for the former epoch, and every voucher given before has run out after the voucher time and the drift allowance. The first epoch waits as well: when the store has lost its contents, the entries of the former epochs put their record back in that time.

@internal
*/
export function updateActivation(state: EntryState, context: DecisionContext): Output[] {
	const {membership, config} = state;
	const {record} = membership;
	if (record === undefined || membership.isActive) {
		return [];
	}

	if (membership.majorityAdoptedAt === undefined) {
		const adopted = record.previousMembers.filter(id => hasLeftFormerEpoch(state, id));
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
Whether the former owner of a pool cannot act for it any more.

The wait is not needed when the former owner itself has said that it adopted the new epoch, or has ended. A forced epoch always waits, because the epoch before it may not have been active.

@internal
*/
export function isPoolCleared(state: EntryState, pool: PoolName): boolean {
	const {isActive, record, proposalOf} = state.membership;
	if (isActive || record === undefined || record.forced) {
		return isActive;
	}

	const formerOwner = record.previousPools[pool]?.owner;
	if (formerOwner === undefined || !hasLeftFormerEpoch(state, formerOwner)) {
		return false;
	}

	// An entry that follows another record of the same epoch number may still act for the pool.
	const isOtherRecord = state.membership.adoptedBy.get(formerOwner) === record.epoch && proposalOf.get(formerOwner) !== record.proposal;
	return formerOwner === state.config.id || state.membership.departed.has(formerOwner) || !isOtherRecord;
}

/** Whether the entry never vouches again for the epoch before the adopted one. */
function hasLeftFormerEpoch(state: EntryState, entryId: EntryId): boolean {
	const {membership, config} = state;
	return entryId === config.id || membership.departed.has(entryId) || (membership.adoptedBy.get(entryId) ?? 0) >= membership.record!.epoch;
}
