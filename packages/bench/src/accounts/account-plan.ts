import {createHash} from 'node:crypto';
import {type ClientAccount, type Resources} from '@pistachiogauge/jobs';

/** A client account of a soak, with its API keys in plain text. */
export type AccountPlan = {
	readonly name: string;
	readonly keys: readonly string[];
	readonly priority: number;
	readonly weight: number;
	/** 0 in a component for no limit. */
	readonly cap: Resources;
};

/** Computes the hash under which the program knows an API key. */
export function computeKeyHash(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Creates the account as the configuration of the jobs packages has it. */
export function createClientAccount({keys, ...account}: AccountPlan): ClientAccount {
	return {...account, keyHashes: keys.map(key => computeKeyHash(key))};
}
