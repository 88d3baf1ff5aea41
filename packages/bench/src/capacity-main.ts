import {encodeFrame} from '@pistachiogauge/peer';
import {cpuMeasures, measureCpu} from './capacity/cpu-measures.js';
import {fitLine, getMedian} from './capacity/fit-line.js';
import {heapMeasures, measureHeap, releaseSamples} from './capacity/heap-measures.js';
import {measureCodec, sizedMessages} from './capacity/message-measures.js';

/** Prints bytes, heap and processor time at several sizes with the line through them, one JSON object a line. */
const repeatCount = 5;

function writeLine(fields: Readonly<Record<string, unknown>>): void {
	process.stdout.write(`${JSON.stringify(fields, (_name, value: unknown) => typeof value === 'number' && !Number.isInteger(value) ? Number(value.toPrecision(4)) : value)}\n`);
}

function getRepeatedMedian(measure: () => number): number {
	return getMedian(Array.from({length: repeatCount}, () => measure()));
}

for (const {message, unit, sizes, create} of sizedMessages) {
	for (const size of sizes) {
		const sample = create(size);
		writeLine({
			capacity: message, size, sizeUnit: unit, bytes: encodeFrame(sample).length,
			cpuUs: getRepeatedMedian(() => measureCodec(sample)),
		});
	}
}

type SizedMeasure = {readonly name: string; readonly unit: string; readonly sizes: readonly number[]};

function writeSizes<Measure extends SizedMeasure>(measures: readonly Measure[], field: string, measureOnce: (measure: Measure, size: number) => number): void {
	for (const measure of measures) {
		const {name, unit, sizes} = measure;
		// The first run compiles the code and fills caches, so it is left out.
		measureOnce(measure, sizes[0]!);
		const points: Array<readonly [number, number]> = [];
		for (const size of sizes) {
			points.push([size, getRepeatedMedian(() => measureOnce(measure, size))]);
		}

		for (const [size, value] of points) {
			writeLine({
				capacity: name, size, sizeUnit: unit, [field]: value,
			});
		}

		const {slope, intercept} = fitLine(points);
		writeLine({
			capacity: name, sizeUnit: unit, value: field, slope, intercept,
		});
	}
}

writeSizes(heapMeasures, 'heapBytes', measureHeap);
releaseSamples();
writeSizes(cpuMeasures, 'cpuUs', measureCpu);
