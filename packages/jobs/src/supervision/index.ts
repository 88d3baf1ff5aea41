export {supervisionFilter} from './supervision-filter.js';
export {
	createSupervisionState, getUsedResources, type Run, type SupervisionState, type SupervisionView, type SupervisedEndpoint,
} from './supervision-state.js';
export {getOrderTarget} from './hold-endpoints.js';
export {leaseMs} from './lease-clock.js';
