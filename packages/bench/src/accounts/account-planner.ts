import {type RandomSource} from '@pistachiogauge/chain';
import {type Resources} from '@pistachiogauge/jobs';
import {type AccountPlan} from './account-plan.js';

/** Draws client accounts and the operator's changes to them. */
export type AccountPlanner = {
	/** The accounts of the newest version. */
	readonly accounts: readonly AccountPlan[];
	/** Draws a change and applies it. @returns What was changed, for the log. */
	change(): string;
	/** Removes all keys of a random account that has some, from other accounts too. @returns The account's name and one of the keys. */
	removeKeys(): {readonly name: string; readonly key: string} | undefined;
	/** Gives every account that there ever was a valid key and a cap that lets the backlog end. */
	restore(): void;
	/** Chooses the key of a submission: most are valid, others removed, unknown or missing. The hot account sends `hotFactor` times its usual rate while `isHot`. */
	chooseKey(isHot: boolean): string | undefined;
	/** Chooses a key of one of the named accounts, now and then a removed one, if there is any. */
	chooseKeyOf(names: readonly string[]): string | undefined;
	/** Finds the account that has a key, or had it last. */
	findOwner(key: string | undefined): string | undefined;
	/** Chooses a valid key that counts for an account, if it has one: a key of two accounts counts for the first. */
	chooseValidKeyOf(name: string): string | undefined;
};

export type AccountPlannerOptions = {
	readonly random: RandomSource;
	/** Resources of all endpoints; caps are shares of them. */
	readonly capacity: Resources;
};

/** The rate of the hot account, as a multiple of its usual one. */
export const hotFactor = 7;
const initialAccountCount = 5;
const largeAccountCount = 2;
/** Weights of a large account and of the others. */
const weights = {large: 4, other: 1} as const;
/** Caps as shares of the capacity, of the first accounts. */
const capShares = [0.45, 0.3, 0.15, 0.2, 0.12] as const;
/** Cap at the end, at which a backlog ends within the time after the faults. */
const restoredCapShare = 0.6;
const maxKeyCount = 3;
/** With fewer accounts that have keys, the next change adds one. */
const minActiveCount = 4;

type Draft = {
	readonly accounts: readonly AccountPlan[];
	readonly random: RandomSource;
	readonly capacity: Resources;
	createAccount(): AccountPlan;
	createKey(): string;
};

type ChangeHandler = (draft: Draft) => readonly AccountPlan[];

function choose<Item>(random: RandomSource, items: readonly Item[]): Item | undefined {
	return items.length === 0 ? undefined : items[random.getInteger(items.length)];
}

function computeShare({cpuMillis, memoryMb}: Resources, share: number): Resources {
	// A cap of 0 would be none.
	return {cpuMillis: Math.max(1, Math.round(cpuMillis * share)), memoryMb: Math.max(1, Math.round(memoryMb * share)), gpus: 0};
}

/** Replaces a random account; without any, there is no change. */
function changeOne({accounts, random}: Draft, change: (account: AccountPlan) => AccountPlan): readonly AccountPlan[] {
	const chosen = choose(random, accounts);
	return accounts.map(account => account === chosen ? change(account) : account);
}

const changeHandlers: Readonly<Record<string, ChangeHandler>> = {
	'cap raised': draft => changeOne(draft, account => ({...account, cap: computeShare(account.cap, 1.5 + (2.5 * draft.random.getFraction()))})),
	'cap lowered': draft => changeOne(draft, account => ({...account, cap: computeShare(account.cap, 0.05 + (0.4 * draft.random.getFraction()))})),
	'cap set': draft => changeOne(draft, account => ({...account, cap: computeShare(draft.capacity, 0.05 + (0.4 * draft.random.getFraction()))})),
	'key removed': draft => changeOne(draft, account => ({...account, apiKeys: account.apiKeys.slice(1)})),
	'all keys removed': draft => changeOne(draft, account => ({...account, apiKeys: []})),
	'key added': draft => changeOne(draft, account => ({...account, apiKeys: [...account.apiKeys, draft.createKey()].slice(-maxKeyCount)})),
	'key in two accounts'(draft) {
		const key = choose(draft.random, draft.accounts.flatMap(({apiKeys}) => apiKeys));
		return key === undefined ? draft.accounts : changeOne(draft, account => account.apiKeys.includes(key) ? account : {...account, apiKeys: [...account.apiKeys, key]});
	},
	'account added': draft => [...draft.accounts, draft.createAccount()],
	'account removed'({accounts, random}) {
		const chosen = choose(random, accounts);
		return accounts.filter(account => account !== chosen);
	},
	'weight changed': draft => changeOne(draft, account => ({...account, weight: 1 + draft.random.getInteger(weights.large)})),
};

