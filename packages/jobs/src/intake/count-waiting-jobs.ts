import {emitEffect} from '@pistachiogauge/chain';
import {type JobFilter} from '../filter.js';
import {answerPendingRequest, answerStoreCall, readFailedAnswer} from './answer-request.js';
import {type State} from './intake-state.js';

/** A report whose owner's claim was confirmed longer ago is not used to tell how many jobs wait; owners publish one, which confirms it, at least every second. */
const maxWaitingAgeMs = 3000;

/** Handles the store's answers to requests for the number of waiting jobs. @internal */
export const waitingCountHandlers: JobFilter<State>['handlers'] = {
	'report-read'(state, {requestId, result, report}, context) {
		const request = state.intake.pendingRequests.get(requestId);
		if (request === undefined) {
			return [];
		}

		if (result === 'failed') {
			return answerStoreCall(state, requestId, context.now, readFailedAnswer, 'no-answer');
		}

		// The claim of an owner that is cut off one way lasts: jobs that others accept are in the store, not in its report.
		const isCurrent = report !== undefined && Math.abs(context.wallTime - report.confirmedAt) <= maxWaitingAgeMs;
		return isCurrent
			? answerPendingRequest(state, requestId, context.now, {kind: 'waiting', waiting: report.waiting[request.queue.name] ?? 0})
			: [emitEffect({
				kind: 'count-queued-jobs', requestId, pool: request.queue.pool, queue: request.queue.name,
			})];
	},
	'queued-jobs-counted': (state, {requestId, result, count}, context) => result === 'failed'
		? answerStoreCall(state, requestId, context.now, readFailedAnswer, 'no-answer')
		: answerPendingRequest(state, requestId, context.now, {kind: 'waiting', waiting: count}),
};
