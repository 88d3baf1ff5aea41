import {type EpochRecord} from '@pistachiogauge/model';
import {emitEffect, passEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {isPoolReleased, updateActivation} from './activation.js';
import {recordDeparture} from './record-departure.js';

/**
Adopts a higher epoch. From then on this entry never grants a voucher for a lower one.

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
		...releasePools(state, record),
		passEvent({kind: 'epoch-adopted', epoch: record.epoch}),
		...[...membership.links].map(to => emitEffect({kind: 'send-peer', to, message: {kind: 'epoch-announced', record}})),
		...updateActivation(state, context),
		...acquirePools(state),
	];
}

/** Takes over the pools that the adopted epoch assigns to this entry and whose former owner can no longer act. @internal */
export function acquirePools(state: EntryState): Output[] {
	const {membership, config} = state;
	const {record} = membership;
	if (record === undefined) {
		return [];
	}

	const outputs: Output[] = [];
	for (const [pool, assignment] of Object.entries(record.pools)) {
		if (assignment.owner !== config.id || membership.acquiredPools.has(pool) || !isPoolReleased(state, pool)) {
			continue;
		}

		membership.acquiredPools.add(pool);
		const wasStandby = membership.isDirectSuccessor && record.previousPools[pool]?.standby === config.id;
		outputs.push(passEvent({kind: 'pool-acquired', pool, wasStandby}));
	}

	return outputs;
}

function setEpoch(state: EntryState, record: EpochRecord, context: DecisionContext): void {
	const {membership} = state;
	const formerIds = new Set(membership.record?.members.map(member => member.id));
	membership.formerMembers = [...formerIds];
	// This entry stops supporting the former epoch now, so its voucher for itself expires after the voucher time like those of the other members.
	membership.formerVouchers = new Map(membership.vouchers).set(state.config.id, context.now);
	membership.vouchers = new Map();
	membership.record = record;
	membership.majorityAdoptedAt = undefined;
	membership.isActive = false;
	membership.changeNeededAt = undefined;
	membership.nextHeartbeatAt = context.now;
	// A member that is new in this epoch has the full suspect time to send its first message.
	for (const {id} of record.members) {
		if (!formerIds.has(id)) {
			membership.lastHeardAt.set(id, Math.max(context.now, membership.lastHeardAt.get(id) ?? 0));
		}
	}
}

/** Records the members at this entry's own address as departed: they are earlier incarnations of it. */
function recordFormerIncarnations(state: EntryState, record: EpochRecord): Output[] {
	const {config} = state;
	return record.members
		.filter(member => member.id !== config.id && member.address === config.peerAddress)
		.flatMap(member => recordDeparture(state, member.id));
}

/** Releases the pools that now have another owner. After a missed epoch all pools are released, because another entry may have owned them in the meantime. */
function releasePools(state: EntryState, record: EpochRecord): Output[] {
	const {membership, config} = state;
	const outputs: Output[] = [];
	for (const pool of membership.acquiredPools) {
		const isStillOwned = membership.isDirectSuccessor && record.pools[pool]?.owner === config.id;
		if (!isStillOwned) {
			membership.acquiredPools.delete(pool);
			outputs.push(passEvent({kind: 'pool-lost', pool}));
		}
	}

	return outputs;
}
