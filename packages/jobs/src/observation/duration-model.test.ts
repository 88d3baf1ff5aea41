import {createRandomSource, type RandomSource} from '@pistachiogauge/chain';
import {describe, expect, it} from 'vitest';
import {createDurationModel, predictDurationMs, recordDuration} from './duration-model.js';

/** Approximately normal with mean 0 and variance 1. */
function drawNormal(random: RandomSource): number {
	let sum = -6;
	for (let index = 0; index < 12; index += 1) {
		sum += random.getInteger(1_000_000) / 1_000_000;
	}

	return sum;
}

/** Mean absolute logarithmic error of the predictions of 400 tasks after 100 others, and that of the estimates times their mean error. */
function measureErrors({spread, error, factor}: {readonly spread: number; readonly error: number; readonly factor: number}): {readonly model: number; readonly scaled: number} {
	const random = createRandomSource(7);
	const model = createDurationModel();
	let scale = 1;
	let modelError = 0;
	let scaledError = 0;
	for (let index = 0; index < 500; index += 1) {
		const durationMs = 800 * Math.exp(spread * drawNormal(random));
		const estimateMs = durationMs * Math.exp(error * drawNormal(random)) / factor;
		if (index >= 100) {
			modelError += Math.abs(Math.log(predictDurationMs(model, estimateMs) / durationMs)) / 400;
			scaledError += Math.abs(Math.log(estimateMs * scale / durationMs)) / 400;
		}

		recordDuration(model, estimateMs, durationMs);
		scale += 0.1 * (Math.min(10, durationMs / estimateMs) - scale);
	}

	return {model: modelError, scaled: scaledError};
}

describe('predictDurationMs', () => {
	// Load pattern: callers whose estimates are off by orders of magnitude. No prediction can be better than the spread of the durations allows, which bounds the mean absolute error by 0.8 times the spread.
	it.each([
		{
			name: 'estimates off at random', spread: 0.5, error: 0.9, factor: 1,
		},
		{
			name: 'estimates off at random and too low', spread: 0.5, error: 0.9, factor: 5,
		},
		{
			name: 'estimates that say nothing', spread: 0.3, error: 3, factor: 1,
		},
	])('predicts within the spread of the durations: $name', ({spread, error, factor}) => {
		const errors = measureErrors({spread, error, factor});
		expect(errors.model).toBeLessThan(0.8 * spread * 1.1);
		expect(errors.model).toBeLessThan(errors.scaled);
	});

	it.each([
		{
			name: 'right estimates', spread: 0.5, error: 0, factor: 1,
		},
		{
			name: 'estimates with a constant factor', spread: 0.5, error: 0, factor: 4,
		},
		{
			name: 'good estimates', spread: 0.5, error: 0.2, factor: 1,
		},
	])('follows $name', ({spread, error, factor}) => {
		expect(measureErrors({spread, error, factor}).model).toBeLessThan(0.05 + (0.9 * error));
	});

	it.each([
		{
			name: 'no measurement', measured: [], estimateMs: 700, expected: 700,
		},
		{
			name: 'one measurement, which may be an outlier', measured: [[1000, 4000]], estimateMs: 1000, expected: 1320,
		},
		{
			name: 'tasks without an estimate', measured: Array.from({length: 50}, () => [0, 900]), estimateMs: 0, expected: 900,
		},
	] as const)('predicts from $name', ({measured, estimateMs, expected}) => {
		const model = createDurationModel();
		for (const [estimate, duration] of measured) {
			recordDuration(model, estimate, duration);
		}

		expect(Math.round(predictDurationMs(model, estimateMs) / 10) * 10).toBe(Math.round(expected / 10) * 10);
	});
});
