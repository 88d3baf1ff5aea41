import {emitEffect, passEvent} from '@pistachiogauge/chain';
import {
	checkCallerOfQueue, labelAccount, type AccountsView, type CallerCheck,
} from '../accounts/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {
	type CallerAction, type CallerAnswer, type CallerOrigin, type CallerRejection, type Clocks, type JobEventOf, type JobRecord, type Queue, type UnansweredCause,
} from '../model/index.js';
import {type LedgerView} from '../ledger/ledger-state.js';

/** A caller's request that may be relayed. @public */
export type RelayableRequest = JobEventOf<'caller-requested'> & {readonly origin: CallerOrigin};

/** A caller's request whose answer waits for the store. @public */
export type PendingRequest = {
	readonly action: CallerAction;
	readonly queue: Queue;
	readonly jobId: string;
	/** Name of the caller's account; undefined for a caller of a public queue without a key. */
	readonly account: string | undefined;
	/** The account is not known, as the configuration was too old to look up the request's key. */
	readonly isKeyUnchecked: boolean;
	readonly configurationVersion: number;
	readonly receivedAt: number;
	/** The request itself, if it may be relayed. */
	readonly relayable?: RelayableRequest | undefined;
};

/** What this entry has answered to the submission of a job. */
type Submission = {readonly answer: 'accepted' | 'undecided'; readonly at: number};

/** Lines about rejected requests in the present interval: callers without a valid key may send any number of requests. */
type RejectionLines = {startedAt: number; lineCount: number; unreportedCount: number};

/** @public */
export type IntakeState = {
	readonly pendingRequests: Map<string, PendingRequest>;
	/** Recent submissions that were not refused, by job. The same job may be submitted again, and must not be refused as not accepted then. */
	readonly recentSubmissions: Map<string, Submission>;
	isStoreReached: boolean;
	readonly rejectionLines: RejectionLines;
};

type State = {readonly intake: IntakeState} & AccountsView & ConfigurationView & LedgerView;

/** What of a request decides whether its key is sufficient. @public */
export type CallerRequestSummary = Pick<JobEventOf<'caller-requested'>, 'action' | 'queue' | 'jobId' | 'keyHash'>;

/** Time for which a submission is remembered; callers repeat one within seconds. */
const submissionMemoryMs = 60_000;

/** A report whose owner's claim was confirmed longer ago is not used to tell how many jobs wait; owners publish one, which confirms it, at least every second. */
const maxWaitingAgeMs = 3000;
/** Retry time sent with a refusal when the store cannot be reached; meanwhile the load balancer routes the caller to another entry. */
const storeRetryAfterMs = 1000;
const rejectionLogIntervalMs = 10_000;
const maxRejectionLines = 100;

/** @public */
export function createIntakeState(): IntakeState {
	return {
		pendingRequests: new Map(), recentSubmissions: new Map(), isStoreReached: false, rejectionLines: {startedAt: 0, lineCount: 0, unreportedCount: 0},
	};
}

type ActionHandler = (state: State, request: JobEventOf<'caller-requested'>, queue: Queue, account: string | undefined, wallTime: number) => JobOutput[];

const actionHandlers: Readonly<Record<CallerAction, ActionHandler>> = {
	submit(_state, {requestId, jobId, spec}, queue, account, wallTime) {
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
		return [emitEffect({kind: 'store-job', requestId, job})];
	},
	get(state, {requestId, jobId}, queue, account) {
		const ended = state.ledger.pools.get(queue.pool)?.endedJobs.get(jobId);
		if (ended?.queue === queue.name && mayAccessJob(ended, account)) {
			// A saved end is final, whichever entry owns the pool now.
			return [createAnswer(requestId, 'get', {kind: 'status', status: ended.status})];
		}

		return [emitEffect({
			kind: 'read-progress', requestId, pool: queue.pool, jobId,
		})];
	},
	cancel: (_state, {requestId, jobId}, queue) => [emitEffect({
		kind: 'read-progress', requestId, pool: queue.pool, jobId,
	})],
	count: (_state, {requestId}, queue) => [emitEffect({kind: 'read-report', requestId, pool: queue.pool})],
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
				const known = action === 'submit' ? findSubmission(state, jobId, queue.pool, context.now) : undefined;
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
		'job-stored': (state, {requestId, result}, context) => answerStoreCall(state, requestId, context.now, {
			// The record exists already: the same job was submitted again.
			conflict: {kind: 'accepted'},
			applied: {kind: 'accepted'},
			refused: {kind: 'refused', reason: 'the store did not take the job', retryAfterMs: storeRetryAfterMs},
			unknown: {kind: 'undecided', reason: 'the store has not answered'},
		}[result] as CallerAnswer, writeCauses[result]),
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
		'relay-ended': (state, {requestId, answer}, context) => answerPendingRequest(state, requestId, context.now, answer),
	},
};

