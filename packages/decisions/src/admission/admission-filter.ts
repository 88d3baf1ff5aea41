import {type EventOf, type RequestId, type RequestResult} from '@pistachiogauge/model';
import {
	passEvent, restartEvent, type Filter, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {getFlowLength} from '../dispatch/index.js';
import {type EntryState} from '../entry-state.js';
import {isJobRefused} from '../health/index.js';
import {createNotRunResult} from '../results.js';
import {computeExpectedWait} from './expected-wait.js';

const minRetryAfterMs = 1000;

/**
Refuses requests early that would only wait in vain: over a team's quota, past their flow's queue limit, or with a start that is expected after the deadline.

@public
*/
export const admissionFilter: Filter = {
	name: 'admission',
	handlers: {
		'request-deduplicated'(state, event, context) {
			const {request, receiver} = event;
			// A receiver sends a request again when its owner may have changed; refusing one that runs here would be untrue.
			if (state.admission.teamByRequest.has(request.requestId)) {
				return [];
			}

			const refusal = findRefusal(state, event, context);
			return refusal === undefined
				? admitRequest(state, event, context)
				: [restartEvent({
					kind: 'request-ended', requestId: request.requestId, receiver, result: refusal,
				})];
		},
		'request-ended': (state, event) => releaseQuota(state, event.requestId),
		'request-returned': (state, event) => releaseQuota(state, event.requestId),
	},
};

function findRefusal(state: EntryState, event: EventOf<'request-deduplicated'>, context: DecisionContext): RequestResult | undefined {
	const {request, pool} = event;
	const quota = state.bundle.current?.teams[request.team]?.maxInFlight;
	if (quota !== undefined && (state.admission.inFlightByTeam.get(getTeamKey(event)) ?? 0) >= quota) {
		return createNotRunResult('quota-exceeded', minRetryAfterMs);
	}

	if (isJobRefused(state, request, context)) {
		return createNotRunResult('job-keeps-failing');
	}

	const waitMs = computeExpectedWait(state, pool, request, context);
	const queueLimit = state.bundle.current?.services[request.service]?.queueLimit ?? 0;
	if (getFlowLength(state, pool, request) >= queueLimit || waitMs > request.timeLeftMs) {
		// By then the queue has become short enough; the random part keeps refused callers from coming back together.
		const retryAfterMs = Math.max(minRetryAfterMs, waitMs - request.timeLeftMs) * (1 + (0.5 * context.random.getFraction()));
		return createNotRunResult('overloaded', Math.ceil(retryAfterMs));
	}

	return undefined;
}

function admitRequest(state: EntryState, event: EventOf<'request-deduplicated'>, context: DecisionContext): Output[] {
	const {request, receiver, pool} = event;
	const {teamByRequest, inFlightByTeam} = state.admission;
	const key = getTeamKey(event);
	teamByRequest.set(request.requestId, key);
	inFlightByTeam.set(key, (inFlightByTeam.get(key) ?? 0) + 1);
	return [passEvent({
		kind: 'request-queued',
		work: {
			request, receiver, pool, deadlineAt: context.now + request.timeLeftMs, triedInstances: [], mayHaveRun: false, notBefore: 0,
		},
	})];
}

function releaseQuota(state: EntryState, requestId: RequestId): Output[] {
	const {teamByRequest, inFlightByTeam} = state.admission;
	const key = teamByRequest.get(requestId);
	if (key === undefined) {
		return [];
	}

	teamByRequest.delete(requestId);
	const left = (inFlightByTeam.get(key) ?? 1) - 1;
	if (left > 0) {
		inFlightByTeam.set(key, left);
	} else {
		inFlightByTeam.delete(key);
	}

	return [];
}

/** Quotas count for each pool by itself. */
function getTeamKey({pool, request}: EventOf<'request-deduplicated'>): string {
	return `${pool}\n${request.team}`;
}
