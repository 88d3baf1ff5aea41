import {appendItems} from '@pistachiogauge/chain';
import {type EventOf, type PoolAssignment, type PoolName} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {type KeyRecord, type KeyWaiter, type PoolKeys} from './idempotency-state.js';
import {dropUnusedKeys, getPoolKeys, removeKey} from './key-records.js';
import {resumeWaitingRequests} from './accept-request.js';
import {returnRequests, startTransfer} from './send-keys.js';

/** Maximum wait for the keys of a former owner that is still linked. */
const handoverWaitMs = 1500;

/** Starts to act as the owner of a pool's keys. @internal */
export function acquireKeys(state: EntryState, event: EventOf<'pool-acquired'>, context: DecisionContext): Output[] {
	const {membership, config, idempotency} = state;
	const poolKeys = getPoolKeys(state, event.pool);
	const formerOwner = membership.record?.previousPools[event.pool]?.owner;
	const isHandoverDue = formerOwner !== undefined && formerOwner !== config.id && poolKeys.incomingTransfer?.isComplete !== true
		&& membership.links.has(formerOwner) && !membership.departed.has(formerOwner);
	poolKeys.role = 'owner';
	poolKeys.replicationPeer = undefined;
	poolKeys.handoverUntil = isHandoverDue ? context.now + handoverWaitMs : undefined;
	// No request can have run in a pool without a former owner. Otherwise a lost owner has checked keys by its own clock, which may have been ahead.
	poolKeys.coverageSince ??= formerOwner === undefined ? Number.NEGATIVE_INFINITY : idempotency.latestWallTime + config.timings.clockSkewMs;
	return [];
}

/**
Hands a lost pool's keys over to its new owner.

Requests that were not sent to an endpoint return to their receivers only after the new owner has released their keys; otherwise it would have to answer `unknown`.

@internal
*/
export function handOverKeys(state: EntryState, event: EventOf<'pool-lost'>, context: DecisionContext): Output[] {
	const {membership, config} = state;
	const poolKeys = getPoolKeys(state, event.pool);
	const requestsToReturn = [...removeUnsentRequests(state, poolKeys), ...removeWaitingRequests(poolKeys)];
	const owner = membership.record?.pools[event.pool]?.owner;
	poolKeys.role = 'none';
	poolKeys.replicationPeer = undefined;
	poolKeys.handoverUntil = undefined;
	if (owner === undefined || owner === config.id || !membership.links.has(owner)) {
		return returnRequests(state, requestsToReturn);
	}

	for (const {requestId} of requestsToReturn) {
		state.idempotency.awaitingKeyRelease.add(requestId);
	}

	return startTransfer(state, event.pool, owner, requestsToReturn, context);
}

/** Updates the role of this entry for each pool's keys to the adopted epoch. @internal */
export function updateRoles(state: EntryState): Output[] {
	const {record} = state.membership;
	const pools = new Set([...state.idempotency.pools.keys(), ...Object.keys(record?.pools ?? {})]);
	for (const pool of pools) {
		updateRole(state, pool);
	}

	for (const keyRecord of state.idempotency.awaitingPeer) {
		// Reservations of the former epoch are sent again on the next tick.
		keyRecord.reservationSentAt = Number.NEGATIVE_INFINITY;
	}

	return [];
}

function updateRole(state: EntryState, pool: PoolName): void {
	const {membership, config} = state;
	const poolKeys = getPoolKeys(state, pool);
	const assignment = membership.record?.pools[pool];
	poolKeys.incomingTransfer = undefined;
	if (poolKeys.role === 'owner') {
		poolKeys.replicationPeer = poolKeys.replicationPeer === assignment?.standby ? poolKeys.replicationPeer : undefined;
		return;
	}

	const isAssigned = assignment?.owner === config.id || assignment?.standby === config.id;
	if (!isAssigned) {
		poolKeys.role = 'none';
		poolKeys.replicationPeer = undefined;
		poolKeys.coverageSince = undefined;
		dropUnusedKeys(state, pool);
		return;
	}

	const isCoverageKept = poolKeys.role === 'standby' && membership.isDirectSuccessor && isCoverageContinuous(state, pool, poolKeys, assignment);
	poolKeys.role = 'standby';
	poolKeys.replicationPeer = assignment.owner;
	if (!isCoverageKept) {
		poolKeys.coverageSince = undefined;
		poolKeys.hasFullCopy = false;
	}
}

/** Whether no key can have run in the adopted epoch or the one before it without this entry's acknowledgement. */
function isCoverageContinuous(state: EntryState, pool: PoolName, poolKeys: PoolKeys, assignment: PoolAssignment): boolean {
	const {membership, config} = state;
	const former = membership.record?.previousPools[pool];
	if (former === undefined || former.owner !== poolKeys.replicationPeer) {
		return false;
	}

	// Either this entry is the owner in both epochs and has not acted yet, or it was the standby of an owner that it replaces or that is unchanged.
	return former.owner === config.id
		? assignment.owner === config.id
		: former.standby === config.id && (assignment.owner === config.id || assignment.owner === former.owner);
}

/** Removes the keys of a lost pool's requests that were not sent to an endpoint, and returns all requests that wait for them. */
function removeUnsentRequests(state: EntryState, poolKeys: PoolKeys): KeyWaiter[] {
	const running = new Set<string>();
	for (const {work} of state.dispatch.attempts.values()) {
		running.add(work.request.requestId);
	}

	const requestsToReturn: KeyWaiter[] = [];
	for (const record of poolKeys.keys.values()) {
		if (isUnsent(record, running)) {
			appendItems(requestsToReturn, record.waiters);
			removeKey(state, record);
		}
	}

	return requestsToReturn;
}

function isUnsent({request, waiters}: KeyRecord, running: ReadonlySet<string>): boolean {
	return request === undefined ? false : waiters.length > 0 && !running.has(request.requestId);
}

function removeWaitingRequests(poolKeys: PoolKeys): KeyWaiter[] {
	return poolKeys.waitingForHandover.splice(0).map(({request, receiver, deadlineAt}) => ({receiver, requestId: request.requestId, deadlineAt}));
}

/** Ends the wait for a former owner's keys that have not arrived in time. @internal */
export function expireHandovers(state: EntryState, context: DecisionContext): Output[] {
	const outputs: Output[] = [];
	for (const [pool, {handoverUntil}] of state.idempotency.pools) {
		if (handoverUntil !== undefined && context.now >= handoverUntil) {
			outputs.push(emitEffect({kind: 'count', metric: 'key_handovers_missed_total', by: 1}));
			appendItems(outputs, resumeWaitingRequests(state, pool, context));
		}
	}

	return outputs;
}
