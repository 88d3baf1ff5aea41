import {
	type AttemptFailure, type EventOf, type PoolWork, type RequestResult,
} from '@pistachiogauge/model';
import {restartEvent, type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createCompletedResult, createNotRunResult, createUnknownResult} from '../results.js';
import {getRetryTokens, isNotExecutedStatus, maxAttempts} from './retry-state.js';

/** Retries earned by each request; keeps the sent-to-asked ratio at or below 1.1. */
const tokensPerRequest = 0.1;
const maxTokens = 20;
const backoffBaseMs = 20;
const maxBackoffDoublings = 5;
const retryAfterMs = 1000;

/** What the end of an attempt tells about a request. */
type AttemptVerdict = 'final' | 'refused' | 'not-sent' | 'server-error' | 'interrupted';

/**
Decides what follows an attempt: a result for the caller, or another attempt when running twice is harmless or nothing ran.

@public
*/
export const retryFilter: Filter = {
	name: 'retry',
	handlers: {
		'request-queued'(state, {work}) {
			// Refused requests earn nothing: a flood must not pay for retries.
			if (work.triedInstances.length === 0 && work.refusalCount === undefined) {
				const {tokens} = state.retry;
				const {service} = work.request;
				tokens.set(service, Math.min(maxTokens, getRetryTokens(state, service) + tokensPerRequest));
			}

			return [];
		},
		'attempt-ended': (state, event, context) => verdictHandlers[judgeAttempt(state, event)](state, event, context),
	},
};

type VerdictHandler = (state: EntryState, event: EventOf<'attempt-ended'>, context: DecisionContext) => Output[];

const verdictHandlers: Readonly<Record<AttemptVerdict, VerdictHandler>> = {
	final: (_state, event) => [endRequest(event.work, createFinalResult(event))],
	// The instance pauses after a refusal for lack of slots, which bounds these attempts without the retry budget.
	refused(_state, {work}, context) {
		const refusals = (work.refusalCount ?? 0) + 1;
		return requeue({...work, refusalCount: refusals, notBefore: context.now + computeBackoff(refusals, context)});
	},
	'not-sent': (state, event, context) => retryRequest(state, event, context, createFailedResult(event.work, createNotRunResult('pool-unavailable', retryAfterMs))),
	'server-error': (state, event, context) => retryRequest(state, event, context, createFinalResult(event)),
	interrupted: (state, event, context) => retryRequest(state, event, context, createFinalResult(event)),
};

function judgeAttempt(state: EntryState, {work, ending}: EventOf<'attempt-ended'>): AttemptVerdict {
	const {request} = work;
	if (ending.kind === 'failed') {
		return judgeFailure(ending.failure, request.isIdempotent);
	}

	if (isNotExecutedStatus(state, request.service, ending.status)) {
		return 'refused';
	}

	return request.isIdempotent && ending.status >= 500 ? 'server-error' : 'final';
}

function judgeFailure(failure: AttemptFailure, isIdempotent: boolean): AttemptVerdict {
	if (failure === 'not-sent') {
		return 'not-sent';
	}

	return isIdempotent ? 'interrupted' : 'final';
}

function retryRequest(state: EntryState, event: EventOf<'attempt-ended'>, context: DecisionContext, lastResult: RequestResult): Output[] {
	const {work, ending, instanceId} = event;
	const {tokens} = state.retry;
	const {service} = work.request;
	const left = getRetryTokens(state, service);
	const notBefore = context.now + computeBackoff(work.triedInstances.length + 1, context);
	if (left < 1 || work.triedInstances.length + 1 >= maxAttempts || notBefore >= work.deadlineAt) {
		return [endRequest(work, lastResult)];
	}

	tokens.set(service, left - 1);
	const mayHaveRun = work.mayHaveRun || ending.kind === 'answered' || ending.failure !== 'not-sent';
	return requeue({
		...work, triedInstances: [...work.triedInstances, instanceId], mayHaveRun, notBefore,
	});
}

function requeue(work: PoolWork): Output[] {
	if (work.notBefore >= work.deadlineAt) {
		return [endRequest(work, createFailedResult(work, createNotRunResult('refused-by-endpoint', retryAfterMs)))];
	}

	return [restartEvent({kind: 'request-queued', work})];
}

/** The random part keeps requests that failed together from coming back together. */
function computeBackoff(failures: number, context: DecisionContext): number {
	return backoffBaseMs * (2 ** Math.min(maxBackoffDoublings, failures - 1)) * (0.5 + context.random.getFraction());
}

function createFinalResult({ending}: EventOf<'attempt-ended'>): RequestResult {
	if (ending.kind === 'answered') {
		return createCompletedResult(ending.status, ending.headers, ending.body);
	}

	return createUnknownResult(ending.failure === 'not-sent' ? 'connection-lost' : ending.failure);
}

/** Nothing ran in the last attempt, but an earlier one may have run. */
function createFailedResult(work: PoolWork, notRun: RequestResult): RequestResult {
	return work.mayHaveRun ? createUnknownResult('connection-lost') : notRun;
}

function endRequest(work: PoolWork, result: RequestResult): Output {
	return restartEvent({
		kind: 'request-ended', requestId: work.request.requestId, receiver: work.receiver, result,
	});
}
