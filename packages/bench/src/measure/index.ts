import {floodMeasure} from './flood.js';
import {type Measure} from './measure.js';

export {type Measure, type MeasureLine} from './measure.js';

/** Measures by name, in the order in which they run. */
export const measures: ReadonlyMap<string, Measure> = new Map([
	floodMeasure,
].map(measure => [measure.name, measure]));
