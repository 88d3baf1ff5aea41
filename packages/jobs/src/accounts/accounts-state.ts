import {type Clocks} from '../model/index.js';

/** @public */
export type AccountsState = {
	/** Time in ms after which no entry may accept a key that was removed; undefined where revocation is not strict. */
	readonly strictRevokeMs: number | undefined;
	/** When the call was sent that showed last that the store had no newer configuration than the one in use; undefined if none has. */
	confirmedAt: Clocks | undefined;
	/** When the configuration in use was applied. */
	appliedAt: Clocks | undefined;
	/** Whether requests with a key were refused at the last tick because of the age of the configuration. */
	wasTooOld: boolean;
	/** Names that metrics use, by account; see `labelAccount`. */
	readonly labels: Map<string, string>;
};

/** Read-only view of the accounts for other filters. @public */
export type AccountsView = {readonly accounts: Readonly<Pick<AccountsState, 'strictRevokeMs' | 'confirmedAt'>> & Pick<AccountsState, 'labels'>};

/** @public */
export function createAccountsState(strictRevokeMs: number | undefined): AccountsState {
	return {
		strictRevokeMs, confirmedAt: undefined, appliedAt: undefined, wasTooOld: false, labels: new Map(),
	};
}