const storeLostAnswer: CallerAnswer = {kind: 'refused', reason: 'the store is out of reach', retryAfterMs: storeRetryAfterMs};
const readFailedAnswer: CallerAnswer = {kind: 'refused', reason: 'the store cannot be read', retryAfterMs: storeRetryAfterMs};

/** Why a write has no decision of the store, by its result. */
const writeCauses: Readonly<Partial<Record<JobEventOf<'job-stored'>['result'], UnansweredCause>>> = {refused: 'store-refused', unknown: 'no-answer'};

/** Whether a peer can be asked about a request. A submission without a valid job is refused here. */
function isRelayable(event: JobEventOf<'caller-requested'>): event is RelayableRequest {
	const {origin, action, spec} = event;
	return origin !== undefined && (action !== 'submit' || spec !== undefined);
}

/** Answers a request for which a store call has ended; without the store's decision, the relay filter answers if it may. */
function answerStoreCall(state: State, requestId: string, now: number, answer: CallerAnswer, cause: UnansweredCause | undefined): JobOutput[] {
	return cause === undefined || state.intake.pendingRequests.get(requestId)?.relayable === undefined
		? answerPendingRequest(state, requestId, now, answer)
		: [passEvent({
			kind: 'request-unanswered', requestId, cause, answer,
		})];
}

const knownSubmissionAnswers: Readonly<Record<Submission['answer'], CallerAnswer>> = {
	accepted: {kind: 'accepted'},
	undecided: {kind: 'undecided', reason: 'the store has not answered an earlier request for this job'},
};

/** Whether callers of an account, or callers without one, may read and cancel a job. A job without an account is open to all that may use its queue. */
function mayAccessJob(job: {readonly account?: string | undefined}, account: string | undefined): boolean {
	return job.account === undefined || job.account === account;
}

/** Checks the key of a request, before its body is read. @returns The rejection, or undefined if the request may go on. @public */
export function checkCallerRequest(state: State, request: CallerRequestSummary, clocks: Clocks): CallerRejection | undefined {
	const check = checkCallerOfQueue(state, request, clocks);
	return check?.kind === 'rejected' ? createRejection(state, request, check, clocks.now) : undefined;
}

/** Creates the rejection of a request. A submission that may have been accepted before is not refused as not accepted. */
function createRejection(state: State, {action, queue, jobId}: CallerRequestSummary, {reason, account, answer}: Extract<CallerCheck, {kind: 'rejected'}>, now: number): CallerRejection {
	const pool = state.configuration.current?.queues.find(({name}) => name === queue)?.pool ?? '';
	const isRepeated = answer.kind === 'refused' && action === 'submit' && (isSubmissionPending(state, jobId, pool) || findSubmission(state, jobId, pool, now) !== undefined);
	return {reason, account: account?.name, answer: isRepeated ? {kind: 'undecided', reason: answer.reason} : answer};
}

/** Whether a submission of the job is waiting for the store. */
function isSubmissionPending({intake}: State, jobId: string, pool: string): boolean {
	for (const request of intake.pendingRequests.values()) {
		if (request.action === 'submit' && request.jobId === jobId && request.queue.pool === pool) {
			return true;
		}
	}

	return false;
}

