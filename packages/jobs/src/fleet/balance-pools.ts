import {type DecisionContext} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {emitLog, type JobOutput} from '../filter.js';
import {type Machine, type PoolReport} from '../model/index.js';
import {type FleetState} from './fleet-state.js';
import {mayOrder, orderMachine} from './order-machines.js';
import {isSpare, requestEvacuation} from './run-waves.js';
import {listBalances, logBalances, type PoolBalance} from './weigh-pools.js';

/** Fewest machines that a pool keeps, so that one may be lost or maintained. */
const machineMinimum = 2;
/** Time in ms for which a pool must have had room to spare before a machine is taken away: longer than the gaps between a turn's jobs. A move there and back costs what a machine costs in about two seconds; a pool's quiet times last longer. */
const surplusMs = 1000;
/** The same while a pool may soon be short: a machine that goes there at once comes two moves earlier than one that is turned off first. */
const risingSurplusMs = 2500;
/** The same while no pool has had work to do for a while, as demand may begin anywhere. */
const quietSurplusMs = 20_000;
/** Share of a pool's capacity in use from which it may soon be short. */
const risingShare = 0.6;
/** Time in ms after the last work in any pool from which the fleet counts as quiet. */
const quietAfterMs = 30_000;
/** Time in ms for which a machine that has come to a pool stays there. */
const settleMs = 2500;
/** Share of a machine that must be short before another one comes. */
const shortShare = 0.35;
/** Most machines asked for a pool at once; demand that lasts asks again. */
const machinesAtOnce = 8;
/** Most machines taken away at once while nothing is short; each is a move that may have to be undone. */
const idleAtOnce = 12;

type State = {readonly fleet: FleetState} & AuthorityView & ConfigurationView;

/** Moves machines to the pools whose work waits, and off where there is nothing to do. @internal */
export function balancePools(state: State, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	if (fleet.listedAt === undefined || !mayOrder(state, context.now)) {
		return [];
	}

	const balances = listBalances(state, context);
	noteDemand(fleet, balances, context.now);
	const outputs = logBalances(fleet, balances, context);
	// What is shorter comes first, measured against what it has.
	const short = balances
		.map(balance => ({balance, missing: countMissing(fleet, balance)}))
		.filter(({missing}) => missing > 0)
		.sort((left, right) => right.missing - left.missing);
	fleet.isShort = short.length > 0;
	fleet.busyPools.clear();
	for (const {pool, wantedMillis, presentMillis, machineMillis} of balances) {
		if (wantedMillis > presentMillis + (shortShare * machineMillis)) {
			fleet.busyPools.add(pool);
		}
	}

	const vacated = [...fleet.evacuations.values()].filter(({request}) => request.purpose === 'move' && fleet.evacuatedIds.has(request.endpointId));
	const supply = [
		...vacated.map(({request}) => fleet.machines.get(request.machine)).filter(machine => machine !== undefined),
		...[...fleet.machines.values()].filter(machine => isSpare(state, machine.pool) && machine.state === 'up'),
	].filter(machine => !fleet.orders.has(machine.name));
	for (const {balance, missing} of short) {
		let open = Math.min(missing, machinesAtOnce);
		for (const machine of supply.splice(0, open)) {
			if (machine.pool !== balance.pool) {
				open -= 1;
				outputs.push(...orderMachine(state, machine, {order: 'move', pool: balance.pool, wave: 0}, context));
			}
		}

		outputs.push(...takeSurplus(state, balances.filter(other => other !== balance), open, 0, context));
	}

	if (short.length === 0) {
		outputs.push(...sendOff(state, supply, context), ...takeSurplus(state, balances, idleAtOnce, getSurplusMs(fleet, balances, context.now), context));
	}

	return outputs;
}

function countMissing(fleet: FleetState, {report, wantedMillis, capacityMillis, machineMillis, machines, arriving}: PoolBalance): number {
	const staying = machines.filter(machine => machine.state === 'moving' || (machine.state === 'up' && !isLeaving(fleet, machine))).length;
	const missing = (wantedMillis - capacityMillis) / machineMillis;
	return Math.max(
		getMachineMinimum(report) - staying - arriving,
		missing < shortShare ? 0 : Math.ceil(missing - shortShare),
	);
}

