import {badWorkerMeasure} from './bad-worker.js';
import {floodMeasure} from './flood.js';
import {type Measure} from './measure.js';
import {retryRatioMeasure} from './retry-ratio.js';
import {slotUseMeasure} from './slot-use.js';
import {throughputMeasure} from './throughput.js';

export {type Measure, type MeasureLine} from './measure.js';

/** Measures by name, in the order in which they run. */
export const measures: ReadonlyMap<string, Measure> = new Map(([
	floodMeasure,
	slotUseMeasure,
	retryRatioMeasure,
	badWorkerMeasure,
	throughputMeasure,
] satisfies Measure[]).map(measure => [measure.name, measure]));
