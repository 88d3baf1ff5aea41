import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {emitLog, type JobOutput} from '../filter.js';
import {type Machine, type PoolReport} from '../model/index.js';
import {type FleetState, type WaveProgress} from './fleet-state.js';
import {
	canOrderMachines, hasOpenOrder, mayBeOrderedElsewhere, orderMachine,
} from './order-machines.js';

/** Maximum share of a pool that is evacuated at once, so that the other machines can carry its work. */
const maxEvacuatedPoolShare = 0.34;
/** Time to evacuate and maintain a busy machine until it works again. */
const busyRoundMs = 4500;
/** Time to maintain a machine that is idle or switched off. */
const idleRoundMs = 3000;
/** A wave is to finish this long before its deadline; a takeover of the fleet claim by another entry takes 5 s. */
const waveMarginMs = 6000;
/** Time for which running tasks are awaited before they are stopped for maintenance; about the duration of the longest task. */
const taskGraceMs = 5000;

type State = {readonly fleet: FleetState} & AuthorityView & ConfigurationView;

/** Has the machines of all waves maintained, before each wave's deadline and within its limit. @internal */
export function runWaves(state: State, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	if (fleet.token === undefined || fleet.listedAt === undefined) {
		return [];
	}

	return [...fleet.waves.values()]
		.sort((left, right) => getDeadline(left) - getDeadline(right))
		.flatMap(wave => wave.status === 'done' && !wave.hasUnwrittenStatus ? [] : runWave(state, wave, context));
}

function getDeadline({wave, seenAt}: WaveProgress): number {
	return seenAt + wave.durationMs;
}

function runWave(state: State, progress: WaveProgress, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	const {wave} = progress;
	const outputs: JobOutput[] = [];
	// Machines that have left the fleet need no maintenance.
	const remaining = wave.machines
		.filter(name => !progress.maintained.has(name))
		.map(name => fleet.machines.get(name))
		.filter(machine => machine !== undefined);
	if (progress.status !== 'done') {
		const status = remaining.length === 0 ? 'done' : 'running';
		if (status !== progress.status) {
			progress.status = status;
			progress.hasUnwrittenStatus = true;
			outputs.push(emitLog('info', 'status of maintenance wave changed', {
				wave: wave.number, status, maintained: progress.maintained.size, machines: wave.machines.length, limit: wave.downLimit, durationMs: wave.durationMs, ageMs: Math.round(context.wallTime - progress.seenAt),
			}));
		}
	}

	if (progress.hasUnwrittenStatus && !progress.isWritingStatus) {
		progress.isWritingStatus = true;
		progress.hasUnwrittenStatus = false;
		outputs.push(emitEffect({
			kind: 'write-wave-status', number: wave.number, status: progress.status === 'done' ? 'done' : 'running', maintained: [...progress.maintained],
		}));
	}

	// A machine that the previous holder has ordered may go down after the list was read.
	let downCount = wave.machines.filter(name => hasOpenOrder(fleet, name) || mayBeOrderedElsewhere(fleet, name, context.now) || (fleet.machines.get(name)?.state ?? 'up') === 'maintenance').length;
	// While a pool is short of machines, a wave that has time left leaves those that are switched off to it.
	const canWait = fleet.hasShortage && !isDeadlineNear(state, progress, remaining, idleRoundMs, context);
	for (const machine of remaining) {
		if (canWait && isSparePool(state, machine.pool)) {
			continue;
		}

		// An order that is sent again because it may not have been carried out counts already.
		const isCounted = hasOpenOrder(fleet, machine.name);
		if ((isCounted || downCount < wave.downLimit) && canOrderMachines(state, context) && isReadyForMaintenance(state, machine)) {
			const ordered = orderMachine(state, machine, {order: 'maintain', pool: machine.pool, wave: wave.number}, context);
			downCount += ordered.length > 0 && !isCounted ? 1 : 0;
			outputs.push(...ordered);
		}
	}

	return [...outputs, ...evacuateNext(state, progress, sortByUrgency(fleet, remaining), context)];
}

/** Sorts machines by when their evacuation should begin: dispensable ones (see `isDispensable`) first, and of these the ones with long-running tasks, which are moved one after the other; machines of pools whose work waits for machines last. */
function sortByUrgency(fleet: FleetState, machines: readonly Machine[]): Machine[] {
	const rank = ({pool, endpointId}: Machine) => {
		const report = fleet.reports.get(pool)?.report;
		if (report !== undefined && endpointId !== undefined && isDispensable(report, endpointId)) {
			return hasLongRunningTasks(report, endpointId) ? 0 : 1;
		}

		return fleet.poolsAwaitingMachines.has(pool) ? 3 : 2;
	};

	return [...machines].sort((left, right) => rank(left) - rank(right));
}

