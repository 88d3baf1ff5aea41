import {type Resources} from '@pistachiogauge/jobs';
import {type AccountPlan} from './account-plan.js';

/** The client accounts of one version of the configuration, from when the store acknowledged it, in ms of the run. */
export type AccountsVersion = {readonly acknowledgedAt: number; readonly accounts: readonly AccountPlan[]};

/** Versions in the order in which they were acknowledged. */
export type AccountHistory = readonly AccountsVersion[];

/** A request with an API key; times in ms of the run. */
export type KeyedRequest = {readonly key: string | undefined; readonly sentAt: number; readonly answeredAt: number};

/** Bounds of the rules for accounts. */
export const accountBounds = {
	/** `Bounds.RevokeMs`. */
	revokeMs: 5000,
	/** Time in which an entry that reaches the store applies a version; the previous one counts until then. */
	applyMs: 3000,
	/** `Bounds.QuotaOverage`, a share of the cap. */
	quotaOverage: 0.1,
} as const;

const components = ['cpuMillis', 'memoryMb', 'gpus'] as const;

/** Indexes of the versions that were the newest at some time from `from` to `until`. */
function listIndexesInForce(history: AccountHistory, from: number, until: number): number[] {
	const first = Math.max(0, history.findLastIndex(({acknowledgedAt}) => acknowledgedAt < from));
	return history.flatMap(({acknowledgedAt}, index) => index >= first && acknowledgedAt <= until ? [index] : []);
}

function findAccount({accounts}: AccountsVersion, key: string | undefined): AccountPlan | undefined {
	return key === undefined ? undefined : accounts.find(({apiKeys}) => apiKeys.includes(key));
}

function listAccountsOfKey(history: AccountHistory, key: string | undefined, from: number, until: number): Array<AccountPlan | undefined> {
	return listIndexesInForce(history, from, until).map(index => findAccount(history[index]!, key));
}

/** Whether a request was sent later than `revokeMs` after a version without its key was acknowledged, and no later version had the key again. */
export function isKeyRevoked(history: AccountHistory, {key, sentAt, answeredAt}: KeyedRequest): boolean {
	return listAccountsOfKey(history, key, sentAt - accountBounds.revokeMs, answeredAt).every(account => account === undefined);
}

/** Whether the key of a request had been valid for longer than `applyMs` when it was sent, and was so until the answer. */
export function isKeyValid(history: AccountHistory, {key, sentAt, answeredAt}: KeyedRequest): boolean {
	const accounts = listAccountsOfKey(history, key, sentAt - accountBounds.applyMs, answeredAt);
	return accounts.length > 0 && accounts.every(account => account !== undefined);
}

/** Names of the accounts that a request can have been served for, by the versions that may have been in force; several if a key was moved. */
export function listAccountNames(history: AccountHistory, {key, sentAt, answeredAt}: KeyedRequest): string[] {
	return [...new Set(listAccountsOfKey(history, key, sentAt - accountBounds.revokeMs, answeredAt).flatMap(account => account === undefined ? [] : [account.name]))];
}

/** The highest cap of an account, by component, among the versions that may be in force; a version without the account leaves its last known cap. Infinite without a limit. */
export function findHighestCap(history: AccountHistory, name: string, at: number): Resources {
	const caps = listIndexesInForce(history, at - accountBounds.applyMs, at).flatMap(index => {
		const version = history.findLast(({accounts}, number) => number <= index && accounts.some(account => account.name === name));
		return version?.accounts.find(account => account.name === name)?.cap ?? [];
	});
	const findHighest = (component: keyof Resources) => caps.length === 0 ? Number.POSITIVE_INFINITY : Math.max(...caps.map(cap => cap[component] === 0 ? Number.POSITIVE_INFINITY : cap[component]));
	return {cpuMillis: findHighest('cpuMillis'), memoryMb: findHighest('memoryMb'), gpus: findHighest('gpus')};
}

/** Finds a component in which an account was over its cap and the overage before the start of a task that takes some of it. */
export function findExceededComponent(usedBefore: Resources, task: Resources, cap: Resources): keyof Resources | undefined {
	return components.find(component => task[component] > 0 && usedBefore[component] > cap[component] * (1 + accountBounds.quotaOverage));
}

/** Whether an account uses less than half of its cap and may start a task of a size besides. */
export function hasCapLeft(used: Resources, task: Resources, cap: Resources): boolean {
	return components.every(component => used[component] < cap[component] / 2 && used[component] + task[component] <= cap[component]);
}

/** Formats an excess for the message of a violation. */
export function formatExcess(name: string, component: keyof Resources, used: Resources, cap: Resources): string {
	return `account ${name} has ${used[component]} of ${component} running, at a cap of ${cap[component]}`;
}
