import {type EventOf, type PoolName} from '@pistachiogauge/model';
import {type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {advancePool} from './advance-pool.js';
import {balancePool} from './automatic-moves.js';
import {type FleetOperation} from './fleet-state.js';
import {
	readInstanceRecords, updateInstanceRecord, updateInstanceRecords, updateList, updateRecords,
} from './instance-record.js';
import {
	acquirePool, finishFence, openPool, retryFence, writeFence,
} from './pool-fence.js';
import {
	readRecord, refuseCall, retryWrite, settleRead, settleWrite,
} from './pool-write.js';
import {
	probeInstances, recordAnswer, recordProbe, recordReboot,
} from './probes.js';
import {routeCall} from './route-call.js';

const serverErrorStatus = 500;

type OperationHandler = (state: EntryState, pool: PoolName, answer: EventOf<'store-answered'>, context: DecisionContext, sentAt: number) => Output[];

const operationHandlers: Readonly<Record<FleetOperation['kind'], OperationHandler>> = {
	'fence-read': writeFence,
	'fence-write': finishFence,
	'fence-instances': openPool,
	'record-write': settleWrite,
	'record-read': settleRead,
};

/**
Keeps the pools that this entry owns: their record in the store, their instances and who of them may get work, and every planned stop.

@public
*/
export const fleetFilter: Filter = {
	name: 'fleet',
	handlers: {
		'store-reached': (state, _event, context) => [readInstanceRecords(state, context), ...checkPools(state, context)],
		'instances-listed'(state, event, context) {
			updateList(state, event.instances, context);
			return updateRecords(state, context);
		},
		'store-changed'(state, event, context) {
			updateInstanceRecord(state, event, context);
			return [];
		},
		'store-answered'(state, event, context) {
			const sentAt = state.fleet.instanceReads.get(event.operationId);
			state.fleet.instanceReads.delete(event.operationId);
			if (sentAt !== undefined && event.result === 'applied') {
				updateInstanceRecords(state, event.entries, sentAt, context);
				return updateRecords(state, context);
			}

			return settleOperation(state, event, context);
		},
		'pool-acquired': (state, event, context) => acquirePool(state, event.pool, context),
		'pool-lost': (state, event) => releasePool(state, event.pool),
		'probe-ended'(state, event) {
			recordProbe(state, event);
			return [];
		},
		'endpoint-answered'(state, event) {
			if (event.status < serverErrorStatus) {
				recordAnswer(state, event.attemptId);
			}

			return [];
		},
		'reboot-ended'(state, event, context) {
			recordReboot(state, event, context);
			return [];
		},
		'operator-called': routeCall,
		tick(state, _event, context) {
			const outputs: Output[] = [];
			for (const [pool, owned] of state.fleet.owned) {
				outputs.push(...(owned.isFenced ? runPool(state, pool, context) : retryFence(state, pool, context)));
			}

			return outputs;
		},
	},
};

/** Finds out after an outage whether the store still holds the records of the owned pools. */
function checkPools(state: EntryState, context: DecisionContext): Output[] {
	return [...state.fleet.owned].flatMap(([pool, owned]) => owned.isFenced && owned.pendingOperation === undefined ? readRecord(state, pool, owned, context) : []);
}

function runPool(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	return [
		...probeInstances(state, pool, context),
		...retryWrite(state, pool, context),
		...advancePool(state, pool, context),
		...balancePool(state, pool, context),
	];
}

/** Hands an answer of the store to its pool; answers that the pool no longer waits for are dropped. */
function settleOperation(state: EntryState, event: EventOf<'store-answered'>, context: DecisionContext): Output[] {
	const {operations, owned} = state.fleet;
	const operation = operations.get(event.operationId);
	operations.delete(event.operationId);
	const pool = operation === undefined ? undefined : owned.get(operation.pool);
	if (operation === undefined || pool?.pendingOperation !== event.operationId) {
		return [];
	}

	pool.pendingOperation = undefined;
	return operationHandlers[operation.kind](state, operation.pool, event, context, operation.sentAt);
}

/** Ends the work for a pool that has a new owner; the new one goes on from the pool's record. */
function releasePool(state: EntryState, pool: PoolName): Output[] {
	const owned = state.fleet.owned.get(pool);
	state.fleet.owned.delete(pool);
	const written = owned?.pendingWrite?.hasAnswered === false ? owned.pendingWrite.calls.map(({call}) => call) : [];
	return [
		...written.flatMap(call => refuseCall(call, 504, 'the pool has a new owner; whether the change was made shows in its status')),
		...(owned?.calls ?? []).flatMap(call => refuseCall(call, 503, 'the pool has a new owner; nothing was done, try again')),
	];
}
