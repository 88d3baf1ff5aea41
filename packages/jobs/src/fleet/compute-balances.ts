import {type DecisionContext} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {emitLog, type JobOutput} from '../filter.js';
import {type Machine, type PoolReport} from '../model/index.js';
import {maxReportAgeMs, type FleetState} from './fleet-state.js';
import {isSparePool} from './run-waves.js';

/** Time for the endpoint of a newly arrived machine to register and be polled: its first heartbeat, and the notification of a watch on the store. */
const endpointJoinMs = 1500;
/** Work that is expected to arrive counts for at most this multiple of the present demand, as few arrivals say little about the rate. */
const arrivalFactorLimit = 2;
/** Time between two log lines about a pool's balance; machines take longer than this to arrive. */
const logIntervalMs = 1000;

type State = {readonly fleet: FleetState} & AuthorityView & ConfigurationView;

/** Capacity and demand of a pool, in thousandths of a core. @internal */
export type PoolBalance = {
	readonly pool: string;
	readonly report: PoolReport;
	readonly machines: readonly Machine[];
	/** Machines that have been ordered to the pool and that the machine list still shows in another. */
	readonly arrivingCount: number;
	/** Machines that will become available: arriving ones, and the pool's own that are moving or under maintenance. */
	readonly incomingCount: number;
	/** Size of the fleet's largest machine. */
	readonly machineMillis: number;
	/** Capacity of the usable machines that are not to be moved away, and of the incoming ones. */
	readonly capacityMillis: number;
	/** Capacity of the usable machines that are not to be moved away, without the incoming ones. */
	readonly presentMillis: number;
	/** Demand, see `computeWantedMillis`. */
	readonly wantedMillis: number;
};

/** Compares capacity and demand of all pools that have a recent report. @internal */
export function computeBalances(state: State, context: DecisionContext): PoolBalance[] {
	const {fleet} = state;
	const balances: PoolBalance[] = [];
	const machineMillis = Math.max(1, ...[...fleet.machines.values()].map(machine => machine.capacity.cpuMillis));
	for (const {report, seenAt} of fleet.reports.values()) {
		if (isSparePool(state, report.pool) || context.now > seenAt + maxReportAgeMs) {
			continue;
		}

		const machines = [...fleet.machines.values()].filter(machine => machine.pool === report.pool && machine.state !== 'down');
		const arrivingCount = [...fleet.orders.values()].filter(order => order.order === 'move' && order.pool === report.pool && fleet.machines.get(order.machine)?.pool !== report.pool).length;
		const incomingCount = arrivingCount + machines.filter(machine => machine.state !== 'up').length;
		const presentMillis = machines
			.filter(machine => isUsable(fleet, machine, report, context.now))
			.reduce((sum, machine) => sum + machine.capacity.cpuMillis, 0);
		balances.push({
			pool: report.pool,
			report,
			machines,
			arrivingCount,
			incomingCount,
			machineMillis,
			capacityMillis: presentMillis + (incomingCount * machineMillis),
			presentMillis,
			wantedMillis: computeWantedMillis(report),
		});
	}

	return balances;
}

/**
Whether tasks can be started on a machine: its endpoint accepts orders, or is about to, and is not being evacuated for a move.

Endpoints stay registered for seconds after their machine has left the pool, so the owner's report counts only for machines that the machine list shows there.
*/
function isUsable(fleet: FleetState, {name, state, endpointId}: Machine, report: PoolReport, now: number): boolean {
	return state === 'up' && endpointId !== undefined && fleet.evacuations.get(endpointId)?.request.purpose !== 'move' && (report.usableEndpoints.includes(endpointId) || now < (fleet.joinedPoolAt.get(name) ?? 0) + endpointJoinMs);
}

/**
Demand of a pool: the capacity with which its jobs finish in time, limited to what its present tasks can use, or the capacity that arriving work will need by the time a machine has arrived, whichever is larger. Arrivals count for at most twice the present demand, as few of them say little about the rate.
*/
function computeWantedMillis({usedMillis, backlogMillis, neededMillis, arrivingMillis}: PoolReport): number {
	const present = usedMillis + backlogMillis;
	return Math.max(Math.min(present, neededMillis), Math.min(arrivingMillis, arrivalFactorLimit * present));
}

/** Logs the data on which machines are ordered, one line per pool and second. @internal */
export function logBalances(fleet: FleetState, balances: readonly PoolBalance[], {now}: DecisionContext): JobOutput[] {
	if (now < fleet.balancesLoggedAt + logIntervalMs) {
		return [];
	}

	fleet.balancesLoggedAt = now;
	return balances.map(({pool, report, machines, incomingCount, capacityMillis, wantedMillis}) => emitLog('info', 'capacity and demand of pool', {
		pool,
		machines: machines.length,
		incoming: incomingCount,
		idle: report.idleEndpoints.length,
		evacuated: listEvacuationAges(fleet, pool, now).length,
		longestEvacuatedMs: Math.max(0, ...listEvacuationAges(fleet, pool, now)),
		capacityMillis,
		wantedMillis: Math.round(wantedMillis),
		usedMillis: report.usedMillis,
		backlogMillis: report.backlogMillis,
		neededMillis: report.neededMillis,
		arrivingMillis: report.arrivingMillis,
		reportAgeMs: Math.round(now - (fleet.reports.get(pool)?.seenAt ?? now)),
		listAgeMs: Math.round(now - (fleet.listedAt ?? now)),
	}));
}

/** Lists for how long in ms endpoints of a pool have been asked to leave it without an order to their machine. */
function listEvacuationAges(fleet: FleetState, pool: string, now: number): number[] {
	return [...fleet.evacuations.values()]
		.filter(({request}) => request.pool === pool && request.purpose === 'move' && !fleet.orders.has(request.machine))
		.map(({requestedAt}) => Math.round(now - requestedAt));
}
