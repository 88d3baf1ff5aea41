import {type ConfigurationView} from '../configuration/index.js';
import {emitLog, type JobFilter} from '../filter.js';
import {type Clocks} from '../model/index.js';
import {type AccountsState, type AccountsView} from './accounts-state.js';
import {
	checkCaller, isConfigurationTooOld, type CallerCheck, type CheckBasis,
} from './check-caller.js';

type State = {readonly accounts: AccountsState} & ConfigurationView;

/**
Keeps the time at which the configuration in use is known to have been the newest in the store, which limits how long its keys are accepted where revocation is strict.

@public
*/
export const accountsFilter: JobFilter<State> = {
	name: 'accounts',
	handlers: {
		'configuration-changed'({accounts, configuration: {current}}, {configuration}, {now, wallTime}) {
			if (current === configuration) {
				// An earlier confirmation stays valid: the store had an older version then, so each version after this one is newer than the confirmation.
				accounts.appliedAt = {now, wallTime};
			}

			return [];
		},
		'configuration-confirmed'({accounts, configuration: {current}}, {version, requestedAt}) {
			const {appliedAt, confirmedAt} = accounts;
			if (current === undefined || appliedAt === undefined || version > current.version) {
				return [];
			}

			// An older version is expected only from a call that was sent before the present one was applied. Otherwise the store has lost a version, and it is not known which keys hold.
			if (version < current.version && requestedAt.now >= appliedAt.now) {
				return [emitLog('warn', 'store shows older configuration than the applied one', {version, applied: current.version})];
			}

			if (confirmedAt === undefined || requestedAt.now >= confirmedAt.now) {
				accounts.confirmedAt = requestedAt;
			}

			return [];
		},
		tick(state, _event, context) {
			const {accounts} = state;
			const basis = createCheckBasis(state);
			const isTooOld = basis !== undefined && isConfigurationTooOld(basis, context);
			if (isTooOld === accounts.wasTooOld) {
				return [];
			}

			accounts.wasTooOld = isTooOld;
			const fields = {version: basis?.configuration.version, ...describeAge(accounts, context)};
			// A configuration that has just been read for the first time is confirmed by the next read.
			return [isTooOld
				? emitLog(accounts.confirmedAt === undefined ? 'info' : 'warn', 'requests with a key refused, as configuration is not confirmed', fields)
				: emitLog('info', 'requests with a key served again', fields)];
		},
	},
};

function describeAge({confirmedAt}: AccountsState, {now, wallTime}: Clocks): Readonly<Record<string, unknown>> {
	return confirmedAt === undefined ? {} : {ageMs: Math.round(now - confirmedAt.now), wallAgeMs: Math.round(wallTime - confirmedAt.wallTime)};
}

function createCheckBasis({accounts: {confirmedAt, strictRevokeMs}, configuration: {current}}: AccountsView & ConfigurationView): CheckBasis | undefined {
	return current === undefined ? undefined : {configuration: current, confirmedAt, strictRevokeMs};
}

/** Whether this entry may act on keys now, as far as the age of its configuration is concerned. @public */
export function canCheckKeys(state: AccountsView & ConfigurationView, clocks: Clocks): boolean {
	const basis = createCheckBasis(state);
	return basis === undefined || !isConfigurationTooOld(basis, clocks);
}

/** What of a request tells which key it carries, and for which queue. */
type KeyUse = {readonly queue: string; readonly keyHash: string | undefined};

/** Checks a caller's key with the configuration in use. @returns Undefined if there is no configuration or no such queue. @public */
export function checkCallerOfQueue(state: AccountsView & ConfigurationView, {queue: name, keyHash}: KeyUse, clocks: Clocks): CallerCheck | undefined {
	const basis = createCheckBasis(state);
	const queue = basis?.configuration.queues.find(each => each.name === name);
	return basis === undefined || queue === undefined ? undefined : checkCaller(basis, queue, keyHash, clocks);
}
