import {type EntryId, type PoolName} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getMajority} from './permission.js';

/**
Activates the adopted epoch once no owner of the epoch before can act any more.

A majority of the former members no longer vouches for the former epoch, and every voucher given before has run out after the voucher time and the drift allowance.

@internal
*/
export function updateActivation(state: EntryState, context: DecisionContext): Output[] {
	const {membership, config} = state;
	const {record} = membership;
	if (record === undefined || membership.isActive) {
		return [];
	}

	if (record.previousMembers.length === 0) {
		membership.isActive = true;
		return [];
	}

	if (membership.majorityAdoptedAt === undefined) {
		const adopted = record.previousMembers.filter(id => hasAdopted(state, id, record.epoch));
		if (!record.forced && adopted.length < getMajority(record.previousMembers.length)) {
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

The wait is not needed when the former owner itself has said that it adopted the new epoch, or has ended.

@internal
*/
export function isPoolCleared(state: EntryState, pool: PoolName): boolean {
	const {isActive, record} = state.membership;
	if (isActive || record === undefined) {
		return isActive;
	}

	const formerOwner = record.previousPools[pool]?.owner;
	return formerOwner !== undefined && hasAdopted(state, formerOwner, record.epoch);
}

function hasAdopted(state: EntryState, entryId: EntryId, epoch: number): boolean {
	const {membership, config} = state;
	return entryId === config.id || membership.departed.has(entryId) || (membership.adoptedBy.get(entryId) ?? 0) >= epoch;
}
