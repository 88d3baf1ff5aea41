import {type EventOf} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {advancePool} from './advance-pool.js';
import {isPoolCommand} from './pool-calls.js';
import {rejectCall} from './pool-write.js';

/** Accepts an operator call for a pool that this entry owns, and forwards a call for another pool to its owner. @internal */
export function routeCall(state: EntryState, event: EventOf<'operator-called'>, context: DecisionContext): Output[] {
	const {command, callId, operator} = event;
	if (!isPoolCommand(command)) {
		return [];
	}

	const {pool} = command;
	if (state.bundle.current === undefined) {
		return rejectCall(event, 503, 'this entry has no bundle yet');
	}

	const owner = state.membership.record?.pools[pool]?.owner;
	if (state.bundle.current.pools[pool] === undefined && owner === undefined) {
		return rejectCall(event, 404, `unknown pool ${pool}`);
	}

	if (owner === state.config.id) {
		return acceptCall(state, event, pool, context);
	}

	// A forwarded call is not forwarded again, so that two entries in different epochs cannot pass it back and forth.
	if (owner === undefined || !state.membership.links.has(owner) || state.reply.callOrigins.has(callId)) {
		return rejectCall(event, 503, `the owner of pool ${pool} is not known or not reached; try again`);
	}

	return [emitEffect({
		kind: 'send-peer', to: owner, message: {
			kind: 'operator-forward', callId, operator, command,
		},
	})];
}

function acceptCall(state: EntryState, event: EventOf<'operator-called'>, pool: string, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool);
	if (owned?.isFenced !== true) {
		const reason = state.membership.isStoreReached ? 'it is being taken over' : 'it cannot be taken over while the store is not reached';
		return rejectCall(event, 503, `pool ${pool}: ${reason}; try again`);
	}

	owned.calls.push({
		callId: event.callId, operator: event.operator, command: event.command, receivedAt: context.now,
	});
	return advancePool(state, pool, context);
}
