export {retryFilter} from './retry-filter.js';
export {
	createRetryState, isNotExecutedStatus, maxAttempts, type RetryState,
} from './retry-state.js';
