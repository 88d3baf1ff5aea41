import {emitEffect, passEvent, type DecisionContext} from '@pistachiogauge/chain';
import {
	checkCallerOfQueue, labelAccount, type AccountsView, type CallerCheck,
} from '../accounts/index.js';
import {
	chooseRetryMs, createLiftedRecord, decideAdmission, isReportStale, type AdmissionReason, type AdmissionView,
} from '../admission/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {
	type CallerAction, type CallerAnswer, type CallerOrigin, type CallerRejection, type Clocks, type JobEventOf, type JobRecord, type Queue, type StoredAdmission, type UnansweredCause,
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

/** A submission in a deployment with client accounts, until it is answered. */
type Admission = {
	readonly job: JobRecord;
	/** Version of the configuration that the job's record is based on. */
	readonly configurationVersion: number;
	/** Why the submission is accepted or refused, as decided last. */
	reason: AdmissionReason;
	/** Number of times for which the admission record has changed meanwhile. */
	conflictCount: number;
};

/** Lines about rejected requests in the present interval: callers without a valid key may send any number of requests. */
type RejectionLines = {startedAt: number; lineCount: number; unreportedCount: number};

/** @public */
export type IntakeState = {
	readonly pendingRequests: Map<string, PendingRequest>;
	/** Recent submissions that were not refused, by job. The same job may be submitted again, and must not be refused as not accepted then. */
	readonly recentSubmissions: Map<string, Submission>;
	/** By request. */
	readonly admissions: Map<string, Admission>;
	isStoreReached: boolean;
	readonly rejectionLines: RejectionLines;
};

type State = {readonly intake: IntakeState} & AccountsView & AdmissionView & ConfigurationView & LedgerView;

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
/** Number of changes of the admission record during one submission after which it is left undecided; the owner changes it twice a second. */
const maxAdmissionConflicts = 4;

/** @public */
export function createIntakeState(): IntakeState {
	return {
		pendingRequests: new Map(), recentSubmissions: new Map(), admissions: new Map(), isStoreReached: false, rejectionLines: {startedAt: 0, lineCount: 0, unreportedCount: 0},
	};
}

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
		return admitJob(state, requestId, job);
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
		'job-stored': (state, {requestId, result}, context) => result === 'superseded'
			? repeatAdmission(state, requestId, context.now)
			: answerStoreCall(state, requestId, context.now, {
				// The record exists already: the same job was submitted again.
				conflict: {kind: 'accepted'},
				applied: {kind: 'accepted'},
				refused: {kind: 'refused', reason: 'the store did not take the job', retryAfterMs: storeRetryAfterMs},
				unknown: storeSilentAnswer,
			}[result] as CallerAnswer, writeCauses[result]),
		'admission-read'(state, {requestId, found}, context) {
			const admission = state.intake.admissions.get(requestId);
			if (admission === undefined) {
				return [];
			}

			if (found === undefined) {
				return answerStoreCall(state, requestId, context.now, storeSilentAnswer, 'no-answer');
			}

			return found.isJobStored
				? answerPendingRequest(state, requestId, context.now, {kind: 'accepted'})
				: confirmAdmission(state, requestId, admission, found.admission, context);
		},
		'admission-written'(state, {requestId, result, admission: written}, context) {
			const admission = requestId === undefined ? undefined : state.intake.admissions.get(requestId);
			if (requestId === undefined || admission === undefined) {
				return [];
			}

			if (result === 'conflict') {
				return repeatAdmission(state, requestId, context.now);
			}

			return written === undefined
				? answerStoreCall(state, requestId, context.now, storeSilentAnswer, 'no-answer')
				: [emitEffect({
					kind: 'store-job', requestId, job: admission.job, admissionRevision: written.revision,
				})];
		},
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
const storeSilentAnswer: CallerAnswer = {kind: 'undecided', reason: 'the store has not answered'};
const readFailedAnswer: CallerAnswer = {kind: 'refused', reason: 'the store cannot be read', retryAfterMs: storeRetryAfterMs};

/** Why a write has no decision of the store, by its result. */
const writeCauses: Readonly<Partial<Record<JobEventOf<'job-stored'>['result'], UnansweredCause>>> = {refused: 'store-refused', unknown: 'no-answer'};

/** Stores a job, or prepares its refusal where its pool's admission record says that it would be too late. */
function admitJob(state: State, requestId: string, job: JobRecord): JobOutput[] {
	const known = state.admission.records.get(job.pool);
	if (known === undefined && state.configuration.current?.accounts === undefined) {
		return [emitEffect({kind: 'store-job', requestId, job})];
	}

	const stored = {revision: known?.revision ?? 0, record: known?.record};
	const configurationVersion = state.configuration.current?.version ?? 0;
	const decision = decideJobAdmission(job, stored, configurationVersion);
	state.intake.admissions.set(requestId, {
		job, configurationVersion, reason: decision.reason, conflictCount: 0,
	});
	return [decision.kind === 'accept'
		? emitEffect({
			kind: 'store-job', requestId, job, admissionRevision: stored.revision,
		})
		: emitEffect({
			kind: 'read-admission', requestId, pool: job.pool, jobId: job.id,
		})];
}

