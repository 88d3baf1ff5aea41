export {retryFilter} from './retry-filter.js';
export {createRetryState, type RetryState} from './retry-state.js';
