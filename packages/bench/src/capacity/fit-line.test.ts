import {describe, expect, it} from 'vitest';
import {fitLine, computeMedian} from './fit-line.js';

// Guards against slopes in docs/CAPACITY.md that don't match the measured points.
describe('fitLine', () => {
	it.each([
		{
			name: 'an exact line', points: [[0, 3], [1, 5], [2, 7]], slope: 2, intercept: 3,
		},
		{
			name: 'scattered points', points: [[0, 0], [1, 2], [2, 1]], slope: 0.5, intercept: 0.5,
		},
		{
			name: 'a single size', points: [[4, 9], [4, 11]], slope: 0, intercept: 10,
		},
	] as const)('$name', ({points, slope, intercept}) => {
		const line = fitLine(points);
		expect(line.slope).toBeCloseTo(slope);
		expect(line.intercept).toBeCloseTo(intercept);
	});
});

// Guards against a single slow run that determines a measured value.
describe('getMedian', () => {
	it.each([
		{values: [5], median: 5},
		{values: [1, 100, 2], median: 2},
		{values: [10, 9, 8, 7, 1], median: 8},
	])('$values', ({values, median}) => {
		expect(computeMedian(values)).toBe(median);
	});
});
