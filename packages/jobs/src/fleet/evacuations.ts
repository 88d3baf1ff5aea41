import {appendItems, emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {emitLog, type JobOutput} from '../filter.js';
import {type Machine} from '../model/index.js';
import {type FleetState, type OpenEvacuation} from './fleet-state.js';
import {
	hasOpenOrder, isEndpointNeeded, mayBeOrderedElsewhere, pauseOrders,
} from './order-machines.js';

/** Time for which running tasks are awaited before they are stopped for maintenance; about the duration of the longest task. @internal */
export const taskGraceMs = 5000;
/** An evacuation for a move is withdrawn after this time, and the machine stays in its pool; most tasks end within it. */
const moveEvacuationTimeoutMs = 4000;
/** A confirmed evacuation is withdrawn if the machine is not ordered within this time: what it was meant for is over. */
const orderDelayMs = 1000;
/** The same for maintenance, while tasks need the endpoint; longer than another machine of the wave is away. */
const maintenanceDelayMs = 2000;
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
	for (const [endpointId, evacuation] of fleet.evacuations) {
		const {request, requestedAt} = evacuation;
		const machine = machines.get(endpointId);
		if (machine === undefined && fleet.evacuatedIds.has(endpointId)) {
			fleet.evacuations.delete(endpointId);
			fleet.evacuatedIds.delete(endpointId);
			fleet.departedEndpoints.set(endpointId, {pool: request.pool, seenAt: now});
			continue;
		}

		const isInWave = [...fleet.waves.values()].some(({wave, maintained}) => wave.machines.includes(request.machine) && !maintained.has(request.machine));
		if (machine === undefined || !(hasOpenOrder(fleet, request.machine) || (isInWave ? isMaintenancePending : isMovePending)(fleet, evacuation, now))) {
			// Asked for again at once, it would be withdrawn for the same reason.
			if (fleet.evacuatedIds.has(endpointId) || isEndpointNeeded(fleet, request.pool, endpointId, now)) {
				pauseOrders(fleet, request.machine, now);
			}

			appendItems(outputs, withdrawEvacuation(fleet, endpointId, context));
			continue;
		}

		if (isInWave && !fleet.evacuatedIds.has(endpointId) && now > requestedAt + evacuationRenewalMs) {
			const dueAt = request.purpose === 'maintenance' ? request.dueAt : context.wallTime + taskGraceMs;
			appendItems(outputs, requestEvacuation(fleet, {
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

/** Whether a machine is still to be ordered to another pool. */
function isMovePending(fleet: FleetState, {request: {purpose, pool, machine, endpointId}, requestedAt, confirmedAt = requestedAt}: OpenEvacuation, now: number): boolean {
	if (mayBeOrderedElsewhere(fleet, machine, now)) {
		return true;
	}

	if (purpose !== 'move' || isEndpointNeeded(fleet, pool, endpointId, now)) {
		return false;
	}

	return fleet.evacuatedIds.has(endpointId)
		? now < Math.max(confirmedAt, fleet.ordersAllowedFrom) + orderDelayMs
		: now < requestedAt + moveEvacuationTimeoutMs && !fleet.poolsAwaitingMachines.has(pool);
}

/** Whether a machine of a wave is still to be maintained now. If a task that cannot be moved, the wave's limit or the service holds it up, it is given back to tasks that wait for it. */
function isMaintenancePending(fleet: FleetState, {request: {pool, machine, endpointId}, requestedAt, confirmedAt = requestedAt}: OpenEvacuation, now: number): boolean {
	const heldUpAt = fleet.evacuatedIds.has(endpointId)
		? Math.max(confirmedAt, fleet.ordersAllowedFrom) + maintenanceDelayMs
		: requestedAt + evacuationRenewalMs;
	return now <= heldUpAt || mayBeOrderedElsewhere(fleet, machine, now) || !isEndpointNeeded(fleet, pool, endpointId, now);
}

/** Lets the owner of a pool use an endpoint again. @internal */
export function withdrawEvacuation(fleet: FleetState, endpointId: string, {now}: DecisionContext): JobOutput[] {
	const evacuation = fleet.evacuations.get(endpointId);
	if (evacuation === undefined) {
		return [];
	}

	const {request: {pool, machine, purpose}, requestedAt} = evacuation;
	const wasConfirmed = fleet.evacuatedIds.delete(endpointId);
	fleet.evacuations.delete(endpointId);
	return [
		emitLog('info', 'evacuation of endpoint withdrawn', {
			endpoint: endpointId, machine, pool, purpose, wasConfirmed, isNeeded: isEndpointNeeded(fleet, pool, endpointId, now), ageMs: Math.round(now - requestedAt),
		}),
		emitEffect({kind: 'withdraw-evacuation', pool, endpointId}),
	];
}

/** Withdraws evacuations for moves out of a pool, so that it has up to the given number of endpoints more; machines that are ordered, or may be, stay evacuated. @internal */
export function returnEvacuatedMachines(fleet: FleetState, poolName: string, count: number, context: DecisionContext): JobOutput[] {
	return [...fleet.evacuations.values()]
		.filter(({request: {pool, purpose, machine}}) => pool === poolName && purpose === 'move' && !hasOpenOrder(fleet, machine) && !mayBeOrderedElsewhere(fleet, machine, context.now))
		.slice(0, count)
		.flatMap(({request: {endpointId}}) => withdrawEvacuation(fleet, endpointId, context));
}
