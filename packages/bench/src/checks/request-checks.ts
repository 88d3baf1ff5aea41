import {type RequestResult} from '@pistachiogauge/model';
import {type SentRequest} from '../virtual/virtual-callers.js';
import {createAnswerBody} from '../virtual/virtual-fleet.js';
import {addCount, type Simulation} from '../virtual/world.js';
import {type Check} from './check.js';

/** Time after the deadline, on a clock that may be slow, in which a running entry must have answered. */
const answerGraceMs = 2000;
const clockFactor = 1.05;

/** Every caller gets one answer, in time, and it is the whole answer to its own request. */
export const ownAnswerCheck: Check = {
	name: 'own-answer',
	createHandlers(callers) {
		/** Requests without an answer, with the time at which the entry read them: a paused process learns of a request after its pause. */
		const open = new Map<SentRequest, number>();
		return {
			'entry-stepped'(world, {event}) {
				if (event.kind === 'request-received') {
					open.set(callers.byId.get(event.request.requestId)!, world.queue.now);
				}

				return undefined;
			},
			'caller-answered'(_world, {entry, requestId, result}) {
				const sent = callers.byId.get(requestId);
				if (sent?.entry !== entry) {
					return `${entry.id} answered ${requestId}, which it has not received`;
				}

				open.delete(sent);
				if (sent.result !== undefined) {
					return `${requestId} was answered twice`;
				}

				return isOwnAnswer(sent, result) ? undefined : `${requestId} got the answer to another request, or a part of its own`;
			},
			'time-passed'(world) {
				for (const [sent, readAt] of open) {
					if (!sent.entry.isAlive || sent.hasHungUp) {
						open.delete(sent);
						continue;
					}

					if (isOverdue(world, sent, readAt)) {
						return `${sent.request.requestId} at ${sent.entry.id} has no answer ${Math.round(world.queue.now - readAt - sent.options.deadlineMs)} ms after its deadline`;
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

function isOverdue(world: Simulation, {entry, options: plan}: SentRequest, readAt: number): boolean {
	const {now} = world.queue;
	return !entry.isPaused
		&& now - entry.runningSince > answerGraceMs
		&& now > readAt + (plan.deadlineMs * clockFactor) + answerGraceMs;
}

/** A request answered as not run has not run and does not run later. */
export const notRunCheck: Check = {
	name: 'not-run-is-true',
	createHandlers(callers) {
		const runs = new Set<string>();
		const runKeys = new Set<string>();
		const refused = new Set<string>();
		return {
			'run-started'(_world, {instanceId, request}) {
				runs.add(request.requestId);
				runKeys.add(`${request.key} ${Buffer.from(request.body).toString()}`);
				return refused.has(request.requestId) ? `${request.requestId} was answered as not run and then ran at ${instanceId}` : undefined;
			},
			'caller-answered'(world, {requestId, result}) {
				if (result.outcome !== 'not-run') {
					return undefined;
				}

				refused.add(requestId);
				if (runs.has(requestId)) {
					return `${requestId} was answered as not run (${result.reason}) after it had run`;
				}

				const request = callers.byId.get(requestId)?.request;
				if (request?.key !== undefined && runKeys.has(`${request.key} ${Buffer.from(request.body).toString()}`)) {
					// The repeat itself did not run, but an earlier request of the same key did.
					addCount(world, 'repeats_answered_not_run_after_a_run');
				}

				return undefined;
			},
		};
	},
};

/** A non-idempotent request, which its key names, runs at most once. */
export const atMostOnceCheck: Check = {
	name: 'at-most-once',
	createHandlers() {
		const runs = new Map<string, string>();
		return {
			'run-started'(_world, {instanceId, request}) {
				if (request.isIdempotent) {
					return undefined;
				}

				const key = `${request.service} ${request.key}`;
				const former = runs.get(key);
				runs.set(key, `${request.requestId} at ${instanceId}`);
				return former === undefined ? undefined : `key ${request.key} ran as ${former} and as ${request.requestId} at ${instanceId}`;
			},
		};
	},
};
