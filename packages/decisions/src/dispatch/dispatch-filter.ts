import {appendItems} from '@pistachiogauge/chain';
import {type Filter, type Output} from '../chain.js';
import {endAttempt, releaseHeldSlots, startAttempts} from './attempts.js';
import {dropIdleFlows, recordOfferedLoad} from './flows.js';
import {
	addWaitingRequest, cancelWaitingRequest, expireWaitingRequests, returnWaitingRequests,
} from './waiting-requests.js';

/**
Manages the queue and the slots of each pool: sends waiting requests to endpoints in weighted fair order while slots are free.

@public
*/
export const dispatchFilter: Filter = {
	name: 'dispatch',
	handlers: {
		'request-deduplicated'(state, event, context) {
			recordOfferedLoad(state, event.pool, event.request, context);
			return [];
		},
		'request-queued'(state, event, context) {
			const {work} = event;
			if (state.dispatch.queuedOrRunning.has(work.request.requestId)) {
				return [];
			}

			addWaitingRequest(state, work, context);
			// A retry can be queued after another entry has become the owner of the pool.
			if (!state.membership.acquiredPools.has(work.pool)) {
				return returnWaitingRequests(state, work.pool);
			}

			return startAttempts(state, work.pool, context);
		},
		'endpoint-answered': (state, event, context) => endAttempt(state, event.attemptId, {
			kind: 'answered', status: event.status, headers: event.headers, body: event.body,
		}, context),
		'endpoint-failed': (state, event, context) => endAttempt(state, event.attemptId, {kind: 'failed', failure: event.failure}, context),
		'peer-cancel': (state, event) => cancelWaitingRequest(state, event.message.requestId),
		'caller-gone': (state, event) => cancelWaitingRequest(state, event.requestId),
		'pool-lost': (state, event) => returnWaitingRequests(state, event.pool),
		tick(state, _event, context) {
			releaseHeldSlots(state, context);
			const outputs: Output[] = [];
			for (const [pool, queue] of state.dispatch.queues) {
				appendItems(outputs, expireWaitingRequests(state, queue, context));
				appendItems(outputs, startAttempts(state, pool, context));
				dropIdleFlows(queue, context);
			}

			return outputs;
		},
	},
};
