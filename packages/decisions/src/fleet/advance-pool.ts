import {appendItems} from '@pistachiogauge/chain';
import {type PoolName, type PoolRecord} from '@pistachiogauge/model';
import {type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {getPoolPermissionExpiry} from '../membership/index.js';
import {runCalls} from './pool-calls.js';
import {createPoolView, type PoolView} from './pool-view.js';
import {clearReboot} from './fleet-state.js';
import {advanceStop} from './pool-stages.js';
import {startWrite} from './pool-write.js';
import {setPermit} from './permit.js';
import {advanceWave} from './wave.js';

/**
Advances an owned pool: runs queued operator calls, then the planned stops and the maintenance wave.

All steps of one call are combined into one write of the pool record. Nothing is decided while the outcome of an earlier write is unknown.

@internal
*/
export function advancePool(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool);
	if (owned?.isFenced !== true || owned.record === undefined || owned.pendingWrite !== undefined || getPoolPermissionExpiry(state, pool, context.now) === undefined) {
		return [];
	}

	const callOutputs = runCalls(state, pool, context);
	// An operator call may have started a write.
	if (owned.pendingWrite !== undefined || !state.membership.isStoreReached) {
		return callOutputs;
	}

	const outputs: Output[] = [...callOutputs];
	let {record} = owned;
	for (const [id, permit] of Object.entries(owned.record.permits)) {
		const step = advanceStop({
			state, owned, pool, id, permit, context,
		});
		appendItems(outputs, step.outputs);
		if (step.permit === permit) {
			continue;
		}

		record = setPermit(record, id, step.permit);
		if (step.permit === undefined) {
			clearReboot(owned, id);
			record = permit.reason === 'maintenance' ? recordMaintenance(record, id, context.wallTime) : record;
		}
	}

	record = updateMaintenanceTimes(createPoolView(state, pool, record, context), state, context);
	record = advanceWave(createPoolView(state, pool, record, context), context.wallTime);
	return record === owned.record ? outputs : [...outputs, ...startWrite(state, pool, {record, calls: []}, context)];
}

function recordMaintenance(record: PoolRecord, id: string, wallTime: number): PoolRecord {
	const {wave} = record;
	return {
		...record,
		maintained: {...record.maintained, [id]: wallTime},
		wave: wave === undefined || wave.state === 'done' ? wave : {...wave, done: [...wave.done, id]},
	};
}

/** Records a last maintenance time for every member: the one from its former pool, or the time at which it was first seen. Drops the times of instances that are no longer members. */
function updateMaintenanceTimes({record, members}: PoolView, state: EntryState, context: DecisionContext): PoolRecord {
	const memberIds = new Set(members.map(member => member.id));
	const missing = members.filter(member => record.maintained[member.id] === undefined);
	const isStale = Object.keys(record.maintained).some(id => !memberIds.has(id));
	if (missing.length === 0 && !isStale) {
		return record;
	}

	const kept = Object.entries(record.maintained).filter(([id]) => memberIds.has(id));
	const added = missing.map(({id}) => [id, state.fleet.instances.get(id)?.record?.maintainedAt ?? context.wallTime] as const);
	return {...record, maintained: Object.fromEntries([...kept, ...added])};
}
