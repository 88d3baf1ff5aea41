import {emitEffect, passEvent} from '@pistachiogauge/chain';
import {checkCallerOfQueue} from '../accounts/index.js';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {
	type CallerAction, type JobEventOf, type JobRecord, type Queue,
} from '../model/index.js';
import {admitJob, submissionHandlers} from './admit-job.js';
import {
	answerPendingRequest, countForAccount, createAnswer, findSubmission, isRelayable, knownSubmissionAnswers, storeLostAnswer, storeRetryAfterMs,
} from './answer-request.js';
import {waitingCountHandlers} from './count-waiting-jobs.js';
import {jobRequestHandlers} from './find-job.js';
import {type State} from './intake-state.js';
import {createJobLocation, mayAccessJob} from './job-locations.js';
import {createRejection, reportRejection} from './reject-request.js';

type ActionHandler = (state: State, request: JobEventOf<'caller-requested'>, queue: Queue, account: string | undefined, wallTime: number) => JobOutput[];

const actionHandlers: Readonly<Record<CallerAction, ActionHandler>> = {
	submit(state, {requestId, jobId, spec}, queue, account, wallTime) {
		if (spec === undefined) {
			return [createAnswer(requestId, 'submit', {kind: 'invalid', message: 'the body is not a job'})];
		}

		const job: JobRecord = {
			id: jobId,
			queue: queue.name,
			pool: queue.pool,
			spec,
			priority: queue.priority,
			attempts: queue.attempts,
			stretch: queue.stretch,
			latencyTargetMs: queue.latencyTargetMs,
			advice: queue.advice,
			account: queue.isPublic ? undefined : account,
			acceptedAt: wallTime,
		};
		return admitJob(state, requestId, job, createJobLocation(queue, job.account));
	},
	get(state, {requestId, jobId}, queue, account) {
		for (const {endedJobs} of state.ledger.pools.values()) {
			const ended = endedJobs.get(jobId);
			if (ended?.queue === queue.name && mayAccessJob(ended, account)) {
				// A saved end is final, whichever entry owns the pool now.
				return [createAnswer(requestId, 'get', {kind: 'status', status: ended.status})];
			}
		}

		return [emitEffect({
			kind: 'read-progress', requestId, pool: queue.pool, jobId,
		})];
	},
	cancel: (_state, {requestId, jobId}, queue) => [emitEffect({
		kind: 'read-progress', requestId, pool: queue.pool, jobId,
	})],
	count: (_state, {requestId}) => [emitEffect({kind: 'read-reports', requestId})],
};

/**
Handles callers' requests on any entry. A job is accepted once its record is in the store; from then on the owner of its pool runs it.

@public
*/
export const intakeFilter: JobFilter<State> = {
	name: 'intake',
	handlers: {
		'caller-requested'(state, event, context) {
			const {requestId, action, jobId} = event;
			const {current} = state.configuration;
			const queue = current?.queues.find(({name}) => name === event.queue);
			if (current === undefined || queue === undefined) {
				return [createAnswer(requestId, action, current === undefined
					? {kind: 'refused', reason: 'no configuration has been read yet', retryAfterMs: storeRetryAfterMs}
					: {kind: 'unknown-queue'})];
			}

			const check = checkCallerOfQueue(state, event, context);
			if (check?.kind === 'rejected') {
				const rejection = createRejection(state, event, check, context.now);
				if (check.reason === 'configuration-age' && isRelayable(event)) {
					// A peer that reaches the store checks the key with its own configuration.
					state.intake.pendingRequests.set(requestId, {
						action, queue, jobId, account: rejection.account, isKeyUnchecked: true, configurationVersion: current.version, receivedAt: context.now, relayable: event,
					});
					return [passEvent({
						kind: 'request-unanswered', requestId, cause: 'store-lost', answer: rejection.answer,
					})];
				}

				return [createAnswer(requestId, action, rejection.answer), ...reportRejection(state, {...event, ...rejection}, context.now)];
			}

			const account = check?.account?.name;
			if (!state.intake.isStoreReached) {
				const known = action === 'submit' ? findSubmission(state, jobId, context.now) : undefined;
				if (known === 'accepted' || (known !== undefined && !isRelayable(event))) {
					return [
						createAnswer(requestId, action, knownSubmissionAnswers[known]),
						emitLog('info', 'repeated submission answered from memory', {
							request: requestId, job: jobId, queue: queue.name, account, answer: known,
						}),
					];
				}

				if (isRelayable(event)) {
					state.intake.pendingRequests.set(requestId, {
						action, queue, jobId, account, isKeyUnchecked: check?.isKeyUnchecked === true, configurationVersion: current.version, receivedAt: context.now, relayable: event,
					});
					return [passEvent({
						kind: 'request-unanswered', requestId, cause: 'store-lost', answer: storeLostAnswer,
					})];
				}

				return [
					createAnswer(requestId, action, storeLostAnswer),
					emitCount(`requests_total{action="${action}",answer="refused"}`),
					...countForAccount(state, account, 'refused', 'store'),
					emitLog('warn', 'request refused', {
						request: requestId, action, job: jobId, queue: queue.name, account, reason: 'the store is out of reach',
					}),
				];
			}

			const outputs = actionHandlers[action](state, event, queue, account, context.wallTime);
			if (outputs.every(output => output.kind !== 'sink' || output.effect.kind !== 'answer-caller')) {
				state.intake.pendingRequests.set(requestId, {
					action, queue, jobId, account, isKeyUnchecked: check?.isKeyUnchecked === true, configurationVersion: current.version, receivedAt: context.now, relayable: isRelayable(event) ? event : undefined,
				});
			}

			return outputs;
		},
		'caller-rejected': (state, event, {now}) => reportRejection(state, event, now),
		'store-reached'({intake}) {
			intake.isStoreReached = true;
			return [emitLog('info', 'store reachable', {})];
		},
		'store-lost'({intake}) {
			intake.isStoreReached = false;
			return [emitLog('warn', 'store unreachable', {})];
		},
		...submissionHandlers,
		...jobRequestHandlers,
		...waitingCountHandlers,
		'relay-ended': (state, {requestId, answer}, context) => answerPendingRequest(state, requestId, context.now, answer),
	},
};
