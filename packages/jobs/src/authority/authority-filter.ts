import {
	emitEffect, passEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {
	fleetClaim, poolClaimPrefix, type Claim, type JobEventOf,
} from '../model/index.js';
import {type AuthorityState} from './authority-state.js';
import {delayClaimRequest, requestVacantClaims} from './request-claims.js';

/** Age from which a confirmation is renewed by a read of the claim's record; the owner of a pool writes a report each second. */
const confirmationMaxAgeMs = 2500;
/** An unanswered request for a confirmation is repeated after this time. */
const confirmationRetryMs = 250;
/** Delay before records of a pool that could not be read are read again. */
const loadRetryDelayMs = 200;

type State = {readonly authority: AuthorityState};

/**
Decides for which pools this entry acts.

A claim is a record in the store that is created under the entry's lease by compare-and-swap. Its revision is the fencing token: it increases with each claim, and endpoints reject orders with a lower one. Endpoints that the new owner does not reach may still take orders of a previous owner that has not noticed its loss, until its permission ends (see `getPermittedMs`).

@public
*/
export const authorityFilter: JobFilter<State> = {
	name: 'authority',
	handlers: {
		tick: (state, _event, context) => [...requestVacantClaims(state.authority, context), ...retryLoads(state.authority, context), ...renewConfirmations(state, context)],
		'configuration-changed'({authority}, {configuration}) {
			const pools = new Set([...configuration.pools.map(pool => pool.name), ...configuration.queues.map(queue => queue.pool)]);
			authority.claimNames = [fleetClaim, ...[...pools].map(pool => `${poolClaimPrefix}${pool}`)];
			return [];
		},
		'session-opened'({authority}, _event, context) {
			authority.sessionOpenedAt = context.now;
			return [emitLog('info', 'store session opened', {})];
		},
		'session-renewed'({authority}, {validUntil, wallValidUntil}) {
			authority.validUntil = validUntil;
			authority.wallValidUntil = wallValidUntil;
			return [];
		},
		'process-resumed'({authority}, {pausedMs}, context) {
			if (isLeaseCertain(authority, context)) {
				return [];
			}

			// Another entry may hold the claims by now, and the store may not have reported it yet.
			authority.resumedAt = context.now;
			for (const heldClaim of authority.heldClaims.values()) {
				heldClaim.confirmedAt = undefined;
			}

			return [emitLog('warn', 'lease of store session may have ended during pause', {pausedMs: Math.round(pausedMs), claims: [...authority.heldClaims.keys()]})];
		},
		'session-lost'({authority}) {
			authority.sessionOpenedAt = undefined;
			authority.validUntil = 0;
			authority.wallValidUntil = 0;
			authority.claimRequestedAt.clear();
			return [emitLog('warn', 'store session lost', {}), ...dropAllClaims(authority, 'store session lost')];
		},
		'members-listed'({authority}, {members}) {
			authority.members.clear();
			for (const member of members) {
				authority.members.set(member.node, member);
			}

			authority.areMembersListed = true;
			return [];
		},
		'member-changed'({authority}, {node, member}) {
			if (member === undefined) {
				authority.members.delete(node);
				return [emitLog('info', 'entry left', {node})];
			}

			authority.members.set(node, member);
			return [emitLog('info', 'entry joined', {node, incarnation: member.incarnation})];
		},
		'claims-listed': ({authority}, {claims}, context) => replaceClaims(authority, claims, context),
		'claim-changed': ({authority}, {name, claim}, context) => claim === undefined
			? removeClaim(authority, name, context)
			: recordClaim(authority, claim, context),
		'last-holder-changed'({authority}, {name, node, revision}) {
			if (revision > (authority.lastHolders.get(name)?.revision ?? 0)) {
				authority.lastHolders.set(name, {node, revision});
			}

			return [];
		},
		'claim-answered': handleClaimAnswer,
		'claim-confirmed': confirmClaim,
		'claim-confirmation-due': requestConfirmation,
		'claim-superseded'({authority}, {name, token}) {
			return authority.heldClaims.get(name)?.token === token ? dropClaim(authority, name, 'another entry has claimed it') : [];
		},
		'pool-read'({authority}, event) {
			const heldClaim = authority.heldClaims.get(`${poolClaimPrefix}${event.pool}`);
			if (heldClaim?.token !== event.token || heldClaim.isLoaded) {
				return [];
			}

			heldClaim.isLoaded = true;
			return [passEvent({...event, kind: 'pool-loaded'})];
		},
		'pool-load-failed'({authority}, {pool, token}, context) {
			const heldClaim = authority.heldClaims.get(`${poolClaimPrefix}${pool}`);
			if (heldClaim?.token === token) {
				heldClaim.loadRetryAt = context.now + loadRetryDelayMs;
			}

			return [];
		},
		'shutdown-requested'({authority}) {
			authority.isStopping = true;
			// Ending the lease removes the claims, so the other entries see it at once.
			return [...dropAllClaims(authority, 'shutdown'), emitEffect({kind: 'close-session'})];
		},
	},
};

/** Whether the lease is certain to hold now, by both clocks. */
function isLeaseCertain({validUntil, wallValidUntil}: AuthorityState, {now, wallTime}: DecisionContext): boolean {
	return now < validUntil && wallTime < wallValidUntil;
}

function handleClaimAnswer({authority}: State, {name, result, token}: JobEventOf<'claim-answered'>, context: DecisionContext): JobOutput[] {
	if (result !== 'applied') {
		delayClaimRequest(authority, name, context.now);
		// If an unanswered claim was made after all, the watch on the store reports it.
		return [emitLog('info', 'claim not acquired', {name, result})];
	}

	authority.claimRequestedAt.delete(name);
	return recordClaim(authority, {
		name, node: authority.node, incarnation: authority.incarnation, token,
	}, context);
}

function confirmClaim({authority}: State, {name, token, requestedAt}: JobEventOf<'claim-confirmed'>): JobOutput[] {
	const heldClaim = authority.heldClaims.get(name);
	if (heldClaim?.token !== token || requestedAt.now < authority.resumedAt || requestedAt.now < (heldClaim.confirmedAt?.now ?? Number.NEGATIVE_INFINITY)) {
		return [];
	}

	const isFirst = heldClaim.confirmedAt === undefined;
	heldClaim.confirmedAt = requestedAt;
	const outputs: JobOutput[] = isFirst ? [emitLog('info', 'claim confirmed by store', {name, token})] : [];
	if (heldClaim.confirmationRequestedAt !== undefined && requestedAt.now >= heldClaim.confirmationRequestedAt) {
		heldClaim.confirmationRequestedAt = undefined;
		outputs.push(passEvent({kind: 'placement-due', pool: getClaimedPool(name)}));
	}

	return outputs;
}

/** Requests confirmations of claims that no write has confirmed for some time, as when the store refuses writes, or since a pause. */
function renewConfirmations(state: State, context: DecisionContext): JobOutput[] {
	return [...state.authority.heldClaims]
		.filter(([name, {confirmedAt}]) => name !== fleetClaim && context.now > (confirmedAt?.now ?? Number.NEGATIVE_INFINITY) + confirmationMaxAgeMs)
		.flatMap(([name]) => requestConfirmation(state, {kind: 'claim-confirmation-due', pool: getClaimedPool(name)}, context));
}

function requestConfirmation({authority}: State, {pool}: JobEventOf<'claim-confirmation-due'>, context: DecisionContext): JobOutput[] {
	const name = `${poolClaimPrefix}${pool}`;
	const heldClaim = authority.heldClaims.get(name);
	if (heldClaim === undefined || context.now < (heldClaim.confirmationRequestedAt ?? Number.NEGATIVE_INFINITY) + confirmationRetryMs) {
		return [];
	}

	heldClaim.confirmationRequestedAt = context.now;
	return [emitEffect({kind: 'confirm-claim', name, token: heldClaim.token})];
}

function replaceClaims(authority: AuthorityState, claims: readonly Claim[], context: DecisionContext): JobOutput[] {
	authority.areClaimsListed = true;
	const listed = new Set(claims.map(claim => claim.name));
	return [
		...[...authority.claims.keys()].filter(name => !listed.has(name)).flatMap(name => removeClaim(authority, name, context)),
		...claims.flatMap(claim => recordClaim(authority, claim, context)),
	];
}

function recordClaim(authority: AuthorityState, claim: Claim, context: DecisionContext): JobOutput[] {
	const {name, token} = claim;
	const known = authority.claims.get(name);
	if (known !== undefined && known.token >= token) {
		return [];
	}

	authority.claims.set(name, claim);
	authority.vacantSince.delete(name);
	authority.endedClaims.delete(name);
	const isOwn = claim.incarnation === authority.incarnation;
	const lost = authority.heldClaims.has(name) ? dropClaim(authority, name, 'another entry has claimed it') : [];
	if (!isOwn || authority.isStopping) {
		return [...lost, emitLog('info', 'claim found in store', {name, holder: claim.node, token})];
	}

	authority.heldClaims.set(name, {
		token, confirmedAt: undefined, confirmationRequestedAt: undefined, isLoaded: false, loadRetryAt: undefined,
	});
	return [
		...lost,
		emitLog('info', 'claim acquired', {name, token, at: context.wallTime}),
		emitCount('claims_total'),
		...startOwnership(authority, name, token),
	];
}

/** Starts to act under a new claim: loads the records of a pool, or takes over the fleet. */
function startOwnership(authority: AuthorityState, name: string, token: number): JobOutput[] {
	if (name === fleetClaim) {
		// The claim was made on the condition that this record had not changed. A record with the claim's own revision was written together with it and says nothing about the holder before.
		const last = authority.lastHolders.get(name);
		const previous = last !== undefined && last.revision < token ? last : undefined;
		authority.lastHolders.set(name, {node: authority.node, revision: token});
		return [passEvent({
			kind: 'fleet-acquired', token, isSameEntry: previous?.node === authority.node, previousToken: previous?.revision,
		})];
	}

	const pool = getClaimedPool(name);
	return [emitEffect({kind: 'load-pool', pool, token})];
}

function removeClaim(authority: AuthorityState, name: string, context: DecisionContext): JobOutput[] {
	const claim = authority.claims.get(name);
	if (claim === undefined) {
		return [];
	}

	authority.claims.delete(name);
	authority.endedClaims.set(name, claim);
	authority.vacantSince.set(name, context.now);
	return [
		emitLog('info', 'claim became vacant', {name, holder: claim.node, token: claim.token}),
		...(authority.heldClaims.has(name) ? dropClaim(authority, name, 'claim record removed from store') : []),
	];
}

function dropAllClaims(authority: AuthorityState, reason: string): JobOutput[] {
	return [...authority.heldClaims.keys()].flatMap(name => {
		// The claim ends with the lease; the watch on the store may report that only later.
		const claim = authority.claims.get(name);
		if (claim?.incarnation === authority.incarnation) {
			authority.claims.delete(name);
			authority.endedClaims.set(name, claim);
		}

		return dropClaim(authority, name, reason);
	});
}

function dropClaim(authority: AuthorityState, name: string, reason: string): JobOutput[] {
	authority.heldClaims.delete(name);
	authority.claimRequestedAt.delete(name);
	const log = emitLog('warn', 'claim lost', {name, reason});
	if (name === fleetClaim) {
		return [log, passEvent({kind: 'fleet-lost'})];
	}

	const pool = getClaimedPool(name);
	return [log, passEvent({kind: 'pool-lost', pool, reason}), emitEffect({kind: 'unload-pool', pool})];
}

function retryLoads(authority: AuthorityState, context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const [name, heldClaim] of authority.heldClaims) {
		if (heldClaim.loadRetryAt !== undefined && context.now >= heldClaim.loadRetryAt) {
			heldClaim.loadRetryAt = undefined;
			outputs.push(emitEffect({kind: 'load-pool', pool: getClaimedPool(name), token: heldClaim.token}));
		}
	}

	return outputs;
}

function getClaimedPool(name: string): string {
	return name.slice(poolClaimPrefix.length);
}
