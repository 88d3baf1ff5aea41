import {
	epochRecordSchema, type EpochRecord, type EventOf, type Member,
} from '@pistachiogauge/model';
import {passEvent, restartEvent, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {parseJson} from '../parse-json.js';
import {assignPools} from './assign-pools.js';
import {isHeard} from './heartbeat.js';
import {type PendingForce} from './membership-state.js';
import {countSupport, getMajoritySize} from './permission.js';
import {createEpochRecord, listAssignedPools, writeEpoch} from './propose-epoch.js';

/** An operator is told that the outcome is unknown when the store has not answered for this long. */
const forceLimitMs = 5000;

/**
Writes an epoch of the entries that are present here, on an operator's word that the others are lost for good.

Skips the majority of the epoch before, and nothing else: the compare-and-swap and the waiting time remain.

@internal
*/
export function requestForce(state: EntryState, event: EventOf<'operator-called'>, epoch: number, context: DecisionContext): Output[] {
	const {membership} = state;
	const refusal = findForceRefusal(state, epoch, context);
	if (refusal !== undefined) {
		return refuseForce(event, refusal);
	}

	const members = listPresent(state, context);
	const pools = assignPools(listAssignedPools(state), members, membership.record!.pools);
	const record = createEpochRecord(state, members, pools, true);
	membership.pendingForce = {
		callId: event.callId, operator: event.operator, record, askedAt: context.now,
	};
	return writeEpoch(state, record, context);
}

/** Answers the operator from the record that the store holds after the write. @internal */
export function decideForce(state: EntryState, event: EventOf<'store-answered'>): Output[] {
	const {membership} = state;
	const {pendingForce} = membership;
	if (pendingForce === undefined || membership.proposalOperation !== undefined || event.operationId !== membership.readOperation) {
		return [];
	}

	membership.pendingForce = undefined;
	const [entry] = event.entries;
	const stored = entry === undefined ? undefined : epochRecordSchema.safeParse(parseJson(entry.value)).data;
	return isForceInForce(pendingForce, stored)
		? acceptForce(pendingForce)
		: refuseForce(pendingForce, `epoch ${stored?.epoch ?? 0} by ${stored?.proposer ?? 'nobody'} was written first`);
}

/** Answers the operator when the store has not. @internal */
export function expireForce(state: EntryState, context: DecisionContext): Output[] {
	const {pendingForce} = state.membership;
	if (pendingForce === undefined || context.now - pendingForce.askedAt <= forceLimitMs) {
		return [];
	}

	state.membership.pendingForce = undefined;
	return [
		passEvent({
			kind: 'audit-event',
			by: pendingForce.operator,
			action: 'membership-force',
			subject: `epoch ${pendingForce.record.epoch}`,
			result: 'refused',
			detail: 'the store does not answer; the write may still take effect',
		}),
		restartEvent({
			kind: 'operator-answered', callId: pendingForce.callId, status: 504, body: {outcome: 'unknown', message: 'the store does not answer; ask for the status later'},
		}),
	];
}

function findForceRefusal(state: EntryState, epoch: number, context: DecisionContext): string | undefined {
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

	if (membership.proposalOperation !== undefined || membership.pendingForce !== undefined) {
		return 'another change of the epoch is under way';
	}

	// With a majority, members change by themselves, and a forced epoch would skip its protection for nothing.
	return countSupport(state, context.now) >= getMajoritySize(membership.record.members.length)
		? 'a majority of the members is present'
		: undefined;
}

function listPresent(state: EntryState, context: DecisionContext): Member[] {
	const {membership, config} = state;
	const present = new Map<string, Member>([[config.id, {id: config.id, address: config.peerAddress, zone: config.zone}]]);
	for (const member of [...membership.record?.members ?? [], ...membership.registered.values()]) {
		const isLinked = membership.links.has(member.id) && isHeard(state, member.id, context.now);
		if (isLinked && !membership.departed.has(member.id)) {
			present.set(member.id, member);
		}
	}

	return [...present.values()].sort((left, right) => left.id < right.id ? -1 : 1);
}

function isForceInForce({record}: PendingForce, stored: EpochRecord | undefined): boolean {
	return stored?.epoch === record.epoch && stored.proposal === record.proposal;
}

function acceptForce({callId, operator, record}: PendingForce): Output[] {
	return [
		passEvent({
			kind: 'audit-event', by: operator, action: 'membership-force', subject: `epoch ${record.epoch}`, result: 'done', detail: `members ${record.members.map(member => member.id).join(', ')}`,
		}),
		restartEvent({
			kind: 'operator-answered', callId, status: 200, body: {outcome: 'accepted', epoch: record.epoch, members: record.members},
		}),
	];
}

function refuseForce({callId, operator}: {readonly callId: string; readonly operator: string}, reason: string): Output[] {
	return [
		passEvent({
			kind: 'audit-event', by: operator, action: 'membership-force', subject: 'epoch', result: 'refused', detail: reason,
		}),
		restartEvent({
			kind: 'operator-answered', callId, status: 409, body: {outcome: 'refused', message: reason},
		}),
	];
}
