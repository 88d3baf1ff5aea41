import {type RequestResult} from '@pistachiogauge/model';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {createNotRunResult, createUnknownResult} from '../results.js';
import {type PoolKeys} from './idempotency-state.js';
import {getKeyTime} from './key-time.js';

const moveRetryMs = 1000;

/**
What can be said of a key that is not recorded.

- `fresh`: it has never run.
- `uncovered`: it may have run before this entry's knowledge begins.
- `refused`: the result says why.

@internal
*/
export type KeyVerdict =
	| {readonly kind: 'fresh'}
	| {readonly kind: 'uncovered'}
	| {readonly kind: 'refused'; readonly result: RequestResult};

/**
Judges a key that is not recorded by its issue time.

The order matters: `not-run` is only said for a key that the coverage proves not to have run, or that no entry would have let run.

@internal
*/
export function checkKey(state: EntryState, pooled: PoolKeys, service: string, key: string, context: DecisionContext): KeyVerdict {
	const {clockSkewMs, keyRetentionMs} = state.config.timings;
	const {serviceMoves, latestWallTime} = state.idempotency;
	const issuedAt = getKeyTime(key);
	if (issuedAt === undefined) {
		return refuse(createNotRunResult('key-malformed'));
	}

	const move = serviceMoves.get(service);
	if (move !== undefined && move.since === undefined) {
		// An entry that still follows the former bundle may let the key run in the former pool.
		return refuse(createNotRunResult('pool-unavailable', moveRetryMs));
	}

	if (issuedAt < latestWallTime - keyRetentionMs + clockSkewMs) {
		return refuse(createUnknownResult('key-expired'));
	}

	// A caller's clock may run ahead by the allowed skew, so a key that only seems newer than the coverage may be older.
	const coverageSince = Math.max(pooled.coverageSince ?? Number.POSITIVE_INFINITY, move?.since ?? Number.NEGATIVE_INFINITY);
	if (issuedAt <= coverageSince + clockSkewMs) {
		return {kind: 'uncovered'};
	}

	return issuedAt > context.wallTime + clockSkewMs
		? refuse(createNotRunResult('key-from-the-future', issuedAt - context.wallTime - clockSkewMs))
		: {kind: 'fresh'};
}

function refuse(result: RequestResult): KeyVerdict {
	return {kind: 'refused', result};
}
