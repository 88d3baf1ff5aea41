export {retryFilter} from './retry-filter.js';
export {
	createRetryState, getRetryTokens, isNotExecutedStatus, maxAttempts, type RetryState,
} from './retry-state.js';
