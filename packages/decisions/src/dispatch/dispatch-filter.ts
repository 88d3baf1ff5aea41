import {type Filter, type Output} from '../chain.js';
import {endAttempt, releaseHeldSlots, startWork} from './attempts.js';
import {dropIdleFlows, recordOffer} from './flows.js';
import {
	addWaiting, cancelWaiting, expireWaiting, returnWaiting,
} from './waiting.js';

/**
Keeps a pool's queue and slots: starts requests at endpoints in weighted fair order while slots are free.

@public
*/
export const dispatchFilter: Filter = {
	name: 'dispatch',
	handlers: {
		'request-deduplicated'(state, event, context) {
			recordOffer(state, event.pool, event.request, context);
			return [];
		},
		'request-queued'(state, event, context) {
			const {work} = event;
			if (state.dispatch.present.has(work.request.requestId)) {
				return [];
			}

			addWaiting(state, work, context);
			// A retry may end after its pool has gone to another owner.
			if (!state.membership.acquiredPools.has(work.pool)) {
				return returnWaiting(state, work.pool);
			}

			return startWork(state, work.pool, context);
		},
		'endpoint-answered': (state, event, context) => endAttempt(state, event.attemptId, {
			kind: 'answered', status: event.status, headers: event.headers, body: event.body,
		}, context),
		'endpoint-failed': (state, event, context) => endAttempt(state, event.attemptId, {kind: 'failed', failure: event.failure}, context),
		'peer-cancel': (state, event) => cancelWaiting(state, event.message.requestId),
		'caller-gone': (state, event) => cancelWaiting(state, event.requestId),
		'pool-lost': (state, event) => returnWaiting(state, event.pool),
		tick(state, _event, context) {
			releaseHeldSlots(state, context);
			const outputs: Output[] = [];
			for (const [pool, queue] of state.dispatch.queues) {
				outputs.push(...expireWaiting(state, queue, context), ...startWork(state, pool, context));
				dropIdleFlows(queue, context);
			}

			return outputs;
		},
	},
};
