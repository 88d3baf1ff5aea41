import {
	type AttemptFailure, type EventOf, type PoolWork, type RequestResult,
} from '@pistachiogauge/model';
import {restartEvent, type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createCompletedResult, createNotRunResult, createUnknownResult} from '../results.js';
import {getRetryTokens, isNotExecutedStatus, maxAttempts} from './retry-state.js';

/** Retry tokens that each request adds; limits the number of attempts to 1.1 times the number of requests. */
const tokensPerRequest = 0.1;
const maxTokens = 20;
const backoffBaseMs = 20;
const maxBackoffDoublings = 5;
const retryAfterMs = 1000;

/** Category of an ended attempt, which determines whether the request is sent again. */
type AttemptCategory = 'final' | 'refused' | 'not-sent' | 'server-error' | 'interrupted';

/**
Decides whether an ended attempt gives the result or the request is sent again, which is done only when it is idempotent or has provably not run.

@public
*/
export const retryFilter: Filter = {
	name: 'retry',
	handlers: {
		'request-queued'(state, {work}) {
			// Only requests that were admitted to the queue add tokens, so a flood of refused requests does not allow more retries.
			if (work.triedInstances.length === 0 && work.refusalCount === undefined) {
				const {tokens} = state.retry;
				const {service} = work.request;
				tokens.set(service, Math.min(maxTokens, getRetryTokens(state, service) + tokensPerRequest));
			}

			return [];
		},
		'attempt-ended': (state, event, context) => categoryHandlers[classifyAttempt(state, event)](state, event, context),
	},
};

type CategoryHandler = (state: EntryState, event: EventOf<'attempt-ended'>, context: DecisionContext) => Output[];

const categoryHandlers: Readonly<Record<AttemptCategory, CategoryHandler>> = {
	final: (_state, event) => [endRequest(event.work, createFinalResult(event))],
	// After a refusal for lack of slots the instance gets no requests for a while, which limits these attempts, so they need no retry budget.
	refused(_state, {work}, context) {
		const refusalCount = (work.refusalCount ?? 0) + 1;
		return requeueRequest({...work, refusalCount, notBefore: context.now + computeBackoff(refusalCount, context)});
	},
	'not-sent': (state, event, context) => retryRequest(state, event, context, createFailureResult(event.work, createNotRunResult('pool-unavailable', retryAfterMs))),
	'server-error': (state, event, context) => retryRequest(state, event, context, createFinalResult(event)),
	interrupted: (state, event, context) => retryRequest(state, event, context, createFinalResult(event)),
};

function classifyAttempt(state: EntryState, {work, result}: EventOf<'attempt-ended'>): AttemptCategory {
	const {request} = work;
	if (result.kind === 'failed') {
		return classifyFailure(result.failure, request.isIdempotent);
	}

	if (isNotExecutedStatus(state, request.service, result.status)) {
		return 'refused';
	}

	return request.isIdempotent && result.status >= 500 ? 'server-error' : 'final';
}

function classifyFailure(failure: AttemptFailure, isIdempotent: boolean): AttemptCategory {
	if (failure === 'not-sent') {
		return 'not-sent';
	}

	return isIdempotent ? 'interrupted' : 'final';
}

function retryRequest(state: EntryState, event: EventOf<'attempt-ended'>, context: DecisionContext, lastResult: RequestResult): Output[] {
	const {work, result, instanceId} = event;
	const {tokens} = state.retry;
	const {service} = work.request;
	const availableTokens = getRetryTokens(state, service);
	const notBefore = context.now + computeBackoff(work.triedInstances.length + 1, context);
	if (availableTokens < 1 || work.triedInstances.length + 1 >= maxAttempts || notBefore >= work.deadlineAt) {
		return [endRequest(work, lastResult)];
	}

	tokens.set(service, availableTokens - 1);
	const mayHaveRun = work.mayHaveRun || result.kind === 'answered' || result.failure !== 'not-sent';
	return requeueRequest({
		...work, triedInstances: [...work.triedInstances, instanceId], mayHaveRun, notBefore,
	});
}

function requeueRequest(work: PoolWork): Output[] {
	if (work.notBefore >= work.deadlineAt) {
		return [endRequest(work, createFailureResult(work, createNotRunResult('refused-by-endpoint', retryAfterMs)))];
	}

	return [restartEvent({kind: 'request-queued', work})];
}

/** Computes an exponential backoff in milliseconds; the random part prevents requests that failed together from being sent again together. */
function computeBackoff(failures: number, context: DecisionContext): number {
	return backoffBaseMs * (2 ** Math.min(maxBackoffDoublings, failures - 1)) * (0.5 + context.random.getFraction());
}

function createFinalResult({result}: EventOf<'attempt-ended'>): RequestResult {
	if (result.kind === 'answered') {
		return createCompletedResult(result.status, result.headers, result.body);
	}

	return createUnknownResult(result.failure === 'not-sent' ? 'connection-lost' : result.failure);
}

/** Creates the result after a last attempt that did not run; unknown if an earlier attempt may have run. */
function createFailureResult(work: PoolWork, notRun: RequestResult): RequestResult {
	return work.mayHaveRun ? createUnknownResult('connection-lost') : notRun;
}

function endRequest(work: PoolWork, result: RequestResult): Output {
	return restartEvent({
		kind: 'request-ended', requestId: work.request.requestId, receiver: work.receiver, result,
	});
}
