import {appendItems, type DecisionContext} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {emitLog, type JobOutput} from '../filter.js';
import {type Machine, type PoolReport} from '../model/index.js';
import {type FleetState} from './fleet-state.js';
import {
	canOrderMachines, canPrepareOrder, mayBeOrderedElsewhere, orderMachine, retryMoves,
} from './order-machines.js';
import {requestEvacuation, returnEvacuatedMachines} from './evacuations.js';
import {isSparePool} from './run-waves.js';
import {computeBalances, logBalances, type PoolBalance} from './compute-balances.js';
import {getReserve, recordDemandHistory} from './demand-history.js';

/** Minimum number of machines in a pool, so that one may be lost or maintained. */
const minMachines = 2;
/** A pool must have had spare capacity for this time before a machine is taken away; longer than the gaps between the jobs of a burst. Moving a machine away and back costs as much as running it for about two seconds, and a pool's quiet times last longer than that. */
const surplusDelayMs = 1000;
/** Replaces `surplusDelayMs` while a pool may soon be short of machines: a machine that goes there directly arrives two moves earlier than one that is switched off first. */
const risingSurplusDelayMs = 2500;
/** Replaces `surplusDelayMs` while no pool has had work for some time, as demand may start in any of them. */
const quietSurplusDelayMs = 20_000;
/** Utilization from which a pool may soon be short of machines. */
const risingUtilization = 0.6;
/** Time after the last work in any pool from which the fleet counts as quiet. */
const quietAfterMs = 30_000;
/** Minimum time for which a machine that has joined a pool stays there. */
const minStayMs = 2500;
/** Shortage, as a share of a machine, from which another machine is ordered. */
const minShortageShare = 0.35;
/** Maximum number of machines that are being evacuated for pools that are short of machines. */
const shortageLimit: ShareLimit = {share: 0.2, min: 8};
/** Maximum number of machines that are being evacuated while no pool is short; each is a move that may have to be undone. */
const surplusLimit: ShareLimit = {share: 0.3, min: 12};

/** A limit that grows with the fleet: a share of its machines, but not less than `min`. */
type ShareLimit = {readonly share: number; readonly min: number};

type State = {readonly fleet: FleetState} & AuthorityView & ConfigurationView;

/** Moves machines to pools that are short of them, and switches off machines that no pool needs. @internal */
export function balancePools(state: State, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	if (fleet.listedAt === undefined || !canOrderMachines(state, context)) {
		return [];
	}

	const returned = computeBalances(state, context).flatMap(balance => returnEvacuatedMachines(fleet, balance.pool, countMissingMachines(fleet, balance), context));
	const balances = computeBalances(state, context);
	recordDemand(fleet, balances, context.now);
	const outputs = [...returned, ...logBalances(fleet, balances, context), ...recordDemandHistory(fleet, balances, context), ...retryMoves(state, context)];
	// Pools that lack the most machines come first.
	const shortages = balances
		.map(balance => ({balance, missing: countMissingMachines(fleet, balance)}))
		.filter(({missing}) => missing > 0)
		.sort((left, right) => right.missing - left.missing);
	fleet.hasShortage = shortages.length > 0;
	fleet.poolsAwaitingMachines.clear();
	for (const {pool, wantedMillis, presentMillis, machineMillis} of balances) {
		if (wantedMillis > presentMillis + (minShortageShare * machineMillis)) {
			fleet.poolsAwaitingMachines.add(pool);
		}
	}

	const availableMachines = [
		...listEvacuatedMachines(fleet),
		...[...fleet.machines.values()].filter(machine => isSparePool(state, machine.pool) && machine.state === 'up'),
	].filter(({name}) => !fleet.orders.has(name) && !mayBeOrderedElsewhere(fleet, name, context.now) && canPrepareOrder(fleet, name, context.now));
	for (const {balance, missing} of shortages) {
		const wantedCount = Math.min(missing, computeLimit(fleet, shortageLimit));
		const fetched = removeMachinesFor(balance.pool, wantedCount, availableMachines);
		appendItems(outputs, fetched.flatMap(machine => orderMachine(state, machine, {order: 'move', pool: balance.pool, wave: 0}, context)));
		appendItems(outputs, requestSurplusMachines(state, sortByReserve(fleet, balances.filter(other => other !== balance), context.wallTime), wantedCount - fetched.length, 0, context));
	}

	if (shortages.length === 0) {
		appendItems(outputs, restoreReserves(state, balances, availableMachines, context));
		appendItems(outputs, turnOffSurplus(state, balances, availableMachines, context));
	}

	return outputs;
}

