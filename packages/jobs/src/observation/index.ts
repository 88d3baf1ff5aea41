export {getJobEstimate, type JobEstimate} from './estimate-job.js';
export {observationFilter} from './observation-filter.js';
export {
	createDurationPredictor, createObservationState, isRetryDelayed, type ObservationState, type ObservationView,
} from './observation-state.js';
