/** One figure with that of a simple policy on the same load. */
export type MeasureLine = {
	readonly measure: string;
	readonly unit: string;
	readonly policy: string;
	readonly baseline: string;
	readonly value: number;
	readonly baselineValue: number;
	readonly seed: number;
};

/** A measurement that can be run by its name. */
export type Measure = {
	readonly name: string;
	readonly description: string;
	run(seed: number): MeasureLine[] | Promise<MeasureLine[]>;
};

/** Rounds a figure to four significant digits. */
export function formatFigure(value: number): number {
	return Number(value.toPrecision(4));
}
