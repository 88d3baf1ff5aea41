import {type EventOf, type PoolAssignment, type PoolName} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type KeyRecord, type KeyWaiter, type PoolKeys} from './idempotency-state.js';
import {dropUnusedKeys, getPoolKeys, removeKey} from './key-records.js';
import {releaseParked} from './offer-key.js';
import {returnRequests, sendKeys} from './send-keys.js';

/** Longest wait for the keys of a living former owner. */
const handoverWaitMs = 1500;

/** Begins to own a pool's keys. @internal */
export function acquireKeys(state: EntryState, event: EventOf<'pool-acquired'>, context: DecisionContext): Output[] {
	const {membership, config, idempotency} = state;
	const pooled = getPoolKeys(state, event.pool);
	const formerOwner = membership.record?.previousPools[event.pool]?.owner;
	const isHandoverDue = formerOwner !== undefined && formerOwner !== config.id && pooled.incoming?.isComplete !== true
		&& membership.links.has(formerOwner) && !membership.departed.has(formerOwner);
	pooled.role = 'owner';
	pooled.partner = undefined;
	pooled.handoverUntil = isHandoverDue ? context.now + handoverWaitMs : undefined;
	// A pool without a former owner cannot have run anything. Otherwise a lost owner has judged keys by its own clock.
	pooled.coverageSince ??= formerOwner === undefined ? Number.NEGATIVE_INFINITY : idempotency.latestWallTime + config.timings.clockSkewMs;
	return [];
}

/**
Gives a pool's keys to its new owner.

Requests that only waited go back to their receivers after the new owner has freed their keys, or it would have to answer `unknown`.

@internal
*/
export function loseKeys(state: EntryState, event: EventOf<'pool-lost'>, context: DecisionContext): Output[] {
	const {membership, config} = state;
	const pooled = getPoolKeys(state, event.pool);
	const returns = [...takeWaiting(state, pooled), ...takeParked(pooled)];
	const owner = membership.record?.pools[event.pool]?.owner;
	pooled.role = 'none';
	pooled.partner = undefined;
	pooled.handoverUntil = undefined;
	if (owner === undefined || owner === config.id || !membership.links.has(owner)) {
		return returnRequests(state, returns);
	}

	for (const {requestId} of returns) {
		state.idempotency.awaitingKeyRelease.add(requestId);
	}

	return sendKeys(state, event.pool, owner, returns, context);
}

/** Takes the role that the adopted epoch gives this entry for each pool's keys. @internal */
export function updateRoles(state: EntryState): Output[] {
	const {record} = state.membership;
	const pools = new Set([...state.idempotency.pools.keys(), ...Object.keys(record?.pools ?? {})]);
	for (const pool of pools) {
		updateRole(state, pool);
	}

	for (const keyRecord of state.idempotency.attended) {
		// Reservations of the former epoch are repeated at once.
		keyRecord.reserveSentAt = Number.NEGATIVE_INFINITY;
	}

	return [];
}

function updateRole(state: EntryState, pool: PoolName): void {
	const {membership, config} = state;
	const pooled = getPoolKeys(state, pool);
	const assignment = membership.record?.pools[pool];
	pooled.incoming = undefined;
	if (pooled.role === 'owner') {
		pooled.partner = pooled.partner === assignment?.standby ? pooled.partner : undefined;
		return;
	}

	const isNamed = assignment?.owner === config.id || assignment?.standby === config.id;
	if (!isNamed) {
		pooled.role = 'none';
		pooled.partner = undefined;
		pooled.coverageSince = undefined;
		dropUnusedKeys(state, pool);
		return;
	}

	const isKept = pooled.role === 'standby' && membership.isDirectSuccessor && isUnbroken(state, pool, pooled, assignment);
	pooled.role = 'standby';
	pooled.partner = assignment.owner;
	if (!isKept) {
		pooled.coverageSince = undefined;
		pooled.isCopied = false;
	}
}

/** Whether nobody can have let a key run in this epoch or the one before without this entry's acknowledgement. */
function isUnbroken(state: EntryState, pool: PoolName, pooled: PoolKeys, assignment: PoolAssignment): boolean {
	const {membership, config} = state;
	const former = membership.record?.previousPools[pool];
	if (former === undefined || former.owner !== pooled.partner) {
		return false;
	}

	// Named owner in both epochs without having acted, or standby of the lost or the same owner.
	return former.owner === config.id
		? assignment.owner === config.id
		: former.standby === config.id && (assignment.owner === config.id || assignment.owner === former.owner);
}

/** Requests of a lost pool that were not sent to an endpoint, with everyone who joined them. */
function takeWaiting(state: EntryState, pooled: PoolKeys): KeyWaiter[] {
	const running = new Set<string>();
	for (const {work} of state.dispatch.attempts.values()) {
		running.add(work.request.requestId);
	}

	const returns: KeyWaiter[] = [];
	for (const record of pooled.keys.values()) {
		if (isWaiting(record, running)) {
			returns.push(...record.waiters);
			removeKey(state, record);
		}
	}

	return returns;
}

function isWaiting({request, waiters}: KeyRecord, running: ReadonlySet<string>): boolean {
	return request === undefined ? false : waiters.length > 0 && !running.has(request.requestId);
}

function takeParked(pooled: PoolKeys): KeyWaiter[] {
	return pooled.parked.splice(0).map(({request, receiver, deadlineAt}) => ({receiver, requestId: request.requestId, deadlineAt}));
}

/** Ends the wait for a former owner's keys that did not come. @internal */
export function expireHandovers(state: EntryState, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const [pool, {handoverUntil}] of state.idempotency.pools) {
		if (handoverUntil !== undefined && context.now >= handoverUntil) {
			outputs.push(
				emitEffect({kind: 'count', metric: 'key_handovers_missed_total', by: 1}),
				...releaseParked(state, pool, context),
			);
		}
	}

	return outputs;
}
