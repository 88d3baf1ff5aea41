export {getJobEstimate, type JobEstimate} from './estimate-job.js';
export {observationFilter} from './observation-filter.js';
export {createObservationState, type ObservationState, type ObservationView} from './observation-state.js';
