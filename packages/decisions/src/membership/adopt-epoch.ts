import {type EpochRecord} from '@pistachiogauge/model';
import {emitEffect, passEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {isPoolCleared, updateActivation} from './activation.js';
import {recordDeparture} from './record-departure.js';

/**
Adopts a higher epoch. From then on this entry never vouches for a lower one.

@internal
*/
export function adoptEpoch(state: EntryState, record: EpochRecord, context: DecisionContext): Output[] {
	const {membership} = state;
	const former = membership.record;
	if (former !== undefined && record.epoch <= former.epoch) {
		return [];
	}

	membership.isDirectSuccessor = former !== undefined && record.epoch === former.epoch + 1 && record.previousProposal === former.proposal;
	setEpoch(state, record, context);
	return [
		emitEffect({
			kind: 'log', level: 'info', message: 'epoch adopted', fields: {epoch: record.epoch, members: record.members.length},
		}),
		...recordFormerIncarnations(state, record),
		...losePools(state, record),
		passEvent({kind: 'epoch-adopted', epoch: record.epoch}),
		...[...membership.links].map(to => emitEffect({kind: 'send-peer', to, message: {kind: 'epoch-announced', record}})),
		...updateActivation(state, context),
		...acquirePools(state),
	];
}

/** Takes over the pools whose former owner cannot act any more. @internal */
export function acquirePools(state: EntryState): Output[] {
	const {membership, config} = state;
	const {record} = membership;
	if (record === undefined) {
		return [];
	}

	const outputs: Output[] = [];
	for (const [pool, assignment] of Object.entries(record.pools)) {
		if (assignment.owner !== config.id || membership.acquiredPools.has(pool) || !isPoolCleared(state, pool)) {
			continue;
		}

		membership.acquiredPools.add(pool);
		const isContinuous = membership.isDirectSuccessor && record.previousPools[pool]?.standby === config.id;
		outputs.push(passEvent({kind: 'pool-acquired', pool, isContinuous}));
	}

	return outputs;
}

function setEpoch(state: EntryState, record: EpochRecord, context: DecisionContext): void {
	const {membership} = state;
	const formerIds = new Set(membership.record?.members.map(member => member.id));
	membership.formerMembers = [...formerIds];
	// From now on this entry does not support the former epoch itself either, so its own vote ends like the others'.
	membership.formerVouchers = new Map(membership.vouchers).set(state.config.id, context.now);
	membership.vouchers = new Map();
	membership.record = record;
	membership.majorityAdoptedAt = undefined;
	membership.isActive = false;
	membership.changeWantedAt = undefined;
	membership.nextHeartbeatAt = context.now;
	// A member that is new here gets the whole suspect time to be heard for the first time.
	for (const {id} of record.members) {
		if (!formerIds.has(id)) {
			membership.lastHeardAt.set(id, Math.max(context.now, membership.lastHeardAt.get(id) ?? 0));
		}
	}
}

function recordFormerIncarnations(state: EntryState, record: EpochRecord): Output[] {
	const {config} = state;
	return record.members
		.filter(member => member.id !== config.id && member.address === config.peerAddress)
		.flatMap(member => recordDeparture(state, member.id));
}

/** Gives up the pools that now have another owner. After a missed epoch all are given up, because another entry may have owned them in between. */
function losePools(state: EntryState, record: EpochRecord): Output[] {
	const {membership, config} = state;
	const outputs: Output[] = [];
	for (const pool of membership.acquiredPools) {
		const isKept = membership.isDirectSuccessor && record.pools[pool]?.owner === config.id;
		if (!isKept) {
			membership.acquiredPools.delete(pool);
			outputs.push(passEvent({kind: 'pool-lost', pool}));
		}
	}

	return outputs;
}
