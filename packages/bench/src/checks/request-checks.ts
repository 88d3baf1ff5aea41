import {type RequestResult} from '@pistachiogauge/model';
import {type SentRequest} from '../virtual/virtual-callers.js';
import {createAnswerBody} from '../virtual/virtual-fleet.js';
import {addCount, type Simulation} from '../virtual/simulation.js';
import {type Check} from './check.js';

/** Time after the deadline within which a running entry must have answered; the deadline is measured on a clock that may be 5% slow. */
const answerGraceMs = 2000;
const maxClockRatio = 1.05;

/** Every caller gets exactly one answer in time, and it is the complete answer to its own request. */
export const ownAnswerCheck: Check = {
	name: 'own-answer',
	createHandlers(callers) {
		/** Unanswered requests with the time at which the entry read them; a paused process reads a request only after its pause. */
		const openRequests = new Map<SentRequest, number>();
		return {
			'event-applied'(simulation, {event}) {
				if (event.kind === 'request-received') {
					openRequests.set(callers.requestsById.get(event.request.requestId)!, simulation.queue.now);
				}

				return undefined;
			},
			'caller-answered'(_simulation, {entry, requestId, result}) {
				const sent = callers.requestsById.get(requestId);
				if (sent?.entry !== entry) {
					return `${entry.id} answered ${requestId}, which it has not received`;
				}

				openRequests.delete(sent);
				if (sent.result !== undefined) {
					return `${requestId} was answered twice`;
				}

				return isOwnAnswer(sent, result) ? undefined : `${requestId} got the answer to another request, or a part of its own`;
			},
			'interval-elapsed'(simulation) {
				for (const [sent, readAt] of openRequests) {
					if (!sent.entry.isAlive || sent.hasHungUp) {
						openRequests.delete(sent);
						continue;
					}

					if (isOverdue(simulation, sent, readAt)) {
						return `${sent.request.requestId} at ${sent.entry.id} has no answer ${Math.round(simulation.queue.now - readAt - sent.options.deadlineMs)} ms after its deadline`;
					}
				}

				return undefined;
			},
		};
	},
};

function isOwnAnswer({request}: SentRequest, result: RequestResult): boolean {
	return result.outcome !== 'completed' || result.status !== 200 || Buffer.compare(result.body, createAnswerBody(request.body)) === 0;
}

function isOverdue(simulation: Simulation, {entry, options}: SentRequest, readAt: number): boolean {
	const {now} = simulation.queue;
	return !entry.isPaused
		&& now - entry.runningSince > answerGraceMs
		&& now > readAt + (options.deadlineMs * maxClockRatio) + answerGraceMs;
}

/** A request that was answered as not run has not run before and does not run later. */
export const notRunCheck: Check = {
	name: 'not-run-is-true',
	createHandlers(callers) {
		const runs = new Set<string>();
		const startedKeys = new Set<string>();
		const answeredNotRun = new Set<string>();
		return {
			'run-started'(_simulation, {instanceId, request}) {
				runs.add(request.requestId);
				startedKeys.add(`${request.key} ${Buffer.from(request.body).toString()}`);
				return answeredNotRun.has(request.requestId) ? `${request.requestId} was answered as not run and then ran at ${instanceId}` : undefined;
			},
			'caller-answered'(simulation, {requestId, result}) {
				if (result.outcome !== 'not-run') {
					return undefined;
				}

				answeredNotRun.add(requestId);
				if (runs.has(requestId)) {
					return `${requestId} was answered as not run (${result.reason}) after it had run`;
				}

				const request = callers.requestsById.get(requestId)?.request;
				if (request?.key !== undefined && startedKeys.has(`${request.key} ${Buffer.from(request.body).toString()}`)) {
					// This repeat did not run, but an earlier request with the same key did.
					addCount(simulation, 'repeats_answered_not_run_after_a_run');
				}

				return undefined;
			},
		};
	},
};

/** A non-idempotent request, identified by its key, runs at most once. */
export const atMostOnceCheck: Check = {
	name: 'at-most-once',
	createHandlers() {
		const runs = new Map<string, string>();
		return {
			'run-started'(_simulation, {instanceId, request}) {
				if (request.isIdempotent) {
					return undefined;
				}

				const key = `${request.service} ${request.key}`;
				const previous = runs.get(key);
				runs.set(key, `${request.requestId} at ${instanceId}`);
				return previous === undefined ? undefined : `key ${request.key} ran as ${previous} and as ${request.requestId} at ${instanceId}`;
			},
		};
	},
};
