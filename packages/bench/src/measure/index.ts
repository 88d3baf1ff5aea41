import {atMostOnceCostMeasure} from './at-most-once-cost.js';
import {badWorkerMeasure} from './bad-worker.js';
import {displacementMeasure} from './displacement.js';
import {floodMeasure} from './flood.js';
import {type Measure} from './measure.js';
import {movesMeasure} from './moves.js';
import {reserveMeasure} from './reserve.js';
import {rolloutMeasure} from './rollout.js';
import {retryRatioMeasure} from './retry-ratio.js';
import {slotUseMeasure} from './slot-use.js';
import {throughputMeasure} from './throughput.js';

export {type Measure, type MeasureLine} from './measure.js';

/** Measures by name, in the order in which they run. */
export const measures: ReadonlyMap<string, Measure> = new Map(([
	floodMeasure,
	movesMeasure,
	reserveMeasure,
	rolloutMeasure,
	slotUseMeasure,
	retryRatioMeasure,
	badWorkerMeasure,
	atMostOnceCostMeasure,
	throughputMeasure,
	displacementMeasure,
] satisfies Measure[]).map(measure => [measure.name, measure]));
