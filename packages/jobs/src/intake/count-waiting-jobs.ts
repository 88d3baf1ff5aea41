import {emitEffect} from '@pistachiogauge/chain';
import {type JobFilter} from '../filter.js';
import {type Configuration} from '../model/index.js';
import {answerPendingRequest, answerStoreCall, readFailedAnswer} from './answer-request.js';
import {type State} from './intake-state.js';

/** A report whose owner's claim was confirmed longer ago is not used to tell how many jobs wait; owners publish one, which confirms it, at least every second. */
const maxWaitingAgeMs = 3000;

/**
Handles the store's answers to requests for the number of waiting jobs.

Jobs of a queue that has changed its pool wait in both pools, so all are asked.

@internal
*/
export const waitingCountHandlers: JobFilter<State>['handlers'] = {
	'reports-read'(state, {requestId, result, reports}, context) {
		const request = state.intake.pendingRequests.get(requestId);
		if (request === undefined) {
			return [];
		}

		if (result === 'failed') {
			return answerStoreCall(state, requestId, context.now, readFailedAnswer, 'no-answer');
		}

		const {name} = request.queue;
		const unreportedPools = listPools(state.configuration.current);
		let waiting = 0;
		for (const report of reports) {
			// The claim of an owner that is cut off one way lasts: jobs that others accept are in the store, not in its report.
			if (Math.abs(context.wallTime - report.confirmedAt) <= maxWaitingAgeMs) {
				unreportedPools.delete(report.pool);
				waiting += report.waiting[name] ?? 0;
			}
		}

		if (unreportedPools.size === 0) {
			return answerPendingRequest(state, requestId, context.now, {kind: 'waiting', waiting});
		}

		request.reportedWaiting = waiting;
		return [emitEffect({
			kind: 'count-queued-jobs', requestId, pools: [...unreportedPools], queue: name,
		})];
	},
	'queued-jobs-counted'(state, {requestId, result, count}, context) {
		const waiting = (state.intake.pendingRequests.get(requestId)?.reportedWaiting ?? 0) + count;
		return result === 'failed'
			? answerStoreCall(state, requestId, context.now, readFailedAnswer, 'no-answer')
			: answerPendingRequest(state, requestId, context.now, {kind: 'waiting', waiting});
	},
};

function listPools(configuration: Configuration | undefined): Set<string> {
	return new Set([...configuration?.pools.map(({name}) => name) ?? [], ...configuration?.queues.map(({pool}) => pool) ?? []]);
}
