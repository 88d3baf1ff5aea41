/** One measured value beside that of a simple baseline policy under the same load. */
export type MeasureLine = {
	readonly measure: string;
	readonly unit: string;
	readonly policy: string;
	readonly baseline: string;
	readonly value: number;
	readonly baselineValue: number;
	readonly seed: number;
};

/** A benchmark that is run by name. */
export type Measure = {
	readonly name: string;
	readonly description: string;
	run(seed: number): MeasureLine[] | Promise<MeasureLine[]>;
};

/** Rounds to four significant digits. */
export function roundValue(value: number): number {
	return Number(value.toPrecision(4));
}