/** Whether a wave must proceed now to finish in time. */
function isDeadlineNear(state: State, {wave, seenAt}: WaveProgress, remaining: readonly Machine[], machineMs: number, {wallTime}: DecisionContext): boolean {
	return wallTime > seenAt + wave.durationMs - (countRounds(state, wave, remaining) * machineMs) - waveMarginMs;
}

/** Whether nothing runs on a machine: its pool's owner has confirmed that, or the machine is switched off. */
function isReadyForMaintenance({fleet, configuration}: State, machine: Machine): boolean {
	if (machine.state !== 'up') {
		return false;
	}

	return isSparePool({configuration}, machine.pool) || (machine.endpointId !== undefined && fleet.evacuatedIds.has(machine.endpointId));
}

/** Whether machines in a pool are switched off. @internal */
export function isSparePool({configuration}: ConfigurationView, pool: string): boolean {
	return configuration.current?.pools.find(({name}) => name === pool)?.isSpare === true;
}

/** Requests the evacuation of machines ahead of their maintenance: dispensable ones at any time, others as late as the wave's deadline allows. */
function evacuateNext(state: State, progress: WaveProgress, remaining: readonly Machine[], context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	const {wave, seenAt} = progress;
	const outputs: JobOutput[] = [];
	const countsByPool = new Map<string, number>();
	let pendingEvacuationCount = 0;
	for (const {request} of fleet.evacuations.values()) {
		if (request.purpose === 'maintenance') {
			countsByPool.set(request.pool, (countsByPool.get(request.pool) ?? 0) + 1);
			pendingEvacuationCount += 1;
		}
	}

	const canTakeBusy = isDeadlineNear(state, progress, remaining, busyRoundMs, context);
	for (const machine of remaining) {
		const {endpointId, pool} = machine;
		if (machine.state !== 'up' || endpointId === undefined || isSparePool(state, pool) || fleet.evacuations.has(endpointId)) {
			continue;
		}

		const size = [...fleet.machines.values()].filter(other => other.pool === pool).length;
		const limit = Math.max(1, Math.floor(size * maxEvacuatedPoolShare));
		if ((countsByPool.get(pool) ?? 0) >= limit || pendingEvacuationCount >= wave.downLimit * 2 || (!canTakeBusy && !isDispensableMachine(fleet, pool, endpointId))) {
			continue;
		}

		countsByPool.set(pool, (countsByPool.get(pool) ?? 0) + 1);
		pendingEvacuationCount += 1;
		outputs.push(...requestEvacuation(fleet, {
			machine, endpointId, purpose: 'maintenance', dueAt: Math.min(context.wallTime + taskGraceMs, seenAt + wave.durationMs),
		}, context));
	}

	return outputs;
}

/** Counts the rounds of maintenance that the remaining machines of a wave may take, given the wave's limit and the number of machines that may be evacuated in each pool. */
function countRounds({fleet}: State, wave: WaveProgress['wave'], remaining: readonly Machine[]): number {
	const countsByPool = new Map<string, number>();
	for (const machine of remaining) {
		countsByPool.set(machine.pool, (countsByPool.get(machine.pool) ?? 0) + 1);
	}

	let rounds = Math.ceil(remaining.length / wave.downLimit);
	for (const [pool, count] of countsByPool) {
		const size = [...fleet.machines.values()].filter(machine => machine.pool === pool).length;
		rounds = Math.max(rounds, Math.ceil(count / Math.max(1, Math.floor(size * maxEvacuatedPoolShare))));
	}

	return rounds;
}

function isDispensableMachine(fleet: FleetState, pool: string, endpointId: string): boolean {
	const report = fleet.reports.get(pool)?.report;
	return report !== undefined && isDispensable(report, endpointId);
}

/** Whether a pool can do without an endpoint at present: no work waits, and the endpoint is idle or has long-running tasks, which have to be moved at some time anyway. Its other tasks end by themselves meanwhile. */
function isDispensable(report: PoolReport, endpointId: string): boolean {
	return report.backlogMillis === 0 && (report.idleEndpoints.includes(endpointId) || hasLongRunningTasks(report, endpointId));
}

function hasLongRunningTasks({usableEndpoints, releasableEndpoints}: PoolReport, endpointId: string): boolean {
	return usableEndpoints.includes(endpointId) && !releasableEndpoints.includes(endpointId);
}

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

/** An evacuation for a move is withdrawn after this time, and the machine stays in its pool; most tasks end within it. */
const moveEvacuationTimeoutMs = 4000;

/** An evacuation that has not been confirmed is requested again after this time, as the request or the confirmation may have been lost. */
const evacuationRenewalMs = 6000;

/** The records of an evacuated endpoint stay for this time after its machine has left it: they tell a new owner of the pool, whose roster may still name the endpoint, that nothing runs there. A roster is written within a second, and a takeover without the store's help takes some more. */
const departureRecordMs = 7000;

/** Withdraws evacuations whose machine has been moved or maintained, or no longer needs to be, and renews those that are not confirmed. @internal */
export function updateEvacuations(state: State, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
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