/** Machines that a pool keeps beside those that leave it for a while. */
function getMachineMinimum({endpointMinimum}: PoolReport): number {
	return Math.max(machineMinimum, endpointMinimum);
}

/** Whether a machine is to be emptied, or has been ordered away. */
function isLeaving(fleet: FleetState, {name, endpointId}: Machine): boolean {
	return fleet.orders.has(name) || (endpointId !== undefined && fleet.evacuations.has(endpointId));
}

function noteDemand(fleet: FleetState, balances: readonly PoolBalance[], now: number): void {
	if (balances.some(({report}) => report.hasWork)) {
		if (fleet.workedAt === undefined || now > fleet.workedAt + quietAfterMs) {
			// Work begins after a quiet time: that a pool was idle until now says nothing.
			fleet.fullAt.clear();
		}

		fleet.workedAt = now;
	}

	for (const {pool, report, wantedMillis, capacityMillis, machineMillis} of balances) {
		if (Math.max(report.usedMillis, wantedMillis) + machineMillis > capacityMillis) {
			fleet.fullAt.set(pool, now);
		}

		// A new holder has not seen when the pool was full.
		if (!fleet.fullAt.has(pool)) {
			fleet.fullAt.set(pool, now);
		}
	}
}

function getSurplusMs(fleet: FleetState, balances: readonly PoolBalance[], now: number): number {
	if (fleet.workedAt === undefined || now > fleet.workedAt + quietAfterMs) {
		return quietSurplusMs;
	}

	return balances.some(({wantedMillis, capacityMillis}) => wantedMillis > capacityMillis * risingShare) ? risingSurplusMs : surplusMs;
}

/** Asks for endpoints of pools that have had room to spare for some time, those that will be empty first. */
function takeSurplus(state: State, balances: readonly PoolBalance[], count: number, surplusForMs: number, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	const outputs: JobOutput[] = [];
	let open = count - [...fleet.evacuations.values()].filter(({request}) => request.purpose === 'move').length;
	for (const {pool, report, machines, machineMillis, wantedMillis, capacityMillis} of balances) {
		if (surplusForMs > 0 && context.now < (fleet.fullAt.get(pool) ?? context.now) + surplusForMs) {
			continue;
		}

		const staying = machines.filter(machine => machine.state === 'up' && !isLeaving(fleet, machine));
		let spareCount = Math.min(
			Math.floor((capacityMillis - Math.max(report.usedMillis, wantedMillis)) / machineMillis),
			staying.length - getMachineMinimum(report),
		);
		const byEndpoint = new Map(staying.map(machine => [machine.endpointId, machine]));
		for (const endpointId of report.releasableEndpoints) {
			if (open <= 0 || spareCount <= 0) {
				break;
			}

			const machine = byEndpoint.get(endpointId);
			if (machine !== undefined && context.now > (fleet.settledAt.get(machine.name) ?? 0) + settleMs) {
				open -= 1;
				spareCount -= 1;
				outputs.push(...requestEvacuation(fleet, {
					machine, endpointId, purpose: 'move', dueAt: Number.MAX_SAFE_INTEGER,
				}, context));
			}
		}
	}

	return outputs;
}

/** Turns off emptied machines that no pool is short of. */
function sendOff(state: State, machines: readonly Machine[], context: DecisionContext): JobOutput[] {
	const spare = state.configuration.current?.pools.find(pool => pool.isSpare);
	if (spare === undefined) {
		return [];
	}

	return machines
		.filter(machine => machine.pool !== spare.name && !state.fleet.immovable.has(machine.name))
		.flatMap(machine => [
			emitLog('info', 'machine not needed', {machine: machine.name, pool: machine.pool}),
			...orderMachine(state, machine, {order: 'move', pool: spare.name, wave: 0}, context),
		]);
}
