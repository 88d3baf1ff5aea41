export {fleetFilter} from './fleet-filter.js';
export {
	createFleetState, getServingInstances, type FleetState, type OwnedPool,
} from './fleet-state.js';