function decideJobAdmission(job: JobRecord, stored: Omit<StoredAdmission, 'pool'>, configurationVersion: number) {
	const {spec, account, queue: name, priority, stretch, latencyTargetMs} = job;
	return decideAdmission(stored, configurationVersion, {
		spec, account, queue: {
			name, priority, stretch, latencyTargetMs,
		},
	});
}

/**
Decides on a submission by the admission record that was read after it arrived, before the read that shows that the job is not stored.

Earlier attempts to store the job can come into effect no more: they were made under earlier revisions, as no entry stores the job under this one. Where this entry would store a job that others refuse, it lifts the record first, so that the job is stored under a revision by which nobody refuses.
*/
function confirmAdmission(state: State, requestId: string, admission: Admission, stored: StoredAdmission, context: DecisionContext): JobOutput[] {
	const {job} = admission;
	const decision = decideJobAdmission(job, stored, admission.configurationVersion);
	admission.reason = decision.reason;
	if (decision.kind === 'accept') {
		return [emitEffect({
			kind: 'store-job', requestId, job, admissionRevision: stored.revision,
		})];
	}

	const doubt = decision.kind === 'unsure' ? decision.reason : findDoubt(state, requestId, job, stored, context);
	if (decision.kind === 'unsure' || doubt !== undefined) {
		admission.reason = doubt ?? decision.reason;
		return [emitCount('admission_reports_lifted_total'), emitEffect({
			kind: 'write-admission', pool: job.pool, token: undefined, requestId, revision: stored.revision, record: createLiftedRecord(context.wallTime, state.configuration.current?.version ?? 0),
		})];
	}

	const {waitMs, finishMs, limitMs} = decision;
	const retryAfterMs = chooseRetryMs(decision, context.random);
	return [
		emitLog('warn', 'submission refused, as the job would be too late', {
			request: requestId, job: job.id, queue: job.queue, pool: job.pool, account: job.account, waitMs: Math.round(waitMs), finishMs: Math.round(finishMs), limitMs: Math.round(limitMs), retryAfterMs, revision: stored.revision, reportAgeMs: Math.round(context.wallTime - (stored.record?.publishedAt ?? 0)),
		}),
		// A peer that was asked meanwhile may have stored the job.
		...answerStoreCall(state, requestId, context.now, {kind: 'refused', reason: 'the job would be too late to be of use', retryAfterMs}, 'store-refused'),
	];
}

/** Finds out why a submission is not to be refused, although the record says so. */
function findDoubt(state: State, requestId: string, job: JobRecord, stored: StoredAdmission, {now, wallTime}: DecisionContext): AdmissionReason | undefined {
	if (findSubmission(state, job.id, job.pool, now, requestId) !== undefined) {
		return 'known-submission';
	}

	const seenAt = state.admission.records.get(job.pool)?.seenAt ?? now;
	return stored.record === undefined || isReportStale(stored.record, now - seenAt, wallTime) ? 'stale-report' : undefined;
}

/** Decides anew on a submission after the admission record has changed. */
function repeatAdmission(state: State, requestId: string, now: number): JobOutput[] {
	const admission = state.intake.admissions.get(requestId);
	if (admission === undefined) {
		return [];
	}

	admission.conflictCount += 1;
	return admission.conflictCount >= maxAdmissionConflicts
		? answerStoreCall(state, requestId, now, {kind: 'undecided', reason: 'the load report has changed too often'}, 'no-answer')
		: [emitEffect({
			kind: 'read-admission', requestId, pool: admission.job.pool, jobId: admission.job.id,
		})];
}

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

/** Finds out from memory what became of earlier submissions of a job, other than one request. @returns Undefined when this entry knows of none. */
function findSubmission({intake, ledger}: State, jobId: string, pool: string, now: number, exceptRequestId?: string): Submission['answer'] | undefined {
	const owned = ledger.pools.get(pool);
	if (owned?.jobs.has(jobId) === true || owned?.endedJobs.has(jobId) === true) {
		return 'accepted';
	}

	const submission = intake.recentSubmissions.get(jobId);
	if (submission !== undefined && now <= submission.at + submissionMemoryMs) {
		return submission.answer;
	}

	// Another request for the same job may be accepted yet.
	const isPending = [...intake.pendingRequests].some(([requestId, request]) => requestId !== exceptRequestId && request.action === 'submit' && request.jobId === jobId);
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
	const admission = state.intake.admissions.get(requestId);
	state.intake.admissions.delete(requestId);
	const known = request.action === 'submit' && storeAnswer.kind === 'refused' ? findSubmission(state, request.jobId, request.queue.pool, now) : undefined;
	const answer = known === undefined ? storeAnswer : knownSubmissionAnswers[known];
	if (request.action === 'submit' && (answer.kind === 'accepted' || answer.kind === 'undecided')) {
		recordSubmission(state.intake, request.jobId, {answer: answer.kind, at: now});
	}

	const tookMs = now - request.receivedAt;
	return [
		createAnswer(requestId, request.action, answer),
		emitCount(`requests_total{action="${request.action}",answer="${answer.kind}"}`),
		...countForAccount(state, request.account, answer.kind, admission?.reason === 'too-late' ? 'admission' : 'store'),
		...(admission === undefined ? [] : [emitCount(`admissions_total{decision="${answer.kind}",reason="${admission.reason}"}`)]),
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
