import {type EntryId, type EventOf} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getMajoritySize, isMember} from './permission.js';

/** An interval between ticks longer than this fraction of the suspect time means that this process was paused. */
const pauseDetectionFraction = 0.5;

/** Sends the periodic heartbeat to every linked entry. @internal */
export function sendHeartbeats(state: EntryState, context: DecisionContext): Output[] {
	const {membership, config} = state;
	if (context.now < membership.nextHeartbeatAt || state.reply.hasStopped) {
		return [];
	}

	membership.nextHeartbeatAt = context.now + config.timings.heartbeatMs;
	const message = {
		kind: 'heartbeat' as const,
		askedAt: context.now,
		adoptedEpoch: membership.record?.epoch ?? 0,
		adoptedProposal: membership.record?.proposal,
		isLeaving: membership.isLeaving ? true : undefined,
		bundleVersion: state.bundle.current?.version ?? 0,
		suspects: listSuspects(state, context.now),
	};
	return [...membership.links].map(to => emitEffect({kind: 'send-peer', to, message}));
}

/** Records the contents of a heartbeat, and grants its sender a voucher when both have adopted the same epoch. @internal */
export function answerHeartbeat(state: EntryState, event: EventOf<'peer-heartbeat'>, context: DecisionContext): Output[] {
	const {membership} = state;
	const {from, message} = event;
	recordHeartbeat(state, event, context);
	const {record} = membership;
	if (record === undefined || state.reply.hasStopped) {
		return [];
	}

	if (message.adoptedEpoch < record.epoch) {
		return [emitEffect({kind: 'send-peer', to: from, message: {kind: 'epoch-announced', record}})];
	}

	const isSameEpoch = message.adoptedEpoch === record.epoch && message.adoptedProposal === record.proposal;
	return isSameEpoch && isMember(state, from)
		? [emitEffect({
			kind: 'send-peer', to: from, message: {
				kind: 'voucher', epoch: record.epoch, proposal: record.proposal, askedAt: message.askedAt,
			},
		})]
		: [];
}

function recordHeartbeat(state: EntryState, {from, message}: EventOf<'peer-heartbeat'>, context: DecisionContext): void {
	const {membership} = state;
	membership.lastHeardAt.set(from, context.now);
	membership.suspicionReports.set(from, {suspects: message.suspects, receivedAt: context.now});
	// An entry never returns to a lower epoch, so a lower number comes from a delayed message.
	if (message.adoptedEpoch >= (membership.adoptedEpochs.get(from) ?? 0)) {
		membership.adoptedEpochs.set(from, message.adoptedEpoch);
		membership.adoptedProposals.set(from, message.adoptedProposal);
	}

	if (message.isLeaving === true) {
		membership.leaving.add(from);
	}
}

/**
Resets the time of the last message of every entry after this process was paused.

After a pause the heartbeats of the others are still unread, so the time since the last message does not show that they have failed.

@internal
*/
export function resetLastHeardAfterPause(state: EntryState, context: DecisionContext): void {
	const {membership, config} = state;
	if (membership.lastTickAt === undefined || context.now - membership.lastTickAt <= config.timings.suspectMs * pauseDetectionFraction) {
		return;
	}

	for (const id of membership.lastHeardAt.keys()) {
		membership.lastHeardAt.set(id, context.now);
	}

	membership.suspicionReports.clear();
}

/** Whether a message from the entry has arrived within the suspect time. @internal */
export function isRecentlyHeard(state: EntryState, entryId: EntryId, now: number): boolean {
	const lastHeardAt = state.membership.lastHeardAt.get(entryId);
	return lastHeardAt !== undefined && now - lastHeardAt <= state.config.timings.suspectMs;
}

/**
Whether the entry itself reports that it receives nothing from a majority of the members.

Its own messages may reach all others, but it gets too few vouchers to act for its pools.

@internal
*/
export function hasLostMajority(state: EntryState, entryId: EntryId, now: number): boolean {
	const {membership, config} = state;
	const report = membership.suspicionReports.get(entryId);
	const members = membership.record?.members ?? [];
	if (report === undefined || now - report.receivedAt > config.timings.suspectMs || members.length < 2) {
		return false;
	}

	const missed = members.filter(({id}) => report.suspects.includes(id));
	return missed.length >= getMajoritySize(members.length);
}

function listSuspects(state: EntryState, now: number): EntryId[] {
	const {membership, config} = state;
	const suspects: EntryId[] = [];
	for (const {id} of membership.record?.members ?? []) {
		if (id !== config.id && (!isRecentlyHeard(state, id, now) || hasLostMajority(state, id, now))) {
			suspects.push(id);
		}
	}

	return suspects;
}
