export {relayFilter} from './relay-filter.js';
export {createRelayState, type RelayState} from './relay-state.js';
