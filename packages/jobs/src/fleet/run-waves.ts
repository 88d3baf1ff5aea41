import {appendItems, emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {emitLog, type JobOutput} from '../filter.js';
import {type Machine, type PoolReport} from '../model/index.js';
import {type FleetState, type WaveProgress} from './fleet-state.js';
import {
	canOrderMachines, canPrepareOrder, mayBeInherited, mayBeMaintained, orderMachine,
} from './order-machines.js';
import {requestEvacuation, taskGraceMs} from './evacuations.js';

/** Maximum share of a pool that is evacuated at once, so that the other machines can carry its work. */
const maxEvacuatedPoolShare = 0.34;
/** Time to evacuate and maintain a busy machine until it works again. */
const busyRoundMs = 4500;
/** Time to maintain a machine that is idle or switched off. */
const idleRoundMs = 3000;
/** A wave is to finish this long before its deadline; a takeover of the fleet claim by another entry takes 5 s. */
const waveMarginMs = 6000;

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

	const down = new Set(wave.machines.filter(name => mayBeDown(fleet, name, context.now)));
	// While a pool is short of machines, a wave that has time left leaves those that are switched off to it.
	const canWait = fleet.hasShortage && !isDeadlineNear(state, progress, remaining, idleRoundMs, context);
	for (const machine of remaining) {
		if (canWait && isSparePool(state, machine.pool)) {
			continue;
		}

		// A machine whose order is sent again, as it may not have been carried out, does not count against itself.
		const otherCount = down.size - (down.has(machine.name) ? 1 : 0);
		if (otherCount < wave.downLimit && canOrderMachines(state, context) && isReadyForMaintenance(state, machine)) {
			const ordered = orderMachine(state, machine, {order: 'maintain', pool: machine.pool, wave: wave.number}, context);
			if (ordered.length > 0) {
				down.add(machine.name);
			}

			appendItems(outputs, ordered);
		}
	}

	return [...outputs, ...evacuateNext(state, progress, sortByUrgency(fleet, remaining), context)];
}

/** Whether a machine is down for maintenance, or may be or go down by an order that was sent; for which wave does not matter. */
function mayBeDown(fleet: FleetState, name: string, now: number): boolean {
	return fleet.machines.get(name)?.state === 'maintenance' || mayBeMaintained(fleet, name) || mayBeInherited(fleet, name, now);
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
		if (machine.state !== 'up' || endpointId === undefined || isSparePool(state, pool) || fleet.evacuations.has(endpointId) || !(canTakeBusy || canPrepareOrder(fleet, machine.name, context.now))) {
			continue;
		}

		const size = [...fleet.machines.values()].filter(other => other.pool === pool).length;
		const limit = Math.max(1, Math.floor(size * maxEvacuatedPoolShare));
		if ((countsByPool.get(pool) ?? 0) >= limit || pendingEvacuationCount >= wave.downLimit * 2 || (!canTakeBusy && !isDispensableMachine(fleet, pool, endpointId))) {
			continue;
		}

		countsByPool.set(pool, (countsByPool.get(pool) ?? 0) + 1);
		pendingEvacuationCount += 1;
		appendItems(outputs, requestEvacuation(fleet, {
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
