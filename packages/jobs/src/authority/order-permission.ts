import {type DecisionContext} from '@pistachiogauge/chain';
import {poolClaimPrefix} from '../model/index.js';
import {type AuthorityView} from './authority-state.js';

/**
Time for which the holder of a pool's claim gives orders to endpoints after the store has last confirmed the claim.

It covers an outage of the store of 6.4 s, the time until the next confirmation and a new claim afterwards, so that runs survive. A new holder waits as long for endpoints that do not answer it.

@public
*/
export const orderPermissionMs = 8500;

/**
Returns for how many ms the holder of a pool's claim may still give orders to endpoints, by the clock that has advanced more; 0 if it may not.

The end counts from before the call that confirmed the claim was sent, so it does not depend on when the former holder notices its loss.

@public
*/
export function getPermittedMs({authority}: AuthorityView, pool: string, {now, wallTime}: Pick<DecisionContext, 'now' | 'wallTime'>): number {
	const confirmedAt = authority.heldClaims.get(`${poolClaimPrefix}${pool}`)?.confirmedAt;
	if (confirmedAt === undefined) {
		return 0;
	}

	const elapsedMs = Math.max(now - confirmedAt.now, wallTime - confirmedAt.wallTime);
	return Math.max(0, Math.floor(orderPermissionMs - elapsedMs));
}

/** Returns the last time at which this entry is known to have held the claim on a pool, in monotonic ms. @public */
export function getConfirmedAt({authority}: AuthorityView, pool: string): number {
	return authority.heldClaims.get(`${poolClaimPrefix}${pool}`)?.confirmedAt?.now ?? Number.NEGATIVE_INFINITY;
}

/** Returns the same time by the wall clock, in Unix ms; 0 if the claim was never confirmed. @public */
export function getConfirmedWallTime({authority}: AuthorityView, pool: string): number {
	return authority.heldClaims.get(`${poolClaimPrefix}${pool}`)?.confirmedAt?.wallTime ?? 0;
}
