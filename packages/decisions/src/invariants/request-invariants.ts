import {type Invariant} from './invariant.js';

/** A receiver answers soon after the deadline, as it waits briefly for the owner's answer; after this time the request counts as lost. */
const answerGraceMs = 2000;

/** No request waits for its answer past its deadline. */
const ownAnswer: Invariant = {
	name: 'own-answer',
	handlers: {
		tick(state, _event, context) {
			// There are no ticks while the process is paused; overdue requests are answered only after the first tick that follows.
			const lastCheckedAt = Math.max(state.invariants.lastCheckedAt, 0);
			for (const [requestId, {deadlineAt}] of state.routing.requests) {
				if (context.now > deadlineAt + answerGraceMs && lastCheckedAt > deadlineAt + answerGraceMs) {
					return `${requestId} has no answer ${Math.round(context.now - deadlineAt)} ms after its deadline`;
				}
			}

			return undefined;
		},
	},
};

/** A request that is reported as not run is neither queued nor running at this entry. */
const notRunIsTrue: Invariant = {
	name: 'not-run-is-true',
	handlers: {
		'request-ended': (state, {requestId, result}) => result.outcome === 'not-run' && state.dispatch.queuedOrRunning.has(requestId)
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

export const requestInvariants: readonly Invariant[] = [ownAnswer, notRunIsTrue, atMostOnce];
