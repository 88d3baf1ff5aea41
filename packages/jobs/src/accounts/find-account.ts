import {timingSafeEqual} from 'node:crypto';
import {type ClientAccount} from '../model/index.js';

type IndexedKey = {readonly digest: Uint8Array; readonly account: ClientAccount};

/** Number of leading hexadecimal digits of a hash by which keys are indexed. They tell nothing that helps to find a key. */
const prefixLength = 4;
const hashBytes = 32;

/** The index of a list of accounts is created once, as each request needs it. */
const indexes = new WeakMap<readonly ClientAccount[], ReadonlyMap<string, readonly IndexedKey[]>>();

/** Finds the first account in the list that has the key. Hashes are compared in constant time. @public */
export function findAccount(accounts: readonly ClientAccount[], keyHash: string): ClientAccount | undefined {
	const digest = Buffer.from(keyHash, 'hex');
	if (digest.length !== hashBytes) {
		return undefined;
	}

	let found: ClientAccount | undefined;
	for (const {digest: known, account} of getIndex(accounts).get(keyHash.slice(0, prefixLength)) ?? []) {
		const isEqual = timingSafeEqual(known, digest);
		found ??= isEqual ? account : undefined;
	}

	return found;
}

function getIndex(accounts: readonly ClientAccount[]): ReadonlyMap<string, readonly IndexedKey[]> {
	const existing = indexes.get(accounts);
	if (existing !== undefined) {
		return existing;
	}

	const index = new Map<string, IndexedKey[]>();
	for (const account of accounts) {
		for (const keyHash of account.keyHashes) {
			const prefix = keyHash.slice(0, prefixLength);
			const keys = index.get(prefix) ?? [];
			index.set(prefix, keys);
			keys.push({digest: Buffer.from(keyHash, 'hex'), account});
		}
	}

	indexes.set(accounts, index);
	return index;
}
