import {emitEffect, passEvent} from '@pistachiogauge/chain';
import {labelAccount} from '../accounts/index.js';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {
	type CallerAction, type CallerAnswer, type JobEventOf, type UnansweredCause,
} from '../model/index.js';
import {
	type IntakeState, type RelayableRequest, type State, type Submission,
} from './intake-state.js';

/** Time for which a submission is remembered; callers repeat one within seconds. */
const submissionMemoryMs = 60_000;

/** Retry time sent with a refusal when the store cannot be reached; meanwhile the load balancer routes the caller to another entry. */
export const storeRetryAfterMs = 1000;

export const storeLostAnswer: CallerAnswer = {kind: 'refused', reason: 'the store is out of reach', retryAfterMs: storeRetryAfterMs};

export const storeRefusedAnswer: CallerAnswer = {kind: 'refused', reason: 'the store did not take the job', retryAfterMs: storeRetryAfterMs};

export const storeSilentAnswer: CallerAnswer = {kind: 'undecided', reason: 'the store has not answered'};

/** Answer to a request for a job of an account, whose key could not be looked up. */
export const keyUncheckedAnswer: CallerAnswer = {kind: 'refused', reason: 'the configuration has not been confirmed recently', retryAfterMs: storeRetryAfterMs};

/** Answer to the submission of a job whose id another job has. */
export const takenIdAnswer: CallerAnswer = {kind: 'invalid', message: 'another job has this id'};

export const readFailedAnswer: CallerAnswer = {kind: 'refused', reason: 'the store cannot be read', retryAfterMs: storeRetryAfterMs};

/** Why a write has no decision of the store, by its result. */
export const writeCauses: Readonly<Partial<Record<JobEventOf<'job-stored'>['result'], UnansweredCause>>> = {refused: 'store-refused', unknown: 'no-answer'};

export const knownSubmissionAnswers: Readonly<Record<Submission['answer'], CallerAnswer>> = {
	accepted: {kind: 'accepted'},
	undecided: {kind: 'undecided', reason: 'the store has not answered an earlier request for this job'},
};

/** Whether a peer can be asked about a request. A submission without a valid job is refused here. */
export function isRelayable(event: JobEventOf<'caller-requested'>): event is RelayableRequest {
	const {origin, action, spec} = event;
	return origin !== undefined && (action !== 'submit' || spec !== undefined);
}

/** Answers a request for which a store call has ended; without the store's decision, the relay filter answers if it may. */
export function answerStoreCall(state: State, requestId: string, now: number, answer: CallerAnswer, cause: UnansweredCause | undefined): JobOutput[] {
	return cause === undefined || state.intake.pendingRequests.get(requestId)?.relayable === undefined
		? answerPendingRequest(state, requestId, now, answer)
		: [passEvent({
			kind: 'request-unanswered', requestId, cause, answer,
		})];
}

export function answerPendingRequest(state: State, requestId: string, now: number, storeAnswer: CallerAnswer): JobOutput[] {
	const request = state.intake.pendingRequests.get(requestId);
	if (request === undefined) {
		return [];
	}

	state.intake.pendingRequests.delete(requestId);
	const admission = state.intake.admissions.get(requestId);
	state.intake.admissions.delete(requestId);
	const known = request.action === 'submit' && storeAnswer.kind === 'refused' ? findSubmission(state, request.jobId, now) : undefined;
	const answer = known === undefined ? storeAnswer : knownSubmissionAnswers[known];
	if (request.action === 'submit' && (answer.kind === 'accepted' || answer.kind === 'undecided')) {
		recordSubmission(state.intake, request.jobId, {answer: answer.kind, at: now});
	}

	const tookMs = now - request.receivedAt;
	return [
		createAnswer(requestId, request.action, answer),
		emitCount(`requests_total{action="${request.action}",answer="${answer.kind}"}`),
		...countForAccount(state, request.account, answer.kind, admission?.reason === 'too-late' || admission?.reason === 'full' ? 'admission' : 'store'),
		...(admission === undefined ? [] : [emitCount(`admissions_total{decision="${answer.kind}",reason="${admission.reason}"}`)]),
		emitEffect({kind: 'record-value', metric: `request_duration_ms{action="${request.action}"}`, value: tookMs}),
		emitLog(answer.kind === 'refused' || answer.kind === 'undecided' ? 'warn' : 'info', 'request answered', {
			request: requestId, action: request.action, job: request.jobId, queue: request.queue.name, account: request.account, configuration: request.configurationVersion, answer, tookMs: Math.round(tookMs),
		}),
	];
}

export function createAnswer(requestId: string, action: CallerAction, answer: CallerAnswer): JobOutput {
	return emitEffect({
		kind: 'answer-caller', requestId, action, answer,
	});
}

/** Finds out from memory what became of earlier submissions of a job, other than one request. @returns Undefined when this entry knows of none. */
export function findSubmission({intake, ledger}: State, jobId: string, now: number, exceptRequestId?: string): Submission['answer'] | undefined {
	for (const {jobs, endedJobs} of ledger.pools.values()) {
		if (jobs.has(jobId) || endedJobs.has(jobId)) {
			return 'accepted';
		}
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

/** Counts an answer to a caller of an account, and why it is not served if it is not. */
export function countForAccount(state: State, account: string | undefined, answer: CallerAnswer['kind'], refusalReason: string): JobOutput[] {
	if (account === undefined) {
		return [];
	}

	const label = labelAccount(state, account);
	return [
		emitCount(`account_requests_total{account="${label}",answer="${answer}"}`),
		...(answer === 'refused' || answer === 'undecided' ? [emitCount(`account_requests_refused_total{account="${label}",reason="${refusalReason}"}`)] : []),
	];
}
