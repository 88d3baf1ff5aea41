import {encodeFrame} from '@pistachiogauge/peer';
import {cpuMeasures, measureCpu} from './capacity/cpu-measures.js';
import {fitLine, computeMedian} from './capacity/fit-line.js';
import {heapMeasures, measureHeap, releaseSamples} from './capacity/heap-measures.js';
import {measureCodec, sizedMessages} from './capacity/message-measures.js';
import {createSampleShares, shareMeasures} from './capacity/share-measures.js';

/** Prints message bytes, heap bytes and processor time at several sizes, and the lines fitted to them, as one JSON object per line. */
const repeatCount = 5;

function writeJsonLine(fields: Readonly<Record<string, unknown>>): void {
	process.stdout.write(`${JSON.stringify(fields, (_name, value: unknown) => typeof value === 'number' && !Number.isInteger(value) ? Number(value.toPrecision(4)) : value)}\n`);
}

function measureMedian(measure: () => number): number {
	return computeMedian(Array.from({length: repeatCount}, () => measure()));
}

for (const {message, unit, sizes, create} of sizedMessages) {
	for (const size of sizes) {
		const sample = create(size);
		writeJsonLine({
			capacity: message, size, sizeUnit: unit, bytes: encodeFrame(sample).length,
			cpuUs: measureMedian(() => measureCodec(sample)),
		});
	}
}

type SizedMeasure = {readonly name: string; readonly unit: string; readonly sizes: readonly number[]};

function measureSizes<Measure extends SizedMeasure>(measures: readonly Measure[], valueField: string, measureOnce: (measure: Measure, size: number) => number): void {
	for (const measure of measures) {
		const {name, unit, sizes} = measure;
		// The first run compiles the code and fills caches, so its result is discarded.
		measureOnce(measure, sizes[0]!);
		const points: Array<readonly [number, number]> = [];
		for (const size of sizes) {
			points.push([size, measureMedian(() => measureOnce(measure, size))]);
		}

		for (const [size, value] of points) {
			writeJsonLine({
				capacity: name, size, sizeUnit: unit, [valueField]: value,
			});
		}

		const {slope, intercept} = fitLine(points);
		writeJsonLine({
			capacity: name, sizeUnit: unit, value: valueField, slope, intercept,
		});
	}
}

measureSizes(heapMeasures, 'heapBytes', measureHeap);
releaseSamples();
measureSizes(cpuMeasures, 'cpuUs', measureCpu);
measureSizes(shareMeasures, 'cpuUs', measureCpu);
for (const size of [5, 25, 75]) {
	writeJsonLine({
		capacity: 'shares-record', size, sizeUnit: 'pools', bytes: JSON.stringify(createSampleShares(size)).length,
	});
}
