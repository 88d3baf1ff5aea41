/**
Decisions on jobs without I/O: takes events and returns effects.

@packageDocumentation
*/
export * from './model/index.js';
export * from './filter.js';
export {applyJobEvent, jobFilters} from './apply-job-event.js';
export {createJobsState, type JobsOptions, type JobsState} from './jobs-state.js';
export {
	canCheckKeys, checkCaller, findAccount, isConfigurationTooOld, labelAccount, type CallerCheck, type CheckBasis,
} from './accounts/index.js';
export {checkCallerRequest, type CallerRequestSummary} from './intake/index.js';
export {findQueue, listHiddenQueues, type QueueMatch} from './configuration/index.js';
export {
	completeTask, createPoolLedger, hasPendingTask, isStepDone, isStepReady, keepTask, listPendingTasks, restoreJob, rosterRecordKey, type Job, type Step, type Task,
} from './ledger/index.js';
export {
	explainPlacement, orderWaitingJobs, type DisplacementPolicy, type OrderInput, type PlacementExplanation, type PlacementQuestion,
} from './placement/index.js';
export {summarizeAccounts, type AccountSummary} from './quota/index.js';
export {
	computeJobValue, computePriorityFactor, computeSizeValue, computeTimeliness, lateFactor,
} from './value/index.js';
