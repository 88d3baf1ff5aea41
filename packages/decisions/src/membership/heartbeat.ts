import {type EntryId, type EventOf} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getMajoritySize, isMember} from './permission.js';

/** Part of the suspect time without a tick after which this entry takes itself to have been paused. */
const pauseFraction = 0.5;

/** Sends the periodic heartbeat over every link. @internal */
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

/** Records what a heartbeat says and vouches for its sender when both follow the same epoch. @internal */
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
	membership.reports.set(from, {suspects: message.suspects, at: context.now});
	// An entry never returns to a lower epoch, so a lower number comes from a message that was overtaken.
	if (message.adoptedEpoch >= (membership.adoptedBy.get(from) ?? 0)) {
		membership.adoptedBy.set(from, message.adoptedEpoch);
		membership.proposalOf.set(from, message.adoptedProposal);
	}

	if (message.isLeaving === true) {
		membership.leaving.add(from);
	}
}

/**
Forgets how long the others have been silent when this entry itself did not run.

Their heartbeats wait unread after a pause, so the silence says nothing about them.

@internal
*/
export function restartObservation(state: EntryState, context: DecisionContext): void {
	const {membership, config} = state;
	if (membership.lastTickAt === undefined || context.now - membership.lastTickAt <= config.timings.suspectMs * pauseFraction) {
		return;
	}

	for (const id of membership.lastHeardAt.keys()) {
		membership.lastHeardAt.set(id, context.now);
	}

	membership.reports.clear();
}

/** Whether the entry was heard within the suspect time. @internal */
export function isHeard(state: EntryState, entryId: EntryId, now: number): boolean {
	const heardAt = state.membership.lastHeardAt.get(entryId);
	return heardAt !== undefined && now - heardAt <= state.config.timings.suspectMs;
}

/**
Whether the entry itself reports that it hears no majority.

Such an entry may be heard by all and still gets no vouchers, so it cannot act for its pools.

@internal
*/
export function isCutOff(state: EntryState, entryId: EntryId, now: number): boolean {
	const {membership, config} = state;
	const report = membership.reports.get(entryId);
	const members = membership.record?.members ?? [];
	if (report === undefined || now - report.at > config.timings.suspectMs || members.length < 2) {
		return false;
	}

	const missed = members.filter(({id}) => report.suspects.includes(id));
	return missed.length >= getMajoritySize(members.length);
}

function listSuspects(state: EntryState, now: number): EntryId[] {
	const {membership, config} = state;
	const suspects: EntryId[] = [];
	for (const {id} of membership.record?.members ?? []) {
		if (id !== config.id && (!isHeard(state, id, now) || isCutOff(state, id, now))) {
			suspects.push(id);
		}
	}

	return suspects;
}
