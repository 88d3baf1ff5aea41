export {getAllowance, getCap, getFreeCap} from './account-allowance.js';
export {
	listUnsurveyedAccounts, measurePoolUsage, multiplyResources, type AccountUsage,
} from './account-usage.js';
export {quotaFilter} from './quota-filter.js';
export {summarizeAccounts, type AccountSummary} from './summarize-accounts.js';
export {createQuotaState, type QuotaState, type QuotaView} from './quota-state.js';
