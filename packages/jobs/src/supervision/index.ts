export {supervisionFilter} from './supervision-filter.js';
export {
	canTakeStarts, createSupervisionState, isInProgress, servingPercent, type EndpointUsage, type Run, type SupervisedEndpoint, type SupervisionState, type SupervisionView, type UnsupervisedRun,
} from './supervision-state.js';
export {getOrderTarget} from './poll-endpoint.js';
export {leaseMs, startValidityMs} from './lease-clock.js';
