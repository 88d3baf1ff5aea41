import {
	type InstanceId, type Permit, type PermitReason, type PermitStage, type PoolName,
} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {
	getObservation, getInstance, type InstanceObservation, type OwnedPool,
} from './fleet-state.js';
import {readInstanceRecords, writeInstanceRecord} from './instance-record.js';
import {countOutOfService, createPoolView} from './pool-view.js';

const retryPauseMs = 1000;
/** Healthy answers in a row that show that an instance serves. One could be the late answer to an earlier probe. */
const healthyAnswersNeeded = 2;
/** A reboot begins some time after the platform has accepted it; answers before that say nothing. */
const rebootSettleMs = 10_000;

/** A planned stop whose next step is to be decided. @internal */
export type PlannedStop = {
	readonly state: EntryState;
	readonly owned: OwnedPool;
	readonly pool: PoolName;
	readonly id: InstanceId;
	readonly permit: Permit;
	readonly context: DecisionContext;
};

/** Next step of a planned stop. Without a permit, it is given back. @internal */
export type StopStep = {
	readonly permit: Permit | undefined;
	readonly outputs: readonly Output[];
};

type StageHandler = (stop: PlannedStop) => StopStep;

const stageAfterDrain: Readonly<Record<PermitReason, PermitStage>> = {
	'operator-drain': 'stopped',
	maintenance: 'rebooting',
	move: 'stopped',
	unhealthy: 'returning',
};

const stageHandlers: Readonly<Record<PermitStage, StageHandler>> = {
	draining: stop => findDrainBlock(stop) === undefined ? setStage(stop, stageAfterDrain[stop.permit.reason]) : keepStage(stop),
	stopped: stop => stop.permit.reason === 'move' ? updateInstancePool(stop) : keepStage(stop),
	rebooting: stop => getObservation(stop.owned, stop.id).rebootAcceptedAt === undefined ? requestReboot(stop) : setStage(stop, 'returning'),
	returning: stop => findReturnBlock(stop) === undefined ? {permit: undefined, outputs: []} : keepStage(stop),
};

/** Decides the next step of a planned stop. An instance that has left the pool needs no permit. @internal */
export function advanceStop(stop: PlannedStop): StopStep {
	const {record} = getInstance(stop.state, stop.id);
	if (record !== undefined && (record.pool !== stop.pool || record.hasLeft === true)) {
		return {permit: undefined, outputs: []};
	}

	return stageHandlers[stop.permit.stage](stop);
}

/** Says what a planned stop waits for; undefined when its next step can be taken. @internal */
export function describeBlock(stop: PlannedStop): string | undefined {
	if (!stop.state.membership.isStoreReached) {
		return 'the store is not reached';
	}

	return blockDescribers[stop.permit.stage](stop);
}

const blockDescribers: Readonly<Record<PermitStage, (stop: PlannedStop) => string | undefined>> = {
	draining: stop => findDrainBlock(stop),
	stopped: stop => stop.permit.reason === 'move' ? findMoveBlock(stop) : 'an operator has to end the drain (undrain)',
	rebooting: () => 'the platform has not accepted the reboot yet',
	returning: stop => findReturnBlock(stop),
};

function findDrainBlock({
	state, owned, pool, id, context,
}: PlannedStop): string | undefined {
	let running = 0;
	let oldestStart = context.now;
	for (const attempt of state.dispatch.attempts.values()) {
		if (attempt.instanceId === id) {
			running += 1;
			oldestStart = Math.min(oldestStart, attempt.startedAt);
		}
	}

	if (running > 0) {
		return `${running} requests run at it, the oldest for ${formatSeconds(context.now - oldestStart)}`;
	}

	const held = state.dispatch.busySlots.get(id) ?? 0;
	if (held > 0) {
		return `${held} requests ended without an answer and may still run at it`;
	}

	if (context.now < owned.quietAt) {
		return `requests of the pool's former owner may run at it for another ${formatSeconds(owned.quietAt - context.now)}`;
	}

	return findBudgetBlock({
		state, owned, pool, context,
	});
}

/** A permit can be recorded late, by a write that a slow store applied after instances had failed. Such a drain goes no further until the pool has recovered. */
function findBudgetBlock({
	state, owned, pool, context,
}: Pick<PlannedStop, 'state' | 'owned' | 'pool' | 'context'>): string | undefined {
	const view = createPoolView(state, pool, owned.record!, context);
	const budget = view.declaration?.budget ?? 0;
	const out = countOutOfService(view);
	return out > budget ? `${out} instances of the pool are out of service and its budget is ${budget}` : undefined;
}

function findMoveBlock({state, permit}: PlannedStop): string | undefined {
	const target = permit.targetPool ?? '';
	return state.bundle.current?.pools[target] === undefined ? `the bundle in force does not declare the target pool ${target}` : undefined;
}

function findReturnBlock({
	state, owned, id, permit, context,
}: PlannedStop): string | undefined {
	const evidence = getObservation(owned, id);
	if (getInstance(state, id).listed?.state !== 'live') {
		return 'the instance list does not show it as live';
	}

	if (permit.reason === 'maintenance' && !evidence.hasBeenDown) {
		const settledAt = (evidence.rebootAcceptedAt ?? owned.acquiredAt) + rebootSettleMs;
		if (context.now < settledAt) {
			return `its reboot may not have begun; probes count in ${formatSeconds(settledAt - context.now)}`;
		}
	}

	if (evidence.healthyInRow >= healthyAnswersNeeded) {
		return undefined;
	}

	return evidence.isHealthy === true ? 'one more healthy probe is needed' : 'it does not answer probes';
}

/** Writes the new pool into the instance record. Reading the record decides, so this can be repeated at any time. */
function updateInstancePool(stop: PlannedStop): StopStep {
	const {
		state, owned, id, permit, context,
	} = stop;
	const instance = getInstance(state, id);
	if (instance.record === undefined || context.now < instance.nextWriteAt || findMoveBlock(stop) !== undefined) {
		return keepStage(stop);
	}

	instance.nextWriteAt = context.now + retryPauseMs;
	const record = {
		...instance.record, pool: permit.targetPool!, moves: instance.record.moves + 1, maintainedAt: owned.record?.maintained[id],
	};
	return {permit, outputs: [writeInstanceRecord(state, id, record), readInstanceRecords(state, context)]};
}

function requestReboot(stop: PlannedStop): StopStep {
	const evidence = getObservation(stop.owned, stop.id);
	if (evidence.rebootAskedAt !== undefined && stop.context.now < evidence.rebootAskedAt + retryPauseMs) {
		return keepStage(stop);
	}

	evidence.rebootAskedAt = stop.context.now;
	return {permit: stop.permit, outputs: [emitEffect({kind: 'reboot-instance', instanceId: stop.id})]};
}

function keepStage({permit}: PlannedStop): StopStep {
	return {permit, outputs: []};
}

function setStage({owned, id, permit}: PlannedStop, stage: PermitStage): StopStep {
	removeEvidence(getObservation(owned, id));
	return {permit: {...permit, stage}, outputs: []};
}

/** Answers from before a change of stage are no evidence for the stage after it. @internal */
export function removeEvidence(evidence: InstanceObservation): void {
	evidence.healthyInRow = 0;
}

function formatSeconds(timeMs: number): string {
	return `${(timeMs / 1000).toFixed(1)} s`;
}
