/** A straight line through measured points. */
export type FittedLine = {
	readonly slope: number;
	readonly intercept: number;
};

/** Finds the line with the least sum of squared distances. */
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

/** Middle value; the upper one of an even number. */
export function getMedian(values: readonly number[]): number {
	return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)]!;
}
