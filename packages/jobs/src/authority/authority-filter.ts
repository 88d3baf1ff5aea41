import {
	emitEffect, passEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {
	emitCount, emitLog, type JobFilter, type JobOutput,
} from '../filter.js';
import {
	fleetClaim, poolClaimPrefix, type Claim, type JobEventOf,
} from '../model/index.js';
import {assignClaims} from './assign-claims.js';
import {type AuthorityState} from './authority-state.js';

/** Time for the others to register after a common start, in ms; machines start within 300 ms of each other. */
const settleMs = 500;
/** Head start in ms of each member over the next in line for a vacant claim; several round trips to the store. */
const turnMs = 300;
/** Time after which an unanswered claim is tried again, in ms. */
const claimTimeoutMs = 1500;
/** Pause before a claim that was not made is tried again, in ms; the watch tells within a few round trips who has made it. */
const claimPauseMs = 250;
/** Pause before a pool whose records could not be read is read again, in ms. */
const reloadPauseMs = 200;

type State = {readonly authority: AuthorityState};

/**
Decides for which pools this entry acts.

A claim is one record in the store, made under the entry's lease by compare-and-swap. Its revision is the fencing token: it rises with each claim, and endpoints refuse a lower one, so a former owner that has not noticed does no harm.

@public
*/
export const authorityFilter: JobFilter<State> = {
	name: 'authority',
	handlers: {
		tick: ({authority}, _event, context) => [...claimVacant(authority, context), ...retryLoads(authority, context)],
		'configuration-changed'({authority}, {configuration}) {
			const pools = new Set([...configuration.pools.map(pool => pool.name), ...configuration.queues.map(queue => queue.pool)]);
			authority.claimNames = [fleetClaim, ...[...pools].map(pool => `${poolClaimPrefix}${pool}`)];
			return [];
		},
		'session-opened'({authority}, _event, context) {
			authority.sessionOpenedAt = context.now;
			return [emitLog('info', 'session opened', {})];
		},
		'session-renewed'({authority}, {validUntil}) {
			authority.validUntil = validUntil;
			return [];
		},
		'session-lost'({authority}) {
			authority.sessionOpenedAt = undefined;
			authority.validUntil = 0;
			authority.asked.clear();
			return [emitLog('warn', 'session lost', {}), ...dropAll(authority, 'the lease has ended')];
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
		'claim-answered': settleClaim,
		'claim-superseded'({authority}, {name, token}) {
			return authority.heldClaims.get(name)?.token === token ? dropClaim(authority, name, 'another entry has claimed it') : [];
		},
		'pool-read'({authority}, event) {
			const isCurrent = authority.heldClaims.get(`${poolClaimPrefix}${event.pool}`)?.token === event.token;
			return isCurrent ? [passEvent({...event, kind: 'pool-loaded'})] : [];
		},
		'pool-load-failed'({authority}, {pool, token}, context) {
			const own = authority.heldClaims.get(`${poolClaimPrefix}${pool}`);
			if (own?.token === token) {
				own.retryAt = context.now + reloadPauseMs;
			}

			return [];
		},
		'shutdown-requested'({authority}) {
			authority.isStopping = true;
			// The end of the lease removes the claims, so the others are told at once.
			return [...dropAll(authority, 'shutdown'), emitEffect({kind: 'close-session'})];
		},
	},
};

function claimVacant(authority: AuthorityState, context: DecisionContext): JobOutput[] {
	const {sessionOpenedAt, members, claims, node, incarnation} = authority;
	if (sessionOpenedAt === undefined || authority.isStopping || !authority.areMembersListed || !authority.areClaimsListed) {
		return [];
	}

	const outputs: JobOutput[] = [];
	for (const claim of claims.values()) {
		// The process that held it ran under this entry's name before, so it is gone; or this one has given it up, though the record is its own.
		if (claim.node === node && (claim.incarnation !== incarnation || !authority.heldClaims.has(claim.name))) {
			outputs.push(...askClaim(authority, claim.name, claim.token, context));
		}
	}

	const vacant = authority.claimNames.filter(name => !claims.has(name));
	if (vacant.length === 0 || context.now < sessionOpenedAt + settleMs) {
		return outputs;
	}

	const assignment = assignClaims({
		vacant, members, claims, formerHolders: authority.formerHolders, lastHolders: authority.lastHolders,
	});
	for (const [name, order] of assignment) {
		const turn = order.indexOf(node);
		const since = authority.vacantSince.get(name) ?? context.now;
		authority.vacantSince.set(name, since);
		if (turn !== -1 && context.now >= since + (turn * turnMs)) {
			outputs.push(...askClaim(authority, name, 0, context));
		}
	}

	return outputs;
}

function askClaim(authority: AuthorityState, name: string, expectedToken: number, context: DecisionContext): JobOutput[] {
	const askedAt = authority.asked.get(name);
	if (askedAt !== undefined && context.now < askedAt + claimTimeoutMs) {
		return [];
	}

	authority.asked.set(name, context.now);
	return [emitEffect({
		kind: 'claim', name, expectedToken, lastHolderRevision: name === fleetClaim ? authority.lastHolders.get(name)?.revision ?? 0 : undefined,
	})];
}

function settleClaim({authority}: State, {name, result, token}: JobEventOf<'claim-answered'>, context: DecisionContext): JobOutput[] {
	if (result !== 'applied') {
		authority.asked.set(name, context.now - claimTimeoutMs + claimPauseMs);
		// An unanswered claim that was carried out shows in the watch.
		return [emitLog('info', 'claim not made', {name, result})];
	}

	authority.asked.delete(name);

	return recordClaim(authority, {
		name, node: authority.node, incarnation: authority.incarnation, token,
	}, context);
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
	authority.formerHolders.delete(name);
	const isOurs = claim.incarnation === authority.incarnation;
	const lost = authority.heldClaims.has(name) ? dropClaim(authority, name, 'another entry has claimed it') : [];
	if (!isOurs || authority.isStopping) {
		return [...lost, emitLog('info', 'claim seen', {name, holder: claim.node, token})];
	}

	authority.heldClaims.set(name, {token, retryAt: undefined});
	return [
		...lost,
		emitLog('info', 'claim made', {name, token, at: context.wallTime}),
		emitCount('claims_total'),
		...startActing(authority, name, token),
	];
}

/** What follows from a claim: a pool's records are read, the fleet's orders begin. */
function startActing(authority: AuthorityState, name: string, token: number): JobOutput[] {
	if (name === fleetClaim) {
		// The claim was made on condition that this record was the newest. One of the same revision was written with the claim, and tells nothing about who held it before.
		const last = authority.lastHolders.get(name);
		const isSameEntry = last?.node === authority.node && last.revision < token;
		authority.lastHolders.set(name, {node: authority.node, revision: token});
		return [passEvent({kind: 'fleet-acquired', token, isSameEntry})];
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
	authority.formerHolders.set(name, claim);
	authority.vacantSince.set(name, context.now);
	return [
		emitLog('info', 'claim ended', {name, holder: claim.node, token: claim.token}),
		...(authority.heldClaims.has(name) ? dropClaim(authority, name, 'its record is gone') : []),
	];
}

function dropAll(authority: AuthorityState, reason: string): JobOutput[] {
	return [...authority.heldClaims.keys()].flatMap(name => {
		// The claim ends with the lease; the watch may tell only later.
		const claim = authority.claims.get(name);
		if (claim?.incarnation === authority.incarnation) {
			authority.claims.delete(name);
			authority.formerHolders.set(name, claim);
		}

		return dropClaim(authority, name, reason);
	});
}

function dropClaim(authority: AuthorityState, name: string, reason: string): JobOutput[] {
	authority.heldClaims.delete(name);
	authority.asked.delete(name);
	const log = emitLog('warn', 'claim lost', {name, reason});
	if (name === fleetClaim) {
		return [log, passEvent({kind: 'fleet-lost'})];
	}

	const pool = getClaimedPool(name);
	return [log, passEvent({kind: 'pool-lost', pool, reason}), emitEffect({kind: 'unload-pool', pool})];
}

function retryLoads(authority: AuthorityState, context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const [name, own] of authority.heldClaims) {
		if (own.retryAt !== undefined && context.now >= own.retryAt) {
			own.retryAt = undefined;
			outputs.push(emitEffect({kind: 'load-pool', pool: getClaimedPool(name), token: own.token}));
		}
	}

	return outputs;
}

function getClaimedPool(name: string): string {
	return name.slice(poolClaimPrefix.length);
}
