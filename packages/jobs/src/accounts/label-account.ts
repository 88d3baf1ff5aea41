import {type AccountsView} from './accounts-state.js';

/** Maximum number of accounts that metrics name. */
const maxLabels = 50;
const otherLabel = 'other';

/** Returns the name of an account for a metric's label: the first accounts that are labeled get their names, without characters that the format of metrics reserves, all others `other`. @public */
export function labelAccount({accounts: {labels}}: AccountsView, account: string): string {
	const existing = labels.get(account);
	if (existing !== undefined) {
		return existing;
	}

	if (labels.size >= maxLabels) {
		return otherLabel;
	}

	const label = account.replaceAll(/[^\w .:@-]/gu, '_');
	labels.set(account, label);
	return label;
}