/** Counts and logs a rejection. */
function reportRejection(state: State, {requestId, action, queue, jobId, reason, account, answer}: Omit<JobEventOf<'caller-rejected'>, 'kind'>, now: number): JobOutput[] {
	const lines = state.intake.rejectionLines;
	if (now >= lines.startedAt + rejectionLogIntervalMs) {
		lines.startedAt = now;
		lines.lineCount = 0;
	}

	const counts = [
		emitCount(`requests_total{action="${action}",answer="${answer.kind}"}`),
		emitCount(`requests_rejected_total{reason="${reason}"}`),
		...countForAccount(state, account, answer.kind, reason),
	];
	if (lines.lineCount >= maxRejectionLines) {
		lines.unreportedCount += 1;
		return counts;
	}

	const notLogged = lines.unreportedCount;
	lines.lineCount += 1;
	lines.unreportedCount = 0;
	return [...counts, emitLog('warn', 'request rejected because of its key', {
		request: requestId, action, job: jobId, queue, account, reason, answer: answer.kind, notLogged,
	})];
}

/** Counts an answer to a caller of an account, and why it is not served if it is not. */
function countForAccount(state: State, account: string | undefined, answer: CallerAnswer['kind'], refusalReason: string): JobOutput[] {
	if (account === undefined) {
		return [];
	}

	const label = labelAccount(state, account);
	return [
		emitCount(`account_requests_total{account="${label}",answer="${answer}"}`),
		...(answer === 'refused' || answer === 'undecided' ? [emitCount(`account_requests_refused_total{account="${label}",reason="${refusalReason}"}`)] : []),
	];
}

/** Finds out from memory what became of earlier submissions of a job. @returns Undefined when this entry knows of none. */
function findSubmission({intake, ledger}: State, jobId: string, pool: string, now: number): Submission['answer'] | undefined {
	const owned = ledger.pools.get(pool);
	if (owned?.jobs.has(jobId) === true || owned?.endedJobs.has(jobId) === true) {
		return 'accepted';
	}

	const submission = intake.recentSubmissions.get(jobId);
	if (submission !== undefined && now <= submission.at + submissionMemoryMs) {
		return submission.answer;
	}

	// Another request for the same job may be accepted yet.
	const isPending = [...intake.pendingRequests.values()].some(request => request.action === 'submit' && request.jobId === jobId);
	return isPending ? 'undecided' : undefined;
}

/** Records the answer to a submission, and forgets those that are too old to be repeated. The map is in the order of their times. */
function recordSubmission({recentSubmissions}: IntakeState, jobId: string, submission: Submission): void {
	recentSubmissions.delete(jobId);
	recentSubmissions.set(jobId, submission);
	for (const [oldJobId, {at}] of recentSubmissions) {
		if (submission.at <= at + submissionMemoryMs) {
			break;
		}

		recentSubmissions.delete(oldJobId);
	}
}

function answerPendingRequest(state: State, requestId: string, now: number, storeAnswer: CallerAnswer): JobOutput[] {
	const request = state.intake.pendingRequests.get(requestId);
	if (request === undefined) {
		return [];
	}

	state.intake.pendingRequests.delete(requestId);
	const known = request.action === 'submit' && storeAnswer.kind === 'refused' ? findSubmission(state, request.jobId, request.queue.pool, now) : undefined;
	const answer = known === undefined ? storeAnswer : knownSubmissionAnswers[known];
	if (request.action === 'submit' && (answer.kind === 'accepted' || answer.kind === 'undecided')) {
		recordSubmission(state.intake, request.jobId, {answer: answer.kind, at: now});
	}

	const tookMs = now - request.receivedAt;
	return [
		createAnswer(requestId, request.action, answer),
		emitCount(`requests_total{action="${request.action}",answer="${answer.kind}"}`),
		...countForAccount(state, request.account, answer.kind, 'store'),
		emitEffect({kind: 'record-value', metric: `request_duration_ms{action="${request.action}"}`, value: tookMs}),
		emitLog(answer.kind === 'refused' || answer.kind === 'undecided' ? 'warn' : 'info', 'request answered', {
			request: requestId, action: request.action, job: request.jobId, queue: request.queue.name, account: request.account, configuration: request.configurationVersion, answer, tookMs: Math.round(tookMs),
		}),
	];
}

function createAnswer(requestId: string, action: CallerAction, answer: CallerAnswer): JobOutput {
	return emitEffect({
		kind: 'answer-caller', requestId, action, answer,
	});
}
