import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {emitLog, type JobOutput} from '../filter.js';
import {type Machine} from '../model/index.js';
import {type FleetState} from './fleet-state.js';
import {hasOpenOrder} from './order-machines.js';

/** Time for which running tasks are awaited before they are stopped for maintenance; about the duration of the longest task. @internal */
export const taskGraceMs = 5000;
/** An evacuation for a move is withdrawn after this time, and the machine stays in its pool; most tasks end within it. */
const moveEvacuationTimeoutMs = 4000;
/** An evacuation that has not been confirmed is requested again after this time, as the request or the confirmation may have been lost. */
const evacuationRenewalMs = 6000;
/** The records of an evacuated endpoint stay for this time after its machine has left it: they tell a new owner of the pool, whose roster may still name the endpoint, that nothing runs there. A roster is written within a second, and a takeover without the store's help takes some more. */
const departureRecordMs = 7000;

/** Asks a pool's owner to evacuate an endpoint. @internal */
export function requestEvacuation(
	fleet: FleetState,
	{machine, endpointId, purpose, dueAt}: {readonly machine: Machine; readonly endpointId: string; readonly purpose: 'maintenance' | 'move'; readonly dueAt: number},
	context: DecisionContext,
): JobOutput[] {
	fleet.evacuationCount += 1;
	const request = {
		requestId: `${fleet.token}-${fleet.evacuationCount}`, pool: machine.pool, endpointId, machine: machine.name, purpose, dueAt,
	};
	fleet.evacuations.set(endpointId, {request, requestedAt: context.now});
	// Its machine is back, and the records belong to the new request.
	fleet.departedEndpoints.delete(endpointId);
	return [
		emitLog('info', 'evacuation of endpoint requested', {
			endpoint: endpointId, machine: machine.name, pool: machine.pool, purpose,
		}),
		emitEffect({kind: 'request-evacuation', request}),
	];
}

/** Withdraws evacuations whose machine has been moved or maintained, or no longer needs to be, and renews those that are not confirmed. @internal */
export function updateEvacuations({fleet}: {readonly fleet: FleetState}, context: DecisionContext): JobOutput[] {
	const {now} = context;
	const outputs: JobOutput[] = [];
	const machines = new Map([...fleet.machines.values()].map(machine => [machine.endpointId, machine]));
	for (const [endpointId, {request, requestedAt}] of fleet.evacuations) {
		const machine = machines.get(endpointId);
		const isMoving = request.purpose === 'move' && (fleet.evacuatedIds.has(endpointId) || (now < requestedAt + moveEvacuationTimeoutMs && !fleet.poolsAwaitingMachines.has(request.pool)));
		const isInWave = [...fleet.waves.values()].some(({wave, maintained}) => wave.machines.includes(request.machine) && !maintained.has(request.machine));
		if (machine === undefined || !(isMoving || isInWave || hasOpenOrder(fleet, request.machine))) {
			const isDeparted = machine === undefined && fleet.evacuatedIds.has(endpointId);
			fleet.evacuations.delete(endpointId);
			fleet.evacuatedIds.delete(endpointId);
			if (isDeparted) {
				fleet.departedEndpoints.set(endpointId, {pool: request.pool, seenAt: now});
				continue;
			}

			outputs.push(
				emitLog('info', 'evacuation of endpoint withdrawn', {
					endpoint: endpointId, machine: request.machine, pool: request.pool, purpose: request.purpose, ageMs: Math.round(now - requestedAt),
				}),
				emitEffect({kind: 'withdraw-evacuation', pool: request.pool, endpointId}),
			);
			continue;
		}

		if (isInWave && !fleet.evacuatedIds.has(endpointId) && now > requestedAt + evacuationRenewalMs) {
			const dueAt = request.purpose === 'maintenance' ? request.dueAt : context.wallTime + taskGraceMs;
			outputs.push(...requestEvacuation(fleet, {
				machine, endpointId, purpose: 'maintenance', dueAt,
			}, context));
		}
	}

	for (const [endpointId, {pool, seenAt}] of fleet.departedEndpoints) {
		if (now > seenAt + departureRecordMs) {
			fleet.departedEndpoints.delete(endpointId);
			outputs.push(emitEffect({kind: 'withdraw-evacuation', pool, endpointId}));
		}
	}

	return outputs;
}
