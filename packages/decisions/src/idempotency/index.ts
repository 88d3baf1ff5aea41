export {idempotencyFilter} from './idempotency-filter.js';
export {
	createIdempotencyState, type IdempotencyState, type KeyRecord, type PoolKeys,
} from './idempotency-state.js';
export {getPoolKeys} from './key-records.js';
export {getKeyTime} from './key-time.js';
