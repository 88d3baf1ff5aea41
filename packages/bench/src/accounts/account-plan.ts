import {createHash} from 'node:crypto';
import {type ClientAccount} from '@pistachiogauge/jobs';
import {type AccountPlan} from '@pistachiogauge/platform/standins';

export {type AccountPlan} from '@pistachiogauge/platform/standins';

/** Computes the hash under which the program knows an API key. */
export function computeKeyHash(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Creates the account as the configuration of the jobs packages has it. */
export function createClientAccount({apiKeys, ...account}: AccountPlan): ClientAccount {
	return {...account, keyHashes: apiKeys.map(key => computeKeyHash(key))};
}
