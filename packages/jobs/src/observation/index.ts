export {observationFilter} from './observation-filter.js';
export {
	createDurationPredictor, createObservationState, type ObservationState, type ObservationView,
} from './observation-state.js';
