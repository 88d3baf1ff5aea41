import {type Resources} from './resources.js';

/** A customer of the operators, whose callers authenticate with its API keys. @public */
export type ClientAccount = {
	readonly name: string;
	/** SHA-256 hashes of the account's API keys, in lower-case hexadecimal. */
	readonly keyHashes: readonly string[];
	/** 0 is the highest. */
	readonly priority: number;
	/** Share of the capacity when it is short, relative to the other accounts, and the number of jobs a second up to which the account has a claim to it. */
	readonly weight: number;
	/** Maximum that the account may have running on all endpoints; 0 in a component for no limit. */
	readonly cap: Resources;
};
