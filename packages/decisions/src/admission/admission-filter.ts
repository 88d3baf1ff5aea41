import {type EventOf, type RequestId, type RequestResult} from '@pistachiogauge/model';
import {
	passEvent, restartEvent, type Filter, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {countWaitingInFlow} from '../dispatch/index.js';
import {type EntryState} from '../entry-state.js';
import {isPoisonRequest} from '../health/index.js';
import {createNotRunResult} from '../results.js';
import {computeExpectedWait} from './expected-wait.js';

const minRetryAfterMs = 1000;

/**
Rejects requests at once that exceed their team's quota, have failed repeatedly, find their flow's queue full, or cannot be expected to start before their deadline.

@public
*/
export const admissionFilter: Filter = {
	name: 'admission',
	handlers: {
		'request-deduplicated'(state, event, context) {
			const {request, receiver} = event;
			// A receiver sends a request again when the owner may have changed. Rejecting one that is queued or running here would report it as not run.
			if (state.admission.quotaKeyByRequest.has(request.requestId)) {
				return [];
			}

			const rejection = findRejection(state, event, context);
			return rejection === undefined
				? admitRequest(state, event, context)
				: [restartEvent({
					kind: 'request-ended', requestId: request.requestId, receiver, result: rejection,
				})];
		},
		'request-ended': (state, event) => releaseQuota(state, event.requestId),
		'request-returned': (state, event) => releaseQuota(state, event.requestId),
	},
};

function findRejection(state: EntryState, event: EventOf<'request-deduplicated'>, context: DecisionContext): RequestResult | undefined {
	const {request, pool} = event;
	const quota = state.bundle.current?.teams[request.team]?.maxInFlight;
	if (quota !== undefined && (state.admission.inFlightByQuotaKey.get(formatQuotaKey(event)) ?? 0) >= quota) {
		return createNotRunResult('quota-exceeded', minRetryAfterMs);
	}

	if (isPoisonRequest(state, request, context)) {
		return createNotRunResult('job-keeps-failing');
	}

	const waitMs = computeExpectedWait(state, pool, request, context);
	const queueLimit = state.bundle.current?.services[request.service]?.queueLimit ?? 0;
	if (countWaitingInFlow(state, pool, request) >= queueLimit || waitMs > request.timeLeftMs) {
		// After this delay the expected wait should be short enough; the random part spreads the retries of rejected callers.
		const retryAfterMs = Math.max(minRetryAfterMs, waitMs - request.timeLeftMs) * (1 + (0.5 * context.random.getFraction()));
		return createNotRunResult('overloaded', Math.ceil(retryAfterMs));
	}

	return undefined;
}

function admitRequest(state: EntryState, event: EventOf<'request-deduplicated'>, context: DecisionContext): Output[] {
	const {request, receiver, pool} = event;
	const {quotaKeyByRequest, inFlightByQuotaKey} = state.admission;
	const key = formatQuotaKey(event);
	quotaKeyByRequest.set(request.requestId, key);
	inFlightByQuotaKey.set(key, (inFlightByQuotaKey.get(key) ?? 0) + 1);
	return [passEvent({
		kind: 'request-queued',
		work: {
			request, receiver, pool, deadlineAt: context.now + request.timeLeftMs, triedInstances: [], mayHaveRun: false, notBefore: 0,
		},
	})];
}

function releaseQuota(state: EntryState, requestId: RequestId): Output[] {
	const {quotaKeyByRequest, inFlightByQuotaKey} = state.admission;
	const key = quotaKeyByRequest.get(requestId);
	if (key === undefined) {
		return [];
	}

	quotaKeyByRequest.delete(requestId);
	const remaining = (inFlightByQuotaKey.get(key) ?? 1) - 1;
	if (remaining > 0) {
		inFlightByQuotaKey.set(key, remaining);
	} else {
		inFlightByQuotaKey.delete(key);
	}

	return [];
}

/** Returns the key of a quota; each pool counts its own requests of a team. */
function formatQuotaKey({pool, request}: EventOf<'request-deduplicated'>): string {
	return `${pool}\n${request.team}`;
}
