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

const retryDelayMs = 1000;
/** Healthy probes in a row after which an instance counts as serving. A single one could be the late answer to an earlier probe. */
const requiredHealthyProbes = 2;
/** A reboot begins some time after the platform has accepted it; healthy probes before that prove nothing. */
const rebootStartDelayMs = 10_000;

/** A planned stop of one instance (for example a drain, a maintenance reboot or a move) as its permit records it, with the context needed to decide its next step. @internal */
export type PlannedStop = {
	readonly state: EntryState;
	readonly owned: OwnedPool;
	readonly pool: PoolName;
	readonly id: InstanceId;
	readonly permit: Permit;
	readonly context: DecisionContext;
};

/** Next step of a planned stop. An undefined permit is released. @internal */
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
	draining: stop => findDrainBlocker(stop) === undefined ? setStage(stop, stageAfterDrain[stop.permit.reason]) : keepStage(stop),
	stopped: stop => stop.permit.reason === 'move' ? writeTargetPool(stop) : keepStage(stop),
	rebooting: stop => getObservation(stop.owned, stop.id).rebootAcceptedAt === undefined ? requestReboot(stop) : setStage(stop, 'returning'),
	returning: stop => findReturnBlocker(stop) === undefined ? {permit: undefined, outputs: []} : keepStage(stop),
};

/** Decides the next step of a planned stop. The permit of an instance that has left the pool is released. @internal */
export function advanceStop(stop: PlannedStop): StopStep {
	const {record} = getInstance(stop.state, stop.id);
	if (record !== undefined && (record.pool !== stop.pool || record.hasLeft === true)) {
		return {permit: undefined, outputs: []};
	}

	return stageHandlers[stop.permit.stage](stop);
}

/** Describes what blocks a planned stop; undefined when its next step can be taken. @internal */
export function describeBlocker(stop: PlannedStop): string | undefined {
	if (!stop.state.membership.isStoreReached) {
		return 'the store is not reached';
	}

	return blockerDescribers[stop.permit.stage](stop);
}

const blockerDescribers: Readonly<Record<PermitStage, (stop: PlannedStop) => string | undefined>> = {
	draining: stop => findDrainBlocker(stop),
	stopped: stop => stop.permit.reason === 'move' ? findMoveBlocker(stop) : 'an operator has to end the drain (undrain)',
	rebooting: () => 'the platform has not accepted the reboot yet',
	returning: stop => findReturnBlocker(stop),
};

function findDrainBlocker({
	state, owned, pool, id, context,
}: PlannedStop): string | undefined {
	let running = 0;
	let oldestStartedAt = context.now;
	for (const attempt of state.dispatch.attempts.values()) {
		if (attempt.instanceId === id) {
			running += 1;
			oldestStartedAt = Math.min(oldestStartedAt, attempt.startedAt);
		}
	}

	if (running > 0) {
		return `${running} requests run at it, the oldest for ${formatSeconds(context.now - oldestStartedAt)}`;
	}

	const heldSlots = state.dispatch.busySlots.get(id) ?? 0;
	if (heldSlots > 0) {
		return `${heldSlots} requests ended without an answer and may still run at it`;
	}

	if (context.now < owned.formerRequestsEndAt) {
		return `requests of the pool's former owner may run at it for another ${formatSeconds(owned.formerRequestsEndAt - context.now)}`;
	}

	return findBudgetBlocker({
		state, owned, pool, context,
	});
}

/** A slow store can record a permit after other instances have failed, which exceeds the budget. Such a drain is held until the pool has recovered. */
function findBudgetBlocker({
	state, owned, pool, context,
}: Pick<PlannedStop, 'state' | 'owned' | 'pool' | 'context'>): string | undefined {
	const view = createPoolView(state, pool, owned.record!, context);
	const budget = view.declaration?.budget ?? 0;
	const outOfService = countOutOfService(view);
	return outOfService > budget ? `${outOfService} instances of the pool are out of service and its budget is ${budget}` : undefined;
}

function findMoveBlocker({state, permit}: PlannedStop): string | undefined {
	const target = permit.targetPool ?? '';
	return state.bundle.current?.pools[target] === undefined ? `the bundle in force does not declare the target pool ${target}` : undefined;
}

function findReturnBlocker({
	state, owned, id, permit, context,
}: PlannedStop): string | undefined {
	const observation = getObservation(owned, id);
	if (getInstance(state, id).listed?.state !== 'live') {
		return 'the instance list does not show it as live';
	}

	if (permit.reason === 'maintenance' && !observation.hasFailedSinceReboot) {
		const probesCountAt = (observation.rebootAcceptedAt ?? owned.acquiredAt) + rebootStartDelayMs;
		if (context.now < probesCountAt) {
			return `its reboot may not have begun; probes count in ${formatSeconds(probesCountAt - context.now)}`;
		}
	}

	if (observation.consecutiveHealthyProbes >= requiredHealthyProbes) {
		return undefined;
	}

	return observation.isHealthy === true ? 'one more healthy probe is needed' : 'it does not answer probes';
}

/** Writes the target pool into the instance record. The record is read back to learn the outcome, so the write can be repeated at any time. */
function writeTargetPool(stop: PlannedStop): StopStep {
	const {
		state, owned, id, permit, context,
	} = stop;
	const instance = getInstance(state, id);
	if (instance.record === undefined || context.now < instance.nextRecordWriteAt || findMoveBlocker(stop) !== undefined) {
		return keepStage(stop);
	}

	instance.nextRecordWriteAt = context.now + retryDelayMs;
	const record = {
		...instance.record, pool: permit.targetPool!, moves: instance.record.moves + 1, maintainedAt: owned.record?.maintained[id],
	};
	return {permit, outputs: [writeInstanceRecord(state, id, record), readInstanceRecords(state, context)]};
}

function requestReboot(stop: PlannedStop): StopStep {
	const observation = getObservation(stop.owned, stop.id);
	if (observation.rebootRequestedAt !== undefined && stop.context.now < observation.rebootRequestedAt + retryDelayMs) {
		return keepStage(stop);
	}

	observation.rebootRequestedAt = stop.context.now;
	return {permit: stop.permit, outputs: [emitEffect({kind: 'reboot-instance', instanceId: stop.id})]};
}

function keepStage({permit}: PlannedStop): StopStep {
	return {permit, outputs: []};
}

function setStage({owned, id, permit}: PlannedStop, stage: PermitStage): StopStep {
	resetHealthyProbes(getObservation(owned, id));
	return {permit: {...permit, stage}, outputs: []};
}

/** Resets the count of healthy probes, since probes from before a change of stage prove nothing about the new stage. @internal */
export function resetHealthyProbes(observation: InstanceObservation): void {
	observation.consecutiveHealthyProbes = 0;
}

function formatSeconds(timeMs: number): string {
	return `${(timeMs / 1000).toFixed(1)} s`;
}
