export {
	accountBounds, findExceededComponent, findHighestCap, formatExcess, hasCapLeft, isKeyRevoked, isKeyValid, listAccountNames, type AccountHistory, type AccountsVersion, type KeyedRequest,
} from './account-history.js';
export {
	computeKeyHash, createClientAccount, type AccountPlan,
} from './account-plan.js';
export {
	createAccountPlanner, hotFactor, type AccountPlanner, type AccountPlannerOptions,
} from './account-planner.js';
