import {checkCallerOfQueue, type CallerCheck} from '../accounts/index.js';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {
	type CallerRejection, type Clocks, type JobEventOf,
} from '../model/index.js';
import {countForAccount, findSubmission} from './answer-request.js';
import {type State} from './intake-state.js';

const rejectionLogIntervalMs = 10_000;

const maxRejectionLines = 100;

/** What of a request decides whether its key is sufficient. @public */
export type CallerRequestSummary = Pick<JobEventOf<'caller-requested'>, 'action' | 'queue' | 'jobId' | 'keyHash'>;

/** Checks the key of a request, before its body is read. @returns The rejection, or undefined if the request may go on. @public */
export function checkCallerRequest(state: State, request: CallerRequestSummary, clocks: Clocks): CallerRejection | undefined {
	const check = checkCallerOfQueue(state, request, clocks);
	return check?.kind === 'rejected' ? createRejection(state, request, check, clocks.now) : undefined;
}

/** Creates the rejection of a request. A submission that may have been accepted before is not refused as not accepted. */
export function createRejection(state: State, {action, jobId}: CallerRequestSummary, {reason, account, answer}: Extract<CallerCheck, {kind: 'rejected'}>, now: number): CallerRejection {
	const isRepeated = answer.kind === 'refused' && action === 'submit' && (isSubmissionPending(state, jobId) || findSubmission(state, jobId, now) !== undefined);
	return {reason, account: account?.name, answer: isRepeated ? {kind: 'undecided', reason: answer.reason} : answer};
}

/** Whether a submission of the job is waiting for the store. */
function isSubmissionPending({intake}: State, jobId: string): boolean {
	for (const request of intake.pendingRequests.values()) {
		if (request.action === 'submit' && request.jobId === jobId) {
			return true;
		}
	}

	return false;
}

/** Counts and logs a rejection. */
export function reportRejection(state: State, {requestId, action, queue, jobId, reason, account, answer}: Omit<JobEventOf<'caller-rejected'>, 'kind'>, now: number): JobOutput[] {
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
