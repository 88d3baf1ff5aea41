import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {describeBlocker} from './pool-stages.js';
import {countOutOfService, type PoolMember, type PoolView} from './pool-view.js';
import {findWaveHoldReason} from './wave.js';

/** Describes an owned pool for operators, with what blocks each planned stop. @internal */
export function describePool(state: EntryState, view: PoolView, context: DecisionContext): unknown {
	const {pool, record, declaration} = view;
	return {
		pool,
		owner: record.owner,
		ownerEpoch: record.ownerEpoch,
		budget: declaration?.budget ?? 0,
		out: countOutOfService(view),
		isStoreReached: view.isStoreReached,
		queued: countQueued(state, pool),
		instances: view.members.map(member => describeMember(state, view, member, context)),
		wave: record.wave === undefined
			? undefined
			: {
				id: record.wave.id, state: record.wave.state, done: record.wave.done.length, hold: record.wave.state === 'running' ? findWaveHoldReason(view) : undefined,
			},
	};
}

function describeMember(state: EntryState, view: PoolView, member: PoolMember, context: DecisionContext): unknown {
	const {id, listed, outOfServiceReason, maintainedAt} = member;
	const permit = view.record.permits[id];
	const owned = state.fleet.owned.get(view.pool)!;
	return {
		id,
		zone: listed?.zone,
		rack: listed?.rack,
		state: owned.joining.has(id) ? 'joining' : outOfServiceReason ?? 'serving',
		running: state.dispatch.busySlots.get(id) ?? 0,
		maintainedAt,
		permit,
		waitsFor: permit === undefined
			? undefined
			: describeBlocker({
				state, owned, pool: view.pool, id, permit, context,
			}),
	};
}

/** Counts the requests in a pool's queue. @internal */
export function countQueued(state: EntryState, pool: string): number {
	return state.dispatch.queues.get(pool)?.waitingCount ?? 0;
}
