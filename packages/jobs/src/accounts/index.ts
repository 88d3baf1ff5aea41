export {
	accountsFilter, canCheckKeys, checkCallerOfQueue,
} from './accounts-filter.js';
export {createAccountsState, type AccountsState, type AccountsView} from './accounts-state.js';
export {
	checkCaller, isConfigurationTooOld, type CallerCheck, type CheckBasis,
} from './check-caller.js';
export {findAccount} from './find-account.js';
export {labelAccount} from './label-account.js';
