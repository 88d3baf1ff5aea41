import {type RandomSource} from '@pistachiogauge/chain';
import {
	admissionWorkRatios, type AdmissionRecord, type JobSpec, type Queue, type StoredAdmission,
} from '../model/index.js';
import {predictDurationMs} from '../observation/index.js';
import {computePriorityFactor, computeSizeValue, lateFactor} from '../value/index.js';

/** Why a submission is accepted. */
type AcceptReason = 'no-report' | 'no-overload' | 'unlimited' | 'short-wait' | 'in-time';

/** Why an entry cannot tell whether others would accept the submission. */
type DoubtReason = 'unreadable-report' | 'configuration-version' | 'stale-report' | 'known-submission';

/** @internal */
export type AdmissionReason = AcceptReason | DoubtReason | 'too-late' | 'full';

/** What a refusal is based on; all times in ms. @internal */
export type LateFinish = {
	/** Wait of the queue for a job of this size. */
	readonly waitMs: number;
	/** Earliest time to the end of the job, with the margin for errors of estimates. */
	readonly finishMs: number;
	/** Time up to which the job is worth something. */
	readonly limitMs: number;
	/** Value of the job on time. */
	readonly value: number;
};

/**
What one revision of a pool's admission record says of a submission.

- `accept`: every entry accepts it.
- `refuse`: no entry accepts it under this revision.
- `unsure`: entries may differ, so the record has to be lifted before the job is stored.

@internal
*/
export type AdmissionDecision =
	| {readonly kind: 'accept'; readonly reason: AcceptReason}
	| {readonly kind: 'unsure'; readonly reason: DoubtReason}
	| ({readonly kind: 'refuse'; readonly reason: 'too-late'} & LateFinish)
	/** The owner has no memory for the job, whatever it is worth. */
	| {readonly kind: 'refuse'; readonly reason: 'full'; readonly waitMs: number; readonly value: number};

/** @internal */
export type Submission = {
	readonly spec: JobSpec;
	readonly queue: Pick<Queue, 'name' | 'priority' | 'stretch' | 'latencyTargetMs'>;
	/** Undefined for a job without an account. */
	readonly account: string | undefined;
};

/** Time after which a report is not used. */
const maxReportAgeMs = 2000;
/** Factor by which declared durations can be wrong. */
const declaredErrorFactor = 2.5;
/** The same for durations that are predicted from measured ones. */
const measuredErrorFactor = 1.25;
/** Number of measurements from which that applies. */
const minMeasuredCount = 10;
/** Share of a published ratio from which it applies. */
const ratioTolerance = 0.75;
const minRetryMs = 1000;
const maxRetryMs = 30_000;
/** Largest random addition to the retry time, relative to it. */
const retrySpread = 0.5;
/** Largest factor by which jobs of little value come back later. */
const maxRetryFactor = 2;

/**
Decides whether a submission can finish while it is worth something, and whether the pool's owner has memory for it.

It depends on nothing but its arguments: neither on clocks nor on what the entry remembers. Entries with the same revision and configuration version decide alike.

@param configurationVersion - Version of the configuration that `submission.queue` is from.
@internal
*/
export function decideAdmission({revision, record}: Omit<StoredAdmission, 'pool'>, configurationVersion: number, {spec, queue, account}: Submission): AdmissionDecision {
	if (revision === 0) {
		return {kind: 'accept', reason: 'no-report'};
	}

	if (record === undefined) {
		return {kind: 'unsure', reason: 'unreadable-report'};
	}

	if (!isOverloadReported(record)) {
		return {kind: 'accept', reason: 'no-overload'};
	}

	if (isFullReported(record)) {
		return {
			kind: 'refuse', reason: 'full', waitMs: record.fullMs ?? 0, value: 1,
		};
	}

	if (spec.repeatCount > 0 || spec.steps.some(step => step.isLongRunning)) {
		return {kind: 'accept', reason: 'unlimited'};
	}

	if (record.configurationVersion !== configurationVersion) {
		return {kind: 'unsure', reason: 'configuration-version'};
	}

	const reported = record.queues[queue.name];
	const wait = reported?.waits[account ?? ''];
	if (reported === undefined || wait === undefined) {
		return {kind: 'accept', reason: 'short-wait'};
	}

	const {durations, meanWork} = reported;
	const errorFactor = (durations?.count ?? 0) < minMeasuredCount ? declaredErrorFactor : measuredErrorFactor;
	const predictMs = (estimateMs: number) => predictDurationMs(durations, estimateMs);
	const ratio = computeWork(spec, predictMs) / meanWork;
	const index = findRatioIndex(ratio);
	// The objective is known as well as the durations: a longer job has more time.
	const criticalPathMs = computeCriticalPathMs(spec, predictMs) * errorFactor;
	const objectiveMs = (queue.stretch * criticalPathMs) + queue.latencyTargetMs;
	const timelyMs = ((wait.timely[index] ?? 0) / errorFactor) + criticalPathMs;
	const waitMs = wait.total[index] ?? 0;
	const finishMs = (waitMs / errorFactor) + criticalPathMs;
	const limitMs = lateFactor * objectiveMs;
	if (timelyMs <= objectiveMs || finishMs <= limitMs) {
		return {kind: 'accept', reason: 'in-time'};
	}

	return {
		kind: 'refuse', reason: 'too-late', waitMs, finishMs, limitMs, value: computePriorityFactor(queue.priority) * computeSizeValue(ratio),
	};
}

/** Whether a record reports an overload. @internal */
export function isOverloadReported(record: AdmissionRecord | undefined): boolean {
	return record !== undefined && (Object.keys(record.queues).length > 0 || isFullReported(record));
}

function isFullReported({fullMs = 0}: AdmissionRecord): boolean {
	return fullMs > 0;
}

/** Whether a record is too old to refuse by it. A suspended process finds only its wall clock advanced. @param ageMs - Time since this entry first saw the record. @internal */
export function isReportStale({publishedAt}: AdmissionRecord, ageMs: number, wallTime: number): boolean {
	return ageMs > maxReportAgeMs || Math.abs(wallTime - publishedAt) > maxReportAgeMs;
}

/**
Chooses when a refused caller comes back, in ms: after the wait that is too long, later for jobs of lower value.

Callers that are refused at the same time are spread at random over half of it.

@internal
*/
export function chooseRetryMs({waitMs, value}: Pick<LateFinish, 'waitMs' | 'value'>, random: RandomSource): number {
	const factor = Math.min(maxRetryFactor, Math.max(1, 1 / value));
	const leastMs = Math.min(maxRetryMs / (1 + retrySpread), Math.max(minRetryMs, waitMs * factor));
	return Math.round(leastMs * (1 + (retrySpread * random.getFraction())));
}

/** Finds the largest published ratio that the given one reaches about, or the smallest one. Otherwise half of a queue's jobs of nearly equal size would count as smaller than the mean. */
function findRatioIndex(ratio: number): number {
	return Math.max(0, admissionWorkRatios.findLastIndex(published => published * ratioTolerance <= ratio));
}

function computeWork({steps}: JobSpec, predictMs: (estimateMs: number) => number): number {
	return steps.reduce((sum, {count, room, estimateMs}) => sum + (count * room.cpuMillis * predictMs(estimateMs)), 0);
}

function computeCriticalPathMs({steps}: JobSpec, predictMs: (estimateMs: number) => number): number {
	const ends: number[] = [];
	for (const {after, estimateMs} of steps) {
		ends.push(Math.max(0, ...after.map(index => ends[index] ?? 0)) + predictMs(estimateMs));
	}

	return Math.max(0, ...ends);
}
