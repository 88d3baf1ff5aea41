import {type Filter} from '../chain.js';
import {type EntryState} from '../entry-state.js';
import {type DecisionContext} from '../context.js';
import {expireKeys} from './key-records.js';
import {acceptOffer} from './offer-key.js';
import {
	acquireKeys, expireHandovers, loseKeys, updateRoles,
} from './pool-roles.js';
import {receiveKeys} from './receive-keys.js';
import {acceptAcknowledgement, acceptReservation, retryReservations} from './reserve-key.js';
import {advanceTransfer, keepCopies} from './send-keys.js';
import {recordServiceMoves, settleServiceMoves} from './service-moves.js';
import {
	applySettlement, cancelRequest, expireWaiters, finishKey, releaseReturned,
} from './settle-key.js';

/**
Lets each non-idempotent request run at most once.

A key is copied to the pool's standby before the request may be sent, so the standby knows every key that can have run when it takes over.

@public
*/
export const idempotencyFilter: Filter = {
	name: 'idempotency',
	handlers: {
		'request-submitted'(state, event, context) {
			updateClock(state, context);
			return acceptOffer(state, event, context);
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
		'pool-lost': loseKeys,
		'epoch-adopted': updateRoles,
		'request-ended': finishKey,
		'request-returned': releaseReturned,
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
			settleServiceMoves(state);
			expireKeys(state, context);
			return [
				...retryReservations(state, context),
				...expireWaiters(state, context),
				...expireHandovers(state, context),
				...keepCopies(state, context),
			];
		},
	},
};

function updateClock(state: EntryState, context: DecisionContext): void {
	state.idempotency.latestWallTime = Math.max(state.idempotency.latestWallTime, context.wallTime);
}
