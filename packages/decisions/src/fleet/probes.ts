import {type EventOf, type InstanceId, type PoolName} from '@pistachiogauge/model';
import {emitEffect, type Output} from '../chain.js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';
import {
	getObservation, getInstance, listPoolInstances, type InstanceObservation, type OwnedPool,
} from './fleet-state.js';

/** Interval of probes at instances that serve: finds failures in a pool without requests. */
const servingProbeMs = 5000;
/** Interval of probes at instances whose state decides about a planned stop. */
const waitingProbeMs = 500;

/** Asks for the probes that are due in an owned pool. @internal */
export function probeInstances(state: EntryState, pool: PoolName, context: DecisionContext): Output[] {
	const owned = state.fleet.owned.get(pool)!;
	const outputs: Output[] = [];
	for (const [id, {listed}] of listPoolInstances(state, pool)) {
		if (listed === undefined) {
			continue;
		}

		const evidence = getObservation(owned, id);
		if (context.now - evidence.askedAt >= getInterval(owned, id, evidence)) {
			evidence.askedAt = context.now;
			outputs.push(emitEffect({kind: 'probe-endpoint', instanceId: id, address: listed.address}));
		}
	}

	return outputs;
}

function getInterval(owned: OwnedPool, id: InstanceId, evidence: InstanceObservation): number {
	const isWaitedFor = owned.joining.has(id) || evidence.isHealthy !== true || owned.record?.permits[id]?.stage === 'returning';
	return isWaitedFor ? waitingProbeMs : servingProbeMs;
}

/** Takes the answer to a probe as evidence. @internal */
export function recordProbe(state: EntryState, event: EventOf<'probe-ended'>): void {
	const owned = findOwner(state, event.instanceId);
	if (owned === undefined) {
		return;
	}

	const evidence = getObservation(owned, event.instanceId);
	evidence.isHealthy = event.isHealthy;
	evidence.healthyInRow = event.isHealthy ? evidence.healthyInRow + 1 : 0;
	if (!event.isHealthy && evidence.rebootAcceptedAt !== undefined) {
		evidence.hasBeenDown = true;
	}

	if (event.isHealthy && getInstance(state, event.instanceId).listed?.state === 'live') {
		owned.joining.delete(event.instanceId);
	}
}

/** A whole answer of an endpoint shows as well as a probe that the instance serves. @internal */
export function recordAnswer(state: EntryState, attemptId: string): void {
	const instanceId = state.dispatch.attempts.get(attemptId)?.instanceId;
	const owned = instanceId === undefined ? undefined : findOwner(state, instanceId);
	if (owned !== undefined) {
		getObservation(owned, instanceId!).isHealthy = true;
	}
}

/** Takes the platform's answer to a reboot. A refused one is asked for again. @internal */
export function recordReboot(state: EntryState, event: EventOf<'reboot-ended'>, context: DecisionContext): void {
	const owned = findOwner(state, event.instanceId);
	if (owned?.record?.permits[event.instanceId]?.stage !== 'rebooting' || !event.isAccepted) {
		return;
	}

	const evidence = getObservation(owned, event.instanceId);
	evidence.rebootAcceptedAt = context.now;
	evidence.hasBeenDown = false;
	evidence.healthyInRow = 0;
}

function findOwner(state: EntryState, id: InstanceId): OwnedPool | undefined {
	const pool = state.fleet.instances.get(id)?.record?.pool;
	return pool === undefined ? undefined : state.fleet.owned.get(pool);
}
