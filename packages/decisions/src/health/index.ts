export {healthFilter} from './health-filter.js';
export {createHealthState, isInstanceTrusted, type HealthState} from './health-state.js';