/** Lists machines that have been evacuated for a move. One that has left the evacuated endpoint since, and may run tasks elsewhere, is not among them: its records are kept for some seconds. */
function listEvacuatedMachines(fleet: FleetState): Machine[] {
	const machines: Machine[] = [];
	for (const {request: {purpose, machine: name, endpointId}} of fleet.evacuations.values()) {
		const machine = fleet.machines.get(name);
		if (purpose === 'move' && fleet.evacuatedIds.has(endpointId) && machine?.endpointId === endpointId) {
			machines.push(machine);
		}
	}

	return machines;
}

/** Gives pools that lack machines of their reserve evacuated machines and such that are switched off, and removes these from `availableMachines`. */
function restoreReserves(state: State, balances: readonly PoolBalance[], availableMachines: Machine[], context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const {pool, machines, arrivingCount} of balances) {
		const missing = getReserve(state.fleet, pool, context.wallTime) - machines.length - arrivingCount;
		for (const machine of removeMachinesFor(pool, missing, availableMachines)) {
			appendItems(outputs, orderMachine(state, machine, {order: 'move', pool, wave: 0}, context));
		}
	}

	return outputs;
}

/** Removes machines of other pools from `availableMachines`, up to a number of them, to be moved to a pool. */
function removeMachinesFor(poolName: string, count: number, availableMachines: Machine[]): Machine[] {
	const chosen = availableMachines.filter(({pool}) => pool !== poolName).slice(0, Math.max(0, count));
	for (const machine of chosen) {
		availableMachines.splice(availableMachines.indexOf(machine), 1);
	}

	return chosen;
}

function computeLimit({machines}: FleetState, {share, min}: ShareLimit): number {
	return Math.max(min, Math.ceil(machines.size * share));
}

function countMissingMachines(fleet: FleetState, {report, wantedMillis, capacityMillis, machineMillis, machines, arrivingCount}: PoolBalance): number {
	const staying = machines.filter(machine => machine.state === 'moving' || (machine.state === 'up' && !isAboutToLeave(fleet, machine))).length;
	const missing = (wantedMillis - capacityMillis) / machineMillis;
	return Math.max(
		getMinMachines(report) - staying - arrivingCount,
		missing < minShortageShare ? 0 : Math.ceil(missing - minShortageShare),
	);
}

/** Minimum number of machines that a pool keeps, not counting those that leave it temporarily. */
function getMinMachines({endpointMinimum}: PoolReport): number {
	return Math.max(minMachines, endpointMinimum);
}

/** Whether a machine is being evacuated or has an open order. */
function isAboutToLeave(fleet: FleetState, {name, endpointId}: Machine): boolean {
	return fleet.orders.has(name) || (endpointId !== undefined && fleet.evacuations.has(endpointId));
}

function recordDemand(fleet: FleetState, balances: readonly PoolBalance[], now: number): void {
	if (balances.some(({report}) => report.hasWork)) {
		if (fleet.lastWorkAt === undefined || now > fleet.lastWorkAt + quietAfterMs) {
			// Work starts after a quiet time, so that a pool has been idle until now says nothing about its demand.
			fleet.lastFullAt.clear();
		}

		fleet.lastWorkAt = now;
	}

	for (const {pool, report, wantedMillis, capacityMillis, machineMillis} of balances) {
		if (Math.max(report.usedMillis, wantedMillis) + machineMillis > capacityMillis) {
			fleet.lastFullAt.set(pool, now);
		}

		// A new holder does not know when the pool was last full.
		if (!fleet.lastFullAt.has(pool)) {
			fleet.lastFullAt.set(pool, now);
		}
	}
}

