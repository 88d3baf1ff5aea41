import {type Filter} from '../chain.js';
import {type EntryState} from '../entry-state.js';
import {type DecisionContext} from '../context.js';
import {expireKeys} from './key-records.js';
import {acceptRequest} from './accept-request.js';
import {
	acquireKeys, expireHandovers, handOverKeys, updateRoles,
} from './pool-roles.js';
import {receiveKeys} from './receive-keys.js';
import {acceptAcknowledgement, acceptReservation, retryReservations} from './reserve-key.js';
import {advanceTransfer, updateTransfers} from './send-keys.js';
import {recordServiceMoves, startServiceCoverage} from './service-moves.js';
import {
	applySettlement, cancelRequest, expireWaiters, settleKey, releaseReturnedKey,
} from './settle-key.js';

/**
Ensures that each non-idempotent request runs at most once.

A key is replicated to the pool's standby before its request may be sent to an endpoint. So when the standby takes the pool over, it knows every key that can have run.

@public
*/
export const idempotencyFilter: Filter = {
	name: 'idempotency',
	handlers: {
		'request-submitted'(state, event, context) {
			updateClock(state, context);
			return acceptRequest(state, event, context);
		},
		'peer-key-reserve': acceptReservation,
		'peer-key-reserved': acceptAcknowledgement,
		'peer-key-settled': applySettlement,
		'peer-keys-copied': receiveKeys,
		'peer-keys-received': advanceTransfer,
		'pool-acquired'(state, event, context) {
			updateClock(state, context);
			return acquireKeys(state, event, context);
		},
		'pool-lost': handOverKeys,
		'epoch-adopted': updateRoles,
		'request-ended': settleKey,
		'request-returned': releaseReturnedKey,
		'peer-cancel': (state, event) => cancelRequest(state, event.message.requestId),
		'caller-gone': (state, event) => cancelRequest(state, event.requestId),
		'bundle-applied'(state, event) {
			recordServiceMoves(state, event.version);
			return [];
		},
		'peer-heartbeat'(state, event) {
			state.idempotency.bundleVersions.set(event.from, event.message.bundleVersion);
			return [];
		},
		tick(state, _event, context) {
			updateClock(state, context);
			startServiceCoverage(state);
			expireKeys(state, context);
			return [
				...retryReservations(state, context),
				...expireWaiters(state, context),
				...expireHandovers(state, context),
				...updateTransfers(state, context),
			];
		},
	},
};

function updateClock(state: EntryState, context: DecisionContext): void {
	state.idempotency.latestWallTime = Math.max(state.idempotency.latestWallTime, context.wallTime);
}
