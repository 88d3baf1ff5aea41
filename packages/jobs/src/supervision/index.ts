export {supervisionFilter} from './supervision-filter.js';
export {
	createSupervisionState, getUsedRoom, type Run, type SupervisionState, type SupervisionView, type Watch,
} from './supervision-state.js';
export {getTarget} from './hold-endpoints.js';
export {leaseMs} from './lease-clock.js';
