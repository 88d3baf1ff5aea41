import {emitEffect} from '@pistachiogauge/chain';
import {type JobFilter} from '../filter.js';
import {type CallerAnswer} from '../model/index.js';
import {
	answerPendingRequest, answerStoreCall, keyUncheckedAnswer, readFailedAnswer, storeRetryAfterMs, writeCauses,
} from './answer-request.js';
import {type State} from './intake-state.js';
import {isQueueOfJob, mayAccessJob} from './job-locations.js';

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

		if (request.location === undefined && progress?.queue !== request.queue.name) {
			// The queue may have belonged to another pool, or had another name, when the job was accepted.
			return [emitEffect({kind: 'read-job-location', requestId, jobId: request.jobId})];
		}

		if (progress === undefined) {
			return answerPendingRequest(state, requestId, context.now, {kind: 'unknown-job'});
		}

		if (!mayAccessJob(progress, request.account)) {
			return answerPendingRequest(state, requestId, context.now, request.isKeyUnchecked
				? keyUncheckedAnswer
				: {kind: 'unknown-job'});
		}

		if (request.action === 'cancel' && (progress.status === 'queued' || progress.status === 'running')) {
			return [emitEffect({
				kind: 'store-cancel', requestId, pool: request.location?.pool ?? request.queue.pool, jobId: request.jobId,
			})];
		}

		return answerPendingRequest(state, requestId, context.now, request.action === 'cancel' ? {kind: 'cancelled'} : {kind: 'status', status: progress.status});
	},
	'job-location-read'(state, {requestId, result, location}, context) {
		const request = state.intake.pendingRequests.get(requestId);
		if (request === undefined) {
			return [];
		}

		if (result === 'failed') {
			return answerStoreCall(state, requestId, context.now, readFailedAnswer, 'no-answer');
		}

		if (location === undefined || !isQueueOfJob(request.queue, location)) {
			return answerPendingRequest(state, requestId, context.now, {kind: 'unknown-job'});
		}

		request.location = location;
		return [emitEffect({
			kind: 'read-progress', requestId, pool: location.pool, jobId: request.jobId,
		})];
	},
	'cancel-stored': (state, {requestId, result}, context) => answerStoreCall(state, requestId, context.now, {
		conflict: {kind: 'cancelled'},
		applied: {kind: 'cancelled'},
		refused: {kind: 'refused', reason: 'the store did not take the cancellation', retryAfterMs: storeRetryAfterMs},
		unknown: {kind: 'undecided', reason: 'the store has not answered'},
	}[result] as CallerAnswer, writeCauses[result]),
};
