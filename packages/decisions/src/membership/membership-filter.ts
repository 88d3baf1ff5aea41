import {type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {updateActivation} from './activation.js';
import {acquirePools, adoptEpoch} from './adopt-epoch.js';
import {confirmForcedEpoch, expireForcedEpoch, requestForcedEpoch} from './force-epoch.js';
import {answerHeartbeat, resetLastHeardAfterPause, sendHeartbeats} from './heartbeat.js';
import {dropStaleProposal, proposeEpoch, restoreEpochRecord} from './propose-epoch.js';
import {
	applyEpochRead, applyStoreChange, operationIdPrefix, readEpoch, readMembership, replaceRegistrations, retryReads, retryRegistration, scheduleReadRetry,
} from './store-records.js';
import {updateLinks} from './update-links.js';

/**
Decides which epoch this entry follows, whether it may act, and which pools it owns.

@public
*/
export const membershipFilter: Filter = {
	name: 'membership',
	handlers: {
		tick: handleTick,
		'link-up'(state, event) {
			state.membership.links.add(event.entryId);
			return [];
		},
		'link-down'(state, event) {
			state.membership.links.delete(event.entryId);
			return [];
		},
		'peer-heartbeat': (state, event, context) => answerHeartbeat(state, event, context),
		'peer-voucher'(state, event, context) {
			const {membership} = state;
			const {epoch, proposal, askedAt} = event.message;
			membership.lastHeardAt.set(event.from, context.now);
			if (epoch === membership.record?.epoch && proposal === membership.record.proposal) {
				const known = membership.vouchers.get(event.from) ?? Number.NEGATIVE_INFINITY;
				membership.vouchers.set(event.from, Math.max(known, askedAt));
			}

			return [];
		},
		'peer-epoch-announced': (state, event, context) => adoptEpoch(state, event.message.record, context),
		'store-reached'(state) {
			state.membership.isStoreReached = true;
			return readMembership(state);
		},
		'store-lost'(state) {
			state.membership.isStoreReached = false;
			return [];
		},
		'store-changed': (state, event, context) => applyStoreChange(state, event, context),
		'store-answered'(state, event, context) {
			if (!event.operationId.startsWith(operationIdPrefix)) {
				return [];
			}

			const {membership} = state;
			if (event.operationId === membership.proposalOperationId) {
				membership.proposalOperationId = undefined;
				// The record is read back whatever the answer was, because a write may have taken effect although its answer was lost.
				return readEpoch(state);
			}

			if (event.operationId === `${operationIdPrefix}register`) {
				membership.isRegistered = event.result === 'applied';
				return [];
			}

			if (event.result !== 'applied') {
				return scheduleReadRetry(state, event, context);
			}

			if (event.operationId.startsWith(`${operationIdPrefix}epoch:`)) {
				return [
					...applyEpochRead(state, event, context),
					...restoreEpochRecord(state, event, context),
					...confirmForcedEpoch(state, event),
				];
			}

			return event.operationId === `${operationIdPrefix}members`
				? replaceRegistrations(state, event.entries)
				: event.entries.flatMap(entry => applyStoreChange(state, entry, context));
		},
		'operator-called': (state, event, context) => event.command.command === 'membership-force'
			? requestForcedEpoch(state, event, event.command.epoch, context)
			: [],
		'shutdown-requested'(state, _event, context) {
			state.membership.isLeaving = true;
			state.membership.leavingAt ??= context.now;
			// Notifies the others immediately, so that the pools move while this entry still serves them.
			state.membership.nextHeartbeatAt = context.now;
			return sendHeartbeats(state, context);
		},
	},
};

function handleTick(state: EntryState, _event: unknown, context: DecisionContext): Output[] {
	const {membership} = state;
	membership.startedAt ??= context.now;
	resetLastHeardAfterPause(state, context);
	membership.lastTickAt = context.now;
	return [
		...updateLinks(state),
		...retryRegistration(state, context),
		...retryReads(state, context),
		...sendHeartbeats(state, context),
		...updateActivation(state, context),
		...acquirePools(state),
		...dropStaleProposal(state, context),
		...expireForcedEpoch(state, context),
		...proposeEpoch(state, context),
	];
}
