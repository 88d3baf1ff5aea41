export {ledgerFilter} from './ledger-filter.js';
export {
	createLedgerState, findTask, isActive, isStepReady, type Job, type LedgerState, type LedgerView, type PoolLedger, type Step, type Task,
} from './ledger-state.js';
export {rosterRecordKey} from './save-progress.js';
