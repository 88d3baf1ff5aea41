import {type Invariant} from './invariant.js';

/** A receiver answers at the deadline and waits a moment for the owner's answer; much later it has lost the request. */
const answerGraceMs = 2000;

/** No request waits for its answer past its deadline. */
const ownAnswer: Invariant = {
	name: 'own-answer',
	handlers: {
		tick(state, _event, context) {
			// Ticks stop during a pause, and the requests are only due after the one that follows.
			const since = Math.max(state.invariants.checkedAt, 0);
			for (const [requestId, {deadlineAt}] of state.routing.requests) {
				if (context.now > deadlineAt + answerGraceMs && since > deadlineAt + answerGraceMs) {
					return `${requestId} has no answer ${Math.round(context.now - deadlineAt)} ms after its deadline`;
				}
			}

			return undefined;
		},
	},
};

/** A request answered as not run is neither queued nor running here. */
const notRunIsTrue: Invariant = {
	name: 'not-run-is-true',
	handlers: {
		'request-ended': (state, {requestId, result}) => result.outcome === 'not-run' && state.dispatch.present.has(requestId)
			? `${requestId} is answered as not run and still queued or running`
			: undefined,
	},
};

/** A non-idempotent request that may have run is never queued for another attempt. */
const atMostOnce: Invariant = {
	name: 'at-most-once',
	handlers: {
		'request-queued': (_state, {work}) => work.mayHaveRun && !work.request.isIdempotent
			? `${work.request.requestId} may have run and is queued again`
			: undefined,
	},
};

/** Invariants of requests. */
export const requestInvariants: readonly Invariant[] = [ownAnswer, notRunIsTrue, atMostOnce];
