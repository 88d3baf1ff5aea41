export {ledgerFilter} from './ledger-filter.js';
export {
	createLedgerState, createPoolLedger, findTask, isActive, isStepReady, type Job, type LedgerState, type LedgerView, type PoolLedger, type Step, type Task,
} from './ledger-state.js';
export {
	completeTask, countPendingTasks, countRunningTasks, hasPendingTask, isPending, isStepDone, keepTask, listIdleTimes, listPendingTasks, type TaskTable,
} from './task-table.js';
export {restoreJob} from './restore-job.js';
export {rosterRecordKey} from './save-progress.js';
