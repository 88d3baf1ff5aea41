/** A straight line fitted to measured points. */
export type FittedLine = {
	readonly slope: number;
	readonly intercept: number;
};

/** Fits a line by least squares; the slope is 0 when all points have the same x. */
export function fitLine(points: ReadonlyArray<readonly [number, number]>): FittedLine {
	let sumX = 0;
	let sumY = 0;
	for (const [x, y] of points) {
		sumX += x;
		sumY += y;
	}

	const meanX = sumX / points.length;
	const meanY = sumY / points.length;
	let covariance = 0;
	let variance = 0;
	for (const [x, y] of points) {
		covariance += (x - meanX) * (y - meanY);
		variance += (x - meanX) ** 2;
	}

	const slope = variance === 0 ? 0 : covariance / variance;
	return {slope, intercept: meanY - (slope * meanX)};
}

/** Computes the median; for an even number of values, the upper of the two middle ones. */
export function computeMedian(values: readonly number[]): number {
	return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)]!;
}
