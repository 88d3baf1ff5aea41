export {fleetFilter} from './fleet-filter.js';
export {createFleetState, type FleetState} from './fleet-state.js';