function getSurplusDelayMs(fleet: FleetState, balances: readonly PoolBalance[], now: number): number {
	if (fleet.lastWorkAt === undefined || now > fleet.lastWorkAt + quietAfterMs) {
		return quietSurplusDelayMs;
	}

	return balances.some(({wantedMillis, capacityMillis}) => wantedMillis > capacityMillis * risingUtilization) ? risingSurplusDelayMs : surplusDelayMs;
}

/** Sorts the pools that keep a reserve after all others. */
function sortByReserve(fleet: FleetState, balances: readonly PoolBalance[], wallTime: number): PoolBalance[] {
	return [...balances].sort((left, right) => getReserve(fleet, left.pool, wallTime) - getReserve(fleet, right.pool, wallTime));
}

/** Requests the evacuation of machines of pools that have had spare capacity for the given time, in the order in which the pool's owner would release them. */
function requestSurplusMachines(state: State, balances: readonly PoolBalance[], count: number, delayMs: number, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	const outputs: JobOutput[] = [];
	let remainingCount = count - [...fleet.evacuations.values()].filter(({request}) => request.purpose === 'move').length;
	for (const {pool, report, machines, machineMillis, wantedMillis, capacityMillis} of balances) {
		if (delayMs > 0 && context.now < (fleet.lastFullAt.get(pool) ?? context.now) + delayMs) {
			continue;
		}

		const staying = machines.filter(machine => machine.state === 'up' && !isAboutToLeave(fleet, machine));
		let spareCount = Math.min(
			Math.floor((capacityMillis - Math.max(report.usedMillis, wantedMillis)) / machineMillis),
			// Without a delay the machines are for work that is waiting in another pool, so the reserve is given away as well.
			staying.length - Math.max(getMinMachines(report), delayMs > 0 ? getReserve(fleet, pool, context.wallTime) : 0),
		);
		const byEndpoint = new Map(staying.map(machine => [machine.endpointId, machine]));
		for (const endpointId of report.releasableEndpoints) {
			if (remainingCount <= 0 || spareCount <= 0) {
				break;
			}

			const machine = byEndpoint.get(endpointId);
			if (machine !== undefined && canPrepareOrder(fleet, machine.name, context.now) && context.now > (fleet.joinedPoolAt.get(machine.name) ?? 0) + minStayMs) {
				remainingCount -= 1;
				spareCount -= 1;
				appendItems(outputs, requestEvacuation(fleet, {
					machine, endpointId, purpose: 'move', dueAt: Number.MAX_SAFE_INTEGER,
				}, context));
			}
		}
	}

	return outputs;
}

/** Switches off evacuated machines, as no pool is short of machines, and has others evacuated that have been spare for some time. Without a pool of machines that are switched off they stay where they are. */
function turnOffSurplus(state: State, balances: readonly PoolBalance[], machines: readonly Machine[], context: DecisionContext): JobOutput[] {
	const {fleet, configuration} = state;
	const spare = configuration.current?.pools.find(pool => pool.isSpare);
	if (spare === undefined) {
		return [];
	}

	return [
		...machines.filter(machine => machine.pool !== spare.name).flatMap(machine => [
			emitLog('info', 'evacuated machine not needed by any pool', {machine: machine.name, pool: machine.pool}),
			...orderMachine(state, machine, {order: 'move', pool: spare.name, wave: 0}, context),
		]),
		...requestSurplusMachines(state, balances, computeLimit(fleet, surplusLimit), getSurplusDelayMs(fleet, balances, context.now), context),
	];
}
