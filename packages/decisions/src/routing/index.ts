export {routingFilter} from './routing-filter.js';
export {createRoutingState, type RoutedRequest, type RoutingState} from './routing-state.js';
