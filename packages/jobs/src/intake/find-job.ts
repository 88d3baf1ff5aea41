import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {type CallerAnswer, type JobLocation} from '../model/index.js';
import {
	answerPendingRequest, answerStoreCall, keyUncheckedAnswer, readFailedAnswer, storeRetryAfterMs, storeSilentAnswer, writeCauses,
} from './answer-request.js';
import {countEarlyCancellation} from './early-cancellations.js';
import {type PendingRequest, type State} from './intake-state.js';
import {createJobLocation, isQueueOfJob, mayAccessJob} from './job-locations.js';

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
			return readLocation(state, requestId);
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

		if (location === undefined && request.action === 'cancel') {
			return cancelUnknownJob(state, requestId, request, context);
		}

		if (location === undefined || !isQueueOfJob(request.queue, location)) {
			return answerPendingRequest(state, requestId, context.now, {kind: 'unknown-job'});
		}

		if (location.isCancelled === true) {
			return answerPendingRequest(state, requestId, context.now, answerCancelledJob(request, location));
		}

		request.location = location;
		return [emitEffect({
			kind: 'read-progress', requestId, pool: location.pool, jobId: request.jobId,
		})];
	},
	'early-cancellation-stored': (state, {requestId, result}, context) => result === 'conflict'
		// The job was stored meanwhile.
		? readLocation(state, requestId)
		: answerStoreCall(state, requestId, context.now, {
			applied: {kind: 'unknown-job'},
			refused: cancellationRefusedAnswer,
			unknown: storeSilentAnswer,
		}[result] as CallerAnswer, writeCauses[result]),
	'cancel-stored': (state, {requestId, result}, context) => answerStoreCall(state, requestId, context.now, {
		conflict: {kind: 'cancelled'},
		applied: {kind: 'cancelled'},
		refused: cancellationRefusedAnswer,
		unknown: storeSilentAnswer,
	}[result] as CallerAnswer, writeCauses[result]),
};

const cancellationRefusedAnswer: CallerAnswer = {kind: 'refused', reason: 'the store did not take the cancellation', retryAfterMs: storeRetryAfterMs};

function readLocation({intake}: State, requestId: string): JobOutput[] {
	const request = intake.pendingRequests.get(requestId);
	return request === undefined ? [] : [emitEffect({kind: 'read-job-location', requestId, jobId: request.jobId})];
}

/**
Cancels a job that is not stored. Its submission may still be on its way, in a process that stands still or in the store, so the cancellation is recorded before it is acknowledged; the job is then not stored any more.

Callers may send any number of unknown ids. Beyond a limit they are refused, as an answer that there is no such job would not be kept.
*/
function cancelUnknownJob(state: State, requestId: string, {queue, jobId, account, isKeyUnchecked}: PendingRequest, context: DecisionContext): JobOutput[] {
	if (isKeyUnchecked) {
		return answerPendingRequest(state, requestId, context.now, keyUncheckedAnswer);
	}

	const retryAfterMs = countEarlyCancellation(state.intake.earlyCancellations, account, context);
	if (retryAfterMs > 0) {
		return [
			emitCount('early_cancellations_total{result="limited"}'),
			...answerPendingRequest(state, requestId, context.now, {kind: 'refused', reason: 'too many cancellations of unknown jobs', retryAfterMs}),
		];
	}

	const {host, prefix, account: owner} = createJobLocation(queue, queue.isPublic ? undefined : account);
	return [
		emitCount('early_cancellations_total{result="recorded"}'),
		emitLog('info', 'cancellation of unknown job recorded', {
			request: requestId, job: jobId, queue: queue.name, account,
		}),
		emitEffect({
			kind: 'store-early-cancellation', requestId, jobId, address: {host, prefix, account: owner},
		}),
	];
}

/** Answers a request for a job that was submitted after its cancellation. */
function answerCancelledJob({action, account, isKeyUnchecked}: PendingRequest, location: JobLocation): CallerAnswer {
	if (!mayAccessJob(location, account)) {
		return isKeyUnchecked ? keyUncheckedAnswer : {kind: 'unknown-job'};
	}

	return action === 'cancel' ? {kind: 'cancelled'} : {kind: 'status', status: 'cancelled'};
}
