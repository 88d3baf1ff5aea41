import {encodeFrame} from '@pistachiogauge/peer';
import {cpuMeasures, measureCpu} from './capacity/cpu-measures.js';
import {fitLine, getMedian} from './capacity/fit-line.js';
import {heapMeasures, measureHeap} from './capacity/heap-measures.js';
import {measureCodec, sizedMessages} from './capacity/message-measures.js';

/** Prints bytes, heap and processor time at several sizes with the line through them, one JSON object a line. */
const repeatCount = 5;

function writeLine(fields: Readonly<Record<string, unknown>>): void {
	process.stdout.write(`${JSON.stringify(fields, (_name, value: unknown) => typeof value === 'number' && !Number.isInteger(value) ? Number(value.toPrecision(4)) : value)}\n`);
}

async function getRepeatedMedian(measure: () => number | Promise<number>): Promise<number> {
	const values: number[] = [];
	for (let repeat = 0; repeat < repeatCount; repeat++) {
		// eslint-disable-next-line no-await-in-loop
		values.push(await measure());
	}

	return getMedian(values);
}

for (const {message, unit, sizes, create} of sizedMessages) {
	for (const size of sizes) {
		const sample = create(size);
		writeLine({
			capacity: message, size, sizeUnit: unit, bytes: encodeFrame(sample).length,
			// eslint-disable-next-line no-await-in-loop
			cpuUs: await getRepeatedMedian(() => measureCodec(sample)),
		});
	}
}

type SizedMeasure = {readonly name: string; readonly unit: string; readonly sizes: readonly number[]};

async function writeSizes<Measure extends SizedMeasure>(measures: readonly Measure[], field: string, measureOnce: (measure: Measure, size: number) => number | Promise<number>): Promise<void> {
	for (const measure of measures) {
		const {name, unit, sizes} = measure;
		// The first run compiles the code and fills caches, so it is left out.
		// eslint-disable-next-line no-await-in-loop
		await measureOnce(measure, sizes[0]!);
		const points: Array<readonly [number, number]> = [];
		for (const size of sizes) {
			// eslint-disable-next-line no-await-in-loop
			points.push([size, await getRepeatedMedian(async () => measureOnce(measure, size))]);
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

await writeSizes(heapMeasures, 'heapBytes', measureHeap);
await writeSizes(cpuMeasures, 'cpuUs', measureCpu);
