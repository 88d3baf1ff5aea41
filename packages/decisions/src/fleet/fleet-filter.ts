import {appendItems} from '@pistachiogauge/chain';
import {type EventOf, type PoolName} from '@pistachiogauge/model';
import {type Filter, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {advancePool} from './advance-pool.js';
import {rebalancePool} from './automatic-moves.js';
import {type FleetOperation} from './fleet-state.js';
import {
	readInstanceRecords, applyInstanceRecord, applyInstanceRecords, applyInstanceList, updateOwnedRecords,
} from './instance-record.js';
import {
	startTakeover, handleFenceAnswer, finishTakeover, retryTakeover, writeFence,
} from './pool-takeover.js';
import {
	readRecord, rejectCall, retryWrite, handleReadAnswer, handleWriteAnswer,
} from './pool-write.js';
import {
	probeInstances, recordEndpointAnswer, recordProbeResult, recordRebootAnswer,
} from './probes.js';
import {routeCall} from './route-call.js';

const serverErrorStatus = 500;

type OperationHandler = (state: EntryState, pool: PoolName, answer: EventOf<'store-answered'>, context: DecisionContext, sentAt: number) => Output[];

const operationHandlers: Readonly<Record<FleetOperation['kind'], OperationHandler>> = {
	'fence-read': writeFence,
	'fence-write': handleFenceAnswer,
	'fence-instances': finishTakeover,
	'record-write': handleWriteAnswer,
	'record-read': handleReadAnswer,
};

/**
Manages the pools that this entry owns: their records in the store, their instances, which instances may receive work, and all planned stops.

@public
*/
export const fleetFilter: Filter = {
	name: 'fleet',
	handlers: {
		'store-reached': (state, _event, context) => [readInstanceRecords(state, context), ...readOwnedPools(state, context)],
		'instances-listed'(state, event, context) {
			applyInstanceList(state, event.instances, context);
			return updateOwnedRecords(state, context);
		},
		'store-changed'(state, event, context) {
			applyInstanceRecord(state, event, context);
			return [];
		},
		'store-answered'(state, event, context) {
			const sentAt = state.fleet.instanceReads.get(event.operationId);
			state.fleet.instanceReads.delete(event.operationId);
			if (sentAt !== undefined && event.result === 'applied') {
				applyInstanceRecords(state, event.entries, sentAt, context);
				return updateOwnedRecords(state, context);
			}

			return handleOperationAnswer(state, event, context);
		},
		'pool-acquired': (state, event, context) => startTakeover(state, event.pool, context),
		'pool-lost': (state, event) => releasePool(state, event.pool),
		'probe-ended'(state, event) {
			recordProbeResult(state, event);
			return [];
		},
		'endpoint-answered'(state, event) {
			if (event.status < serverErrorStatus) {
				recordEndpointAnswer(state, event.attemptId);
			}

			return [];
		},
		'reboot-ended'(state, event, context) {
			recordRebootAnswer(state, event, context);
			return [];
		},
		'operator-called': routeCall,
		tick(state, _event, context) {
			const outputs: Output[] = [];
			for (const [pool, owned] of state.fleet.owned) {
				appendItems(outputs, owned.isFenced ? runPool(state, pool, context) : retryTakeover(state, pool, context));
			}

			return outputs;
		},
	},
};

/** Reads the records of the owned pools after a store outage, to detect records that were lost or changed. */
function readOwnedPools(state: EntryState, context: DecisionContext): Output[] {
	return [...state.fleet.owned].flatMap(([pool, owned]) => owned.isFenced && owned.pendingOperation === undefined ? readRecord(state, pool, owned, context) : []);
}

function runPool(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	return [
		...probeInstances(state, pool, context),
		...retryWrite(state, pool, context),
		...advancePool(state, pool, context),
		...rebalancePool(state, pool, context),
	];
}

/** Passes a store answer to the pool that waits for it. Answers to superseded operations are ignored. */
function handleOperationAnswer(state: EntryState, event: EventOf<'store-answered'>, context: DecisionContext): Output[] {
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

/** Releases a pool that has a new owner and rejects its unanswered operator calls. The new owner continues from the pool record. */
function releasePool(state: EntryState, pool: PoolName): Output[] {
	const owned = state.fleet.owned.get(pool);
	state.fleet.owned.delete(pool);
	const undecidedCalls = owned?.pendingWrite?.hasAnsweredCalls === false ? owned.pendingWrite.calls.map(({call}) => call) : [];
	return [
		...undecidedCalls.flatMap(call => rejectCall(call, 504, 'the pool has a new owner; whether the change was made shows in its status')),
		...(owned?.calls ?? []).flatMap(call => rejectCall(call, 503, 'the pool has a new owner; nothing was done, try again')),
	];
}
