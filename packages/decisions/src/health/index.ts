export {isJobRefused} from './failing-jobs.js';
export {healthFilter} from './health-filter.js';
export {
	createHealthState, getInstanceSlots, getTrustStage, isInstanceTrusted, type HealthState, type TrustStage,
} from './health-state.js';
