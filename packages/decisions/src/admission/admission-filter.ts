import {type EventOf, type OutcomeReason} from '@pistachiogauge/model';
import {
	passEvent, restartEvent, type Filter, type Output,
} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {getFlowLength} from '../dispatch/index.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult} from '../results.js';

const retryAfterOverloadMs = 1000;

/**
Refuses requests early that would only wait in vain: over a team's quota or past their flow's queue limit.

@public
*/
export const admissionFilter: Filter = {
	name: 'admission',
	handlers: {
		'request-cleared'(state, event, context) {
			const {request, receiver, pool} = event;
			const refusal = findRefusal(state, event);
			if (refusal !== undefined) {
				return [restartEvent({
					kind: 'request-ended', requestId: request.requestId, receiver, result: createNotRunResult(refusal, retryAfterOverloadMs),
				})];
			}

			return admitRequest(state, event, pool, context);
		},
		'request-ended'(state, event) {
			const {teamByRequest, inFlightByTeam} = state.admission;
			const team = teamByRequest.get(event.requestId);
			if (team !== undefined) {
				teamByRequest.delete(event.requestId);
				inFlightByTeam.set(team, (inFlightByTeam.get(team) ?? 1) - 1);
			}

			return [];
		},
	},
};

function findRefusal(state: EntryState, event: EventOf<'request-cleared'>): OutcomeReason | undefined {
	const {request, pool} = event;
	const quota = state.bundle.current?.teams[request.team]?.maxInFlight;
	if (quota !== undefined && (state.admission.inFlightByTeam.get(request.team) ?? 0) >= quota) {
		return 'quota-exceeded';
	}

	const queueLimit = state.bundle.current?.services[request.service]?.queueLimit ?? 0;
	return getFlowLength(state, pool, request) >= queueLimit ? 'overloaded' : undefined;
}

function admitRequest(state: EntryState, event: EventOf<'request-cleared'>, pool: string, context: DecisionContext): Output[] {
	const {request, receiver} = event;
	const {teamByRequest, inFlightByTeam} = state.admission;
	if (!teamByRequest.has(request.requestId)) {
		teamByRequest.set(request.requestId, request.team);
		inFlightByTeam.set(request.team, (inFlightByTeam.get(request.team) ?? 0) + 1);
	}

	return [passEvent({
		kind: 'request-queued',
		work: {
			request, receiver, pool, deadlineAt: context.now + request.timeLeftMs, tried: [], mayHaveRun: false, notBefore: 0,
		},
	})];
}
