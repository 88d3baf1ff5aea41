/**
Decisions on jobs without I/O: takes events and returns effects.

@packageDocumentation
*/
export * from './model/index.js';
export * from './filter.js';
export {applyJobEvent, jobFilters} from './apply-job-event.js';
export {createJobsState, type JobsOptions, type JobsState} from './jobs-state.js';
export {findQueue, type QueueMatch} from './configuration/index.js';
export {summarizeAccounts, type AccountSummary} from './quota/index.js';
export {rosterRecordKey} from './ledger/index.js';
