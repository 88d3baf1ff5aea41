export {ledgerFilter} from './ledger-filter.js';
export {
	createLedgerState, findTask, isActive, isOpen, type Job, type LedgerState, type LedgerView, type PoolLedger, type Step, type Task,
} from './ledger-state.js';
export {rosterRecord} from './write-progress.js';