/** Creates a planner with a few accounts, of which the first are large and the last one can be hot. */
export function createAccountPlanner({random, capacity}: AccountPlannerOptions): AccountPlanner {
	let accountCount = 0;
	let keyCount = 0;
	/** Every account that there ever was, as it was last. */
	const known = new Map<string, AccountPlan>();
	/** Keys that accounts once had. */
	const formerKeys = new Map<string, Set<string>>();
	const createKey = () => {
		keyCount += 1;
		return `key-${keyCount}-${random.getInteger(1_000_000_000).toString(36)}`;
	};

	const createAccount = (): AccountPlan => {
		const index = accountCount;
		accountCount += 1;
		return {
			name: `account-${accountCount}`,
			apiKeys: [createKey(), createKey()],
			priority: index % 2,
			weight: index < largeAccountCount ? weights.large : weights.other,
			cap: computeShare(capacity, capShares[index % capShares.length]!),
		};
	};

	let accounts: readonly AccountPlan[] = [];
	function replaceAccounts(changed: readonly AccountPlan[]): void {
		accounts = changed;
		for (const account of changed) {
			known.set(account.name, account);
			formerKeys.set(account.name, new Set([...formerKeys.get(account.name) ?? [], ...account.apiKeys]));
		}
	}

	const listRemovedKeys = (names: Iterable<string>) => {
		const valid = new Set(accounts.flatMap(({apiKeys}) => apiKeys));
		return [...names].flatMap(name => [...formerKeys.get(name) ?? []]).filter(key => !valid.has(key));
	};

	const listActive = () => accounts.filter(({apiKeys}) => apiKeys.length > 0);
	replaceAccounts(Array.from({length: initialAccountCount}, createAccount));
	const listValidKeys = (names: readonly string[]) => accounts.filter(({name}) => names.includes(name)).flatMap(({apiKeys}) => apiKeys);
	const findOwner = (key: string | undefined) => key === undefined ? undefined : accounts.find(({apiKeys}) => apiKeys.includes(key))?.name ?? [...formerKeys].find(([, keys]) => keys.has(key))?.[0];
	return {
		get accounts() {
			return accounts;
		},
		change() {
			const drawn = choose(random, Object.keys(changeHandlers))!;
			const name = listActive().length < minActiveCount ? 'account added' : drawn;
			replaceAccounts(changeHandlers[name]!({
				accounts, random, capacity, createAccount, createKey,
			}));
			return name;
		},
		removeKeys() {
			const chosen = choose(random, listActive());
			replaceAccounts(accounts.map(account => ({...account, apiKeys: account.apiKeys.filter(key => chosen?.apiKeys.includes(key) !== true)})));
			return chosen === undefined ? undefined : {name: chosen.name, key: chosen.apiKeys[0]!};
		},
		restore() {
			const current = new Map(accounts.map(account => [account.name, account]));
			replaceAccounts([...known.values()].map(account => ({
				...account, apiKeys: [...current.get(account.name)?.apiKeys.slice(0, 1) ?? [], createKey()], cap: computeShare(capacity, restoredCapShare),
			})));
		},
		chooseKey(isHot) {
			const draw = random.getFraction();
			if (draw < 0.06) {
				return draw < 0.02 ? undefined : createKey();
			}

			const removed = draw < 0.2 ? choose(random, listRemovedKeys(known.keys())) : undefined;
			const tickets = listActive().flatMap(account => Array.from({length: account.weight * (isHot && account.name === `account-${initialAccountCount}` ? hotFactor : 1)}, () => account));
			return removed ?? choose(random, choose(random, tickets)?.apiKeys ?? []);
		},
		chooseKeyOf(names) {
			const removed = random.getInteger(6) === 0 ? choose(random, listRemovedKeys(names)) : undefined;
			return removed ?? choose(random, listValidKeys(names)) ?? choose(random, listRemovedKeys(names));
		},
		findOwner,
		chooseValidKeyOf: name => choose(random, listValidKeys([name]).filter(key => findOwner(key) === name)),
	};
}
