import {emitEffect} from '@pistachiogauge/chain';
import {type JobFilter} from '../filter.js';
import {type CallerAnswer} from '../model/index.js';
import {
	answerPendingRequest, answerStoreCall, readFailedAnswer, storeRetryAfterMs, writeCauses,
} from './answer-request.js';
import {type State} from './intake-state.js';

/** Handles the store's answers to requests for the state or the cancellation of a job. @internal */
export const jobRequestHandlers: JobFilter<State>['handlers'] = {
	'progress-read'(state, {requestId, result, progress}, context) {
		const request = state.intake.pendingRequests.get(requestId);
		if (request === undefined) {
			return [];
		}

		if (result === 'failed') {
			return answerStoreCall(state, requestId, context.now, readFailedAnswer, 'no-answer');
		}

		if (progress?.queue !== request.queue.name) {
			return answerPendingRequest(state, requestId, context.now, {kind: 'unknown-job'});
		}

		if (!mayAccessJob(progress, request.account)) {
			return answerPendingRequest(state, requestId, context.now, request.isKeyUnchecked
				? {kind: 'refused', reason: 'the configuration has not been confirmed recently', retryAfterMs: storeRetryAfterMs}
				: {kind: 'unknown-job'});
		}

		if (request.action === 'cancel' && (progress.status === 'queued' || progress.status === 'running')) {
			return [emitEffect({
				kind: 'store-cancel', requestId, pool: request.queue.pool, jobId: request.jobId,
			})];
		}

		return answerPendingRequest(state, requestId, context.now, request.action === 'cancel' ? {kind: 'cancelled'} : {kind: 'status', status: progress.status});
	},
	'cancel-stored': (state, {requestId, result}, context) => answerStoreCall(state, requestId, context.now, {
		conflict: {kind: 'cancelled'},
		applied: {kind: 'cancelled'},
		refused: {kind: 'refused', reason: 'the store did not take the cancellation', retryAfterMs: storeRetryAfterMs},
		unknown: {kind: 'undecided', reason: 'the store has not answered'},
	}[result] as CallerAnswer, writeCauses[result]),
};

/** Whether callers of an account, or callers without one, may read and cancel a job. A job without an account is open to all that may use its queue. @internal */
export function mayAccessJob(job: {readonly account?: string | undefined}, account: string | undefined): boolean {
	return job.account === undefined || job.account === account;
}
