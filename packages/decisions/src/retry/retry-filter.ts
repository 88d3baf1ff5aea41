import {type EventOf, type PoolWork, type RequestResult} from '@pistachiogauge/model';
import {restartEvent, type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createCompletedResult, createNotRunResult, createUnknownResult} from '../results.js';

/** Retries earned by each request; keeps the sent-to-asked ratio at or below 1.1. */
const tokensPerRequest = 0.1;
const maxTokens = 20;
const maxAttempts = 3;
const backoffBaseMs = 20;

/**
Decides what follows an attempt: a result for the caller, or another attempt when running twice is harmless or nothing ran.

@public
*/
export const retryFilter: Filter = {
	name: 'retry',
	handlers: {
		'request-cleared'(state, event) {
			const {tokens} = state.retry;
			const {service} = event.request;
			tokens.set(service, Math.min(maxTokens, (tokens.get(service) ?? maxTokens) + tokensPerRequest));
			return [];
		},
		'attempt-ended'(state, event, context) {
			const result = getFinalResult(state, event);
			if (result !== undefined) {
				return [endRequest(event.work, result)];
			}

			return retryRequest(state, event, context);
		},
	},
};

/** Result of the attempt when it settles the request; undefined when another attempt is allowed. */
function getFinalResult(state: EntryState, {work, ending}: EventOf<'attempt-ended'>): RequestResult | undefined {
	if (ending.kind === 'answered') {
		return isRefusal(state, work, ending.status) ? undefined : createCompletedResult(ending.status, ending.headers, ending.body);
	}

	if (ending.failure === 'not-sent' || work.request.isIdempotent) {
		return undefined;
	}

	return createUnknownResult(ending.failure);
}

function retryRequest(state: EntryState, event: EventOf<'attempt-ended'>, context: DecisionContext): Output[] {
	const {work, ending, instanceId} = event;
	const {tokens} = state.retry;
	const {service} = work.request;
	const left = tokens.get(service) ?? maxTokens;
	const mayHaveRun = work.mayHaveRun || (ending.kind === 'failed' && ending.failure !== 'not-sent');
	if (left < 1 || work.tried.length + 1 >= maxAttempts) {
		return [endRequest(work, mayHaveRun ? createUnknownResult('connection-lost') : createNotRunResult('refused-by-endpoint', 1000))];
	}

	tokens.set(service, left - 1);
	const backoffMs = backoffBaseMs * (2 ** work.tried.length) * (0.5 + context.random.getFraction());
	return [restartEvent({
		kind: 'request-queued',
		work: {
			...work, tried: [...work.tried, instanceId], mayHaveRun, notBefore: context.now + backoffMs,
		},
	})];
}

function isRefusal(state: EntryState, work: PoolWork, status: number): boolean {
	return state.bundle.current?.services[work.request.service]?.notExecutedStatuses.includes(status) ?? false;
}

function endRequest(work: PoolWork, result: RequestResult): Output {
	return restartEvent({
		kind: 'request-ended', requestId: work.request.requestId, receiver: work.receiver, result,
	});
}
