import {type DecisionContext} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {emitLog, type JobOutput} from '../filter.js';
import {type Machine, type PoolReport} from '../model/index.js';
import {type FleetState} from './fleet-state.js';
import {isSpare} from './run-waves.js';

/** Age in ms of a report from which it is not acted on. */
const reportAgeMs = 3000;
/** Time in ms in which the endpoint of a machine that has come is registered and held; its first heartbeat and a watch's answer. */
const joinMs = 1500;
/** Factor of what is wanted at present up to which arriving work counts. */
const arrivalLimit = 2;
/** Time in ms between two log lines on the pools' balance; machines take longer than that to come. */
const logPauseMs = 1000;

type State = {readonly fleet: FleetState} & AuthorityView & ConfigurationView;

/** What a pool has and wants, in thousandths of a core. @internal */
export type PoolBalance = {
	readonly pool: string;
	readonly report: PoolReport;
	readonly machines: readonly Machine[];
	/** Machines ordered to it that the list still shows elsewhere. */
	readonly arriving: number;
	/** Machines on their way to it: those that arrive, and its own that are moving or under maintenance. */
	readonly incoming: number;
	readonly machineMillis: number;
	/** Of usable machines that are not asked to leave, and of those on their way. */
	readonly capacityMillis: number;
	readonly presentMillis: number;
	readonly wantedMillis: number;
};

/** Weighs all pools whose owner has reported of late. @internal */
export function listBalances(state: State, context: DecisionContext): PoolBalance[] {
	const {fleet} = state;
	const balances: PoolBalance[] = [];
	const machineMillis = Math.max(1, ...[...fleet.machines.values()].map(machine => machine.capacity.cpuMillis));
	for (const {report, seenAt} of fleet.reports.values()) {
		if (isSpare(state, report.pool) || context.now > seenAt + reportAgeMs) {
			continue;
		}

		const machines = [...fleet.machines.values()].filter(machine => machine.pool === report.pool && machine.state !== 'down');
		const arriving = [...fleet.orders.values()].filter(order => order.order === 'move' && order.pool === report.pool && fleet.machines.get(order.machine)?.pool !== report.pool).length;
		const incoming = arriving + machines.filter(machine => machine.state !== 'up').length;
		const presentMillis = machines
			.filter(machine => isUsable(fleet, machine, report, context.now))
			.reduce((sum, machine) => sum + machine.capacity.cpuMillis, 0);
		balances.push({
			pool: report.pool,
			report,
			machines,
			arriving,
			incoming,
			machineMillis,
			capacityMillis: presentMillis + (incoming * machineMillis),
			presentMillis,
			wantedMillis: getWantedMillis(report),
		});
	}

	return balances;
}

/** Whether tasks can be started on a machine: its endpoint takes orders, or is about to, and is not to be given away. Endpoints stay listed for seconds after their machine has left, so the owner's word counts only for machines that are there. */
function isUsable(fleet: FleetState, {name, state, endpointId}: Machine, report: PoolReport, now: number): boolean {
	return state === 'up' && endpointId !== undefined && fleet.evacuations.get(endpointId)?.request.purpose !== 'move' && (report.usableEndpoints.includes(endpointId) || now < (fleet.settledAt.get(name) ?? 0) + joinMs);
}

/**
What a pool wants: the room with which its jobs are in time, as far as there are tasks for it, or what arriving work will want by the time a machine has come. Arrivals count for at most twice what is there, as few of them tell little.
*/
function getWantedMillis({usedMillis, backlogMillis, neededMillis, arrivingMillis}: PoolReport): number {
	const present = usedMillis + backlogMillis;
	return Math.max(Math.min(present, neededMillis), Math.min(arrivingMillis, arrivalLimit * present));
}

/** A line a pool and second with what the orders of that time rest on. @internal */
export function logBalances(fleet: FleetState, balances: readonly PoolBalance[], {now}: DecisionContext): JobOutput[] {
	if (now < fleet.balancesLoggedAt + logPauseMs) {
		return [];
	}

	fleet.balancesLoggedAt = now;
	return balances.map(({pool, report, machines, incoming, capacityMillis, wantedMillis}) => emitLog('info', 'pool weighed', {
		pool,
		machines: machines.length,
		incoming,
		idle: report.idleEndpoints.length,
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
