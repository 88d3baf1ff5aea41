import {type RequestResult} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {type PoolKeys} from './idempotency-state.js';
import {getKeyTime} from './key-time.js';

const serviceMoveRetryAfterMs = 1000;

/**
Result of checking a key that this entry has no record of.

- `fresh`: the key has never run.
- `uncovered`: the key may have run before the time since which this entry knows all keys.
- `refused`: the key must not run; the result has the reason.

@internal
*/
export type KeyCheckResult =
	| {readonly kind: 'fresh'}
	| {readonly kind: 'uncovered'}
	| {readonly kind: 'refused'; readonly result: RequestResult};

/**
Checks a key without a record by its issue time.

The order of the checks matters: `not-run` is answered only for a key that by the coverage cannot have run, or that no entry would have allowed to run.

@internal
*/
export function checkKey(state: EntryState, poolKeys: PoolKeys, service: string, key: string, context: DecisionContext): KeyCheckResult {
	const {clockSkewMs, keyRetentionMs} = state.config.timings;
	const {serviceMoves, latestWallTime} = state.idempotency;
	const issuedAt = getKeyTime(key);
	if (issuedAt === undefined) {
		return createRefusal(createNotRunResult('key-malformed'));
	}

	const move = serviceMoves.get(service);
	if (move !== undefined && move.since === undefined) {
		// An entry that has not applied the new bundle yet may still allow the key to run in the former pool.
		return createRefusal(createNotRunResult('pool-unavailable', serviceMoveRetryAfterMs));
	}

	if (issuedAt < latestWallTime - keyRetentionMs + clockSkewMs) {
		return createRefusal(createUnknownResult('key-expired'));
	}

	// A caller's clock may be ahead by the allowed skew. So a key whose issue time is less than that after the start of the coverage may have been issued before it.
	const coverageSince = Math.max(poolKeys.coverageSince ?? Number.POSITIVE_INFINITY, move?.since ?? Number.NEGATIVE_INFINITY);
	if (issuedAt <= coverageSince + clockSkewMs) {
		return {kind: 'uncovered'};
	}

	return issuedAt > context.wallTime + clockSkewMs
		? createRefusal(createNotRunResult('key-from-the-future', issuedAt - context.wallTime - clockSkewMs))
		: {kind: 'fresh'};
}

function createRefusal(result: RequestResult): KeyCheckResult {
	return {kind: 'refused', result};
}
