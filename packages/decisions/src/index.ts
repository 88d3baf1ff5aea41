/**
Decision logic of an entry, without I/O: takes events and returns effects.

@packageDocumentation
*/
export {applyEvent, entryFilters} from './apply-event.js';
export * from './chain.js';
export * from './context.js';
export {createEntryState, type EntryState} from './entry-state.js';
export * from './membership/index.js';
export * from './bundle/index.js';
export * from './fleet/index.js';
export * from './routing/index.js';
export * from './tasks/index.js';
export * from './idempotency/index.js';
export * from './admission/index.js';
export * from './dispatch/index.js';
export * from './health/index.js';
export * from './retry/index.js';
export * from './reply/index.js';
export * from './audit/index.js';
export * from './invariants/index.js';
export * from './results.js';
