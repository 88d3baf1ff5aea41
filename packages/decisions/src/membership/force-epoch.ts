import {
	epochRecordSchema, type EpochRecord, type EventOf, type Member,
} from '@pistachiogauge/model';
import {passEvent, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {assignPools} from './assign-pools.js';
import {isRecentlyHeard} from './heartbeat.js';
import {type PendingForcedEpoch} from './membership-state.js';
import {countSupporters, getMajoritySize} from './permission.js';
import {createEpochRecord, listAssignedPools, writeEpoch} from './propose-epoch.js';

/** Time without an answer from the store after which the operator is told that the outcome is unknown. */
const forcedEpochTimeoutMs = 5000;

/**
Writes an epoch whose members are the entries that this entry can reach, after an operator has stated that the others are lost permanently.

Unlike other epochs it needs no majority of the previous epoch's members; the compare-and-swap and the wait before activation still apply.

@internal
*/
export function requestForcedEpoch(state: EntryState, event: EventOf<'operator-called'>, epoch: number, context: DecisionContext): Output[] {
	const {membership} = state;
	const refusal = findRefusalReason(state, epoch, context);
	if (refusal !== undefined) {
		return refuseForcedEpoch(event, refusal);
	}

	const members = listPresentMembers(state, context);
	const pools = assignPools(listAssignedPools(state), members, membership.record!.pools);
	const record = createEpochRecord(state, members, pools, true);
	membership.pendingForcedEpoch = {
		callId: event.callId, operator: event.operator, record, requestedAt: context.now,
	};
	return writeEpoch(state, record, context);
}

/** Answers the operator's call according to the epoch record that is read back after the write. @internal */
export function confirmForcedEpoch(state: EntryState, event: EventOf<'store-answered'>): Output[] {
	const {membership} = state;
	const {pendingForcedEpoch} = membership;
	if (pendingForcedEpoch === undefined || membership.proposalOperationId !== undefined || event.operationId !== membership.epochReadOperationId) {
		return [];
	}

	membership.pendingForcedEpoch = undefined;
	const [entry] = event.entries;
	const stored = entry === undefined ? undefined : epochRecordSchema.safeParse(parseJson(entry.value)).data;
	return isForcedEpochStored(pendingForcedEpoch, stored)
		? acceptForcedEpoch(pendingForcedEpoch)
		: refuseForcedEpoch(pendingForcedEpoch, `epoch ${stored?.epoch ?? 0} by ${stored?.proposer ?? 'nobody'} was written first`);
}

/** Answers the operator's call when the store has not confirmed or rejected the write in time. @internal */
export function expireForcedEpoch(state: EntryState, context: DecisionContext): Output[] {
	const {pendingForcedEpoch} = state.membership;
	if (pendingForcedEpoch === undefined || context.now - pendingForcedEpoch.requestedAt <= forcedEpochTimeoutMs) {
		return [];
	}

	state.membership.pendingForcedEpoch = undefined;
	return [
		passEvent({
			kind: 'audit-event',
			by: pendingForcedEpoch.operator,
			action: 'membership-force',
			subject: `epoch ${pendingForcedEpoch.record.epoch}`,
			result: 'refused',
			detail: 'the store does not answer; the write may still take effect',
		}),
		restartEvent({
			kind: 'operator-answered', callId: pendingForcedEpoch.callId, status: 504, body: {outcome: 'unknown', message: 'the store does not answer; ask for the status later'},
		}),
	];
}

function findRefusalReason(state: EntryState, epoch: number, context: DecisionContext): string | undefined {
	const {membership} = state;
	if (membership.record === undefined || membership.storeRevision === undefined) {
		return 'the epoch record has not been read yet';
	}

	if (!membership.isStoreReached) {
		return 'the store is not reached';
	}

	if (epoch !== membership.record.epoch) {
		return `the epoch in force is ${membership.record.epoch}, not ${epoch}`;
	}

	if (membership.proposalOperationId !== undefined || membership.pendingForcedEpoch !== undefined) {
		return 'another change of the epoch is under way';
	}

	// With a majority present, membership changes without an operator, so a forced epoch would bypass the majority needlessly.
	return countSupporters(state, context.now) >= getMajoritySize(membership.record.members.length)
		? 'a majority of the members is present'
		: undefined;
}

function listPresentMembers(state: EntryState, context: DecisionContext): Member[] {
	const {membership, config} = state;
	const present = new Map<string, Member>([[config.id, {id: config.id, address: config.peerAddress, zone: config.zone}]]);
	for (const member of [...membership.record?.members ?? [], ...membership.registrations.values()]) {
		const isLinked = membership.links.has(member.id) && isRecentlyHeard(state, member.id, context.now);
		if (isLinked && !membership.departed.has(member.id)) {
			present.set(member.id, member);
		}
	}

	return [...present.values()].sort((left, right) => left.id < right.id ? -1 : 1);
}

function isForcedEpochStored({record}: PendingForcedEpoch, stored: EpochRecord | undefined): boolean {
	return stored?.epoch === record.epoch && stored.proposal === record.proposal;
}

function acceptForcedEpoch({callId, operator, record}: PendingForcedEpoch): Output[] {
	return [
		passEvent({
			kind: 'audit-event', by: operator, action: 'membership-force', subject: `epoch ${record.epoch}`, result: 'done', detail: `members ${record.members.map(member => member.id).join(', ')}`,
		}),
		restartEvent({
			kind: 'operator-answered', callId, status: 200, body: {outcome: 'accepted', epoch: record.epoch, members: record.members},
		}),
	];
}

function refuseForcedEpoch({callId, operator}: {readonly callId: string; readonly operator: string}, reason: string): Output[] {
	return [
		passEvent({
			kind: 'audit-event', by: operator, action: 'membership-force', subject: 'epoch', result: 'refused', detail: reason,
		}),
		restartEvent({
			kind: 'operator-answered', callId, status: 409, body: {outcome: 'refused', message: reason},
		}),
	];
}
