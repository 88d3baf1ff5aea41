import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {
	chooseRetryMs, createLiftedRecord, decideAdmission, isReportStale, type AdmissionDecision, type AdmissionReason,
} from '../admission/index.js';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {
	type CallerAnswer, type JobLocation, type JobRecord, type StoredAdmission,
} from '../model/index.js';
import {
	answerPendingRequest, answerStoreCall, findSubmission, storeRefusedAnswer, storeSilentAnswer, takenIdAnswer, writeCauses,
} from './answer-request.js';
import {type Admission, type State} from './intake-state.js';
import {createJobLocation, isQueueOfJob, mayAccessJob} from './job-locations.js';

/** Number of changes of the admission record during one submission after which it is left undecided; the owner changes it twice a second. */
const maxAdmissionConflicts = 4;

type Refusal = Extract<AdmissionDecision, {readonly kind: 'refuse'}>;
type LogFields = Readonly<Record<string, number | undefined>>;
type RefusalText = {readonly message: string; readonly reason: string; readonly describe: (refusal: Refusal) => LogFields};

/** What a refusal tells the log and the caller, by its reason. */
const refusalTexts: Readonly<Record<Refusal['reason'], RefusalText>> = {
	'too-late': {
		message: 'submission refused, as the job would be too late',
		reason: 'the job would be too late to be of use',
		describe: refusal => refusal.reason === 'too-late' ? {finishMs: Math.round(refusal.finishMs), limitMs: Math.round(refusal.limitMs)} : {},
	},
	full: {
		message: 'submission refused, as the owner has no memory for more jobs',
		reason: 'too many jobs are waiting',
		describe: () => ({}),
	},
};

/** Handles the store's answers to the submission of a job. @internal */
export const submissionHandlers: JobFilter<State>['handlers'] = {
	'job-stored'(state, {requestId, result, location}, context) {
		if (result === 'superseded') {
			return repeatAdmission(state, requestId, context.now);
		}

		if (result === 'cancelled') {
			return recordCancelledJob(state, requestId);
		}

		if (location !== undefined) {
			return answerExistingJob(state, requestId, location, context.now);
		}

		return answerStoreCall(state, requestId, context.now, {
			// The record exists already: the same job was submitted again.
			conflict: {kind: 'accepted'},
			applied: {kind: 'accepted'},
			refused: storeRefusedAnswer,
			unknown: storeSilentAnswer,
		}[result] as CallerAnswer, writeCauses[result]);
	},
	'cancelled-job-stored': (state, {requestId, result}, context) => answerStoreCall(state, requestId, context.now, {
		// The job was submitted once more at the same time.
		conflict: {kind: 'accepted'},
		applied: {kind: 'accepted'},
		refused: storeRefusedAnswer,
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

		if (found.location !== undefined) {
			return answerExistingJob(state, requestId, found.location, context.now);
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
				kind: 'store-job', requestId, job: admission.job, location: admission.location, admissionRevision: written.revision,
			})];
	},
};

/** Stores a job, or prepares its refusal where its pool's admission record says that it would be too late, or that the owner has no memory for it. */
export function admitJob(state: State, requestId: string, job: JobRecord, location: JobLocation): JobOutput[] {
	const known = state.admission.records.get(job.pool);
	const stored = {revision: known?.revision ?? 0, record: known?.record};
	const configurationVersion = state.configuration.current?.version ?? 0;
	const decision = decideJobAdmission(job, stored, configurationVersion);
	state.intake.admissions.set(requestId, {
		job, location, configurationVersion, reason: decision.reason, conflictCount: 0,
	});
	return [decision.kind === 'accept'
		? emitEffect({
			kind: 'store-job', requestId, job, location, admissionRevision: stored.revision,
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
	const {job, location} = admission;
	const decision = decideJobAdmission(job, stored, admission.configurationVersion);
	admission.reason = decision.reason;
	if (decision.kind === 'accept') {
		return [emitEffect({
			kind: 'store-job', requestId, job, location, admissionRevision: stored.revision,
		})];
	}

	const doubt = decision.kind === 'unsure' ? decision.reason : findDoubt(state, requestId, job, stored, context);
	if (decision.kind === 'unsure' || doubt !== undefined) {
		admission.reason = doubt ?? decision.reason;
		return [emitCount('admission_reports_lifted_total'), emitEffect({
			kind: 'write-admission', pool: job.pool, token: undefined, requestId, revision: stored.revision, record: createLiftedRecord(context.wallTime, state.configuration.current?.version ?? 0),
		})];
	}

	const retryAfterMs = chooseRetryMs(decision, context.random);
	const {message, reason, describe} = refusalTexts[decision.reason];
	return [
		emitLog('warn', message, {
			request: requestId, job: job.id, queue: job.queue, pool: job.pool, account: job.account, waitMs: Math.round(decision.waitMs), ...describe(decision), retryAfterMs, revision: stored.revision, reportAgeMs: Math.round(context.wallTime - (stored.record?.publishedAt ?? 0)),
		}),
		// A peer that was asked meanwhile may have stored the job.
		...answerStoreCall(state, requestId, context.now, {kind: 'refused', reason, retryAfterMs}, 'store-refused'),
	];
}

/** Finds out why a submission is not to be refused, although the record says so. */
function findDoubt(state: State, requestId: string, job: JobRecord, stored: StoredAdmission, {now, wallTime}: DecisionContext): AdmissionReason | undefined {
	if (findSubmission(state, job.id, now, requestId) !== undefined) {
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

/** Accepts a job that was cancelled before it was submitted: its state is `cancelled`, and it never runs. */
function recordCancelledJob({intake}: State, requestId: string): JobOutput[] {
	const request = intake.pendingRequests.get(requestId);
	if (request === undefined) {
		return [];
	}

	const {jobId, queue, account} = request;
	return [
		emitLog('info', 'job submitted after its cancellation', {
			request: requestId, job: jobId, queue: queue.name, account,
		}),
		emitEffect({
			kind: 'store-cancelled-job', requestId, jobId, location: {...createJobLocation(queue, queue.isPublic ? undefined : account), isCancelled: true},
		}),
	];
}

/** Answers a submission whose job id has a location already: the same job was submitted before, or another one. */
function answerExistingJob(state: State, requestId: string, location: JobLocation, now: number): JobOutput[] {
	const request = state.intake.pendingRequests.get(requestId);
	if (request === undefined || (isQueueOfJob(request.queue, location) && mayAccessJob(location, request.account))) {
		return answerPendingRequest(state, requestId, now, {kind: 'accepted'});
	}

	return answerPendingRequest(state, requestId, now, request.isKeyUnchecked ? {kind: 'undecided', reason: 'the configuration has not been confirmed recently'} : takenIdAnswer);
}
