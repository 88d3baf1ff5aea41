import {type EventOf, type InstanceId, type PoolName} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {
	getObservation, getInstance, listPoolInstances, type InstanceObservation, type OwnedPool,
} from './fleet-state.js';

/** Probe interval for serving instances. Detects failures in a pool that gets no requests. */
const servingProbeIntervalMs = 5000;
/** Probe interval for instances that are joining, not known to be healthy, or returning from a planned stop. */
const transitionProbeIntervalMs = 500;

/** Sends the probes that are due in an owned pool. @internal */
export function probeInstances(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const outputs: Output[] = [];
	for (const [id, {listed}] of listPoolInstances(state, pool)) {
		if (listed === undefined) {
			continue;
		}

		const observation = getObservation(owned, id);
		if (context.now - observation.lastProbedAt >= getProbeIntervalMs(owned, id, observation)) {
			observation.lastProbedAt = context.now;
			outputs.push(emitEffect({kind: 'probe-endpoint', instanceId: id, address: listed.address}));
		}
	}

	return outputs;
}

function getProbeIntervalMs(owned: OwnedPool, id: InstanceId, observation: InstanceObservation): number {
	const isInTransition = owned.joining.has(id) || observation.isHealthy !== true || owned.record?.permits[id]?.stage === 'returning';
	return isInTransition ? transitionProbeIntervalMs : servingProbeIntervalMs;
}

/** Records the result of a probe. After a healthy one, a live instance that is joining the pool may get work. @internal */
export function recordProbeResult(state: EntryState, event: EventOf<'probe-ended'>): void {
	const owned = findOwnedPool(state, event.instanceId);
	if (owned === undefined) {
		return;
	}

	const observation = getObservation(owned, event.instanceId);
	observation.isHealthy = event.isHealthy;
	observation.consecutiveHealthyProbes = event.isHealthy ? observation.consecutiveHealthyProbes + 1 : 0;
	if (!event.isHealthy && observation.rebootAcceptedAt !== undefined) {
		observation.hasFailedSinceReboot = true;
	}

	if (event.isHealthy && getInstance(state, event.instanceId).listed?.state === 'live') {
		owned.joining.delete(event.instanceId);
	}
}

/** Records a complete answer of an endpoint, which proves like a healthy probe that the instance serves. @internal */
export function recordEndpointAnswer(state: EntryState, attemptId: string): void {
	const instanceId = state.dispatch.attempts.get(attemptId)?.instanceId;
	const owned = instanceId === undefined ? undefined : findOwnedPool(state, instanceId);
	if (owned !== undefined) {
		getObservation(owned, instanceId!).isHealthy = true;
	}
}

/** Records the platform's answer to a reboot request. A refused reboot is requested again. @internal */
export function recordRebootAnswer(state: EntryState, event: EventOf<'reboot-ended'>, context: DecisionContext): void {
	const owned = findOwnedPool(state, event.instanceId);
	if (owned?.record?.permits[event.instanceId]?.stage !== 'rebooting' || !event.isAccepted) {
		return;
	}

	const observation = getObservation(owned, event.instanceId);
	observation.rebootAcceptedAt = context.now;
	observation.hasFailedSinceReboot = false;
	observation.consecutiveHealthyProbes = 0;
}

function findOwnedPool(state: EntryState, id: InstanceId): OwnedPool | undefined {
	const pool = state.fleet.instances.get(id)?.record?.pool;
	return pool === undefined ? undefined : state.fleet.owned.get(pool);
}
