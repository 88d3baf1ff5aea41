import {type DurationModel} from '../model/index.js';

/** Minimum weight of a new measurement. */
const minWeight = 0.01;
/** Number of measurements whose weight the assumption has that estimates are right. */
const priorCount = 4;
/** Variance of the logarithms of estimates in that assumption; estimates of similar tasks differ by half. */
const priorVariance = 0.25;
/** Durations below this are treated as equal. */
const minMs = 1;

/** @internal */
export function createDurationModel(): DurationModel {
	return {
		count: 0, meanLogEstimate: 0, meanLogDuration: 0, variance: 0, covariance: 0,
	};
}

/** Adds a measurement; both times are in ms. A task without an estimate (0) counts as one with the mean estimate. @internal */
export function recordDuration(model: DurationModel, estimateMs: number, durationMs: number): void {
	const weight = Math.max(minWeight, 1 / (model.count + 1));
	const estimateOffset = estimateMs === 0 ? 0 : computeLog(estimateMs) - model.meanLogEstimate;
	const durationOffset = computeLog(durationMs) - model.meanLogDuration;
	model.count += 1;
	model.meanLogEstimate += weight * estimateOffset;
	model.meanLogDuration += weight * durationOffset;
	model.variance = (1 - weight) * (model.variance + (weight * (estimateOffset ** 2)));
	model.covariance = (1 - weight) * (model.covariance + (weight * estimateOffset * durationOffset));
}

/** Predicts the duration of a task in ms. Without measurements it is the estimate. @internal */
export function predictDurationMs(model: DurationModel | undefined, estimateMs: number): number {
	if (model === undefined || model.count === 0) {
		return estimateMs;
	}

	const {count, variance, covariance, meanLogEstimate, meanLogDuration} = model;
	const slope = Math.min(1, Math.max(0, ((covariance * count) + (priorVariance * priorCount)) / ((variance * count) + (priorVariance * priorCount))));
	if (estimateMs === 0) {
		return Math.exp(meanLogDuration);
	}

	const logEstimate = computeLog(estimateMs);
	const predicted = meanLogDuration + (slope * (logEstimate - meanLogEstimate));
	const trust = count / (count + priorCount);
	return Math.exp(logEstimate + (trust * (predicted - logEstimate)));
}

function computeLog(ms: number): number {
	return Math.log(Math.max(minMs, ms));
}
