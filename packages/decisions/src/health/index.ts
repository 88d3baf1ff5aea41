export {isPoisonRequest} from './poison-requests.js';
export {healthFilter} from './health-filter.js';
export {
	createHealthState, computeUsableSlots, getTrustStage, isInstanceTrusted, type HealthState, type TrustStage,
} from './health-state.js';
