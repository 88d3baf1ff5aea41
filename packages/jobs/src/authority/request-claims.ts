import {appendItems, emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type JobOutput} from '../filter.js';
import {fleetClaim} from '../model/index.js';
import {assignClaims} from './assign-claims.js';
import {type AuthorityState} from './authority-state.js';

/** Time for the other entries to register after a common start; machines start within 300 ms of each other. */
const startupGraceMs = 500;
/** Delay between the attempts of two successive members at a vacant claim; several round trips to the store. */
const claimStaggerMs = 300;
/** An unanswered claim is retried after this time. */
const claimTimeoutMs = 1500;
/** Delay before a failed claim is retried; by then the watch on the store has usually reported who made it, as that takes a few round trips. */
const claimRetryDelayMs = 250;

/** Requests the claims that this entry should hold: vacant ones in its turn, and those whose record names it while it does not act on them. @internal */
export function requestVacantClaims(authority: AuthorityState, context: DecisionContext): JobOutput[] {
	const {sessionOpenedAt, members, claims, node, incarnation} = authority;
	if (sessionOpenedAt === undefined || authority.isStopping || !authority.areMembersListed || !authority.areClaimsListed) {
		return [];
	}

	const outputs: JobOutput[] = [];
	for (const claim of claims.values()) {
		// The claim record names this entry, but nobody acts on it: it was made by an earlier process of this entry, or by this process, which has since dropped the claim (for example on `claim-superseded`) while the record stayed.
		if (claim.node === node && (claim.incarnation !== incarnation || !authority.heldClaims.has(claim.name))) {
			appendItems(outputs, requestClaim(authority, claim.name, claim.token, context));
		}
	}

	const vacant = authority.claimNames.filter(name => !claims.has(name));
	if (vacant.length === 0 || context.now < sessionOpenedAt + startupGraceMs) {
		return outputs;
	}

	const assignment = assignClaims({
		vacant, members, claims, endedClaims: authority.endedClaims, lastHolders: authority.lastHolders,
	});
	for (const [name, order] of assignment) {
		const position = order.indexOf(node);
		const since = authority.vacantSince.get(name) ?? context.now;
		authority.vacantSince.set(name, since);
		if (position !== -1 && context.now >= since + (position * claimStaggerMs)) {
			appendItems(outputs, requestClaim(authority, name, 0, context));
		}
	}

	return outputs;
}

function requestClaim(authority: AuthorityState, name: string, expectedToken: number, context: DecisionContext): JobOutput[] {
	const requestedAt = authority.claimRequestedAt.get(name);
	if (requestedAt !== undefined && context.now < requestedAt + claimTimeoutMs) {
		return [];
	}

	authority.claimRequestedAt.set(name, context.now);
	return [emitEffect({
		kind: 'claim', name, expectedToken, lastHolderRevision: name === fleetClaim ? authority.lastHolders.get(name)?.revision ?? 0 : undefined,
	})];
}

/** Lets a claim that was not acquired be requested again after a short delay. @internal */
export function delayClaimRequest(authority: AuthorityState, name: string, now: number): void {
	authority.claimRequestedAt.set(name, now - claimTimeoutMs + claimRetryDelayMs);
}
