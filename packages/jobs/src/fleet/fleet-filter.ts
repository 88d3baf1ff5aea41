import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {balancePools} from './balance-pools.js';
import {type FleetState} from './fleet-state.js';
import {checkOrders, followMachines, settleOrder} from './order-machines.js';
import {runWaves, withdrawEvacuations} from './run-waves.js';

/** Time in ms between two readings of the machine list while orders or waves are open. */
const busyListMs = 400;
/** The same while there is nothing to do. */
const idleListMs = 2000;
/** Time in ms after which a reading without an answer is repeated. */
const listTimeoutMs = 1500;
/** Margin in ms on the time for which orders of two holders are kept apart. */
const handoverSlackMs = 300;

type State = {readonly fleet: FleetState} & AuthorityView & ConfigurationView;

/**
Orders machines for maintenance and between pools. One entry at a time holds the claim to do so; a new holder waits until orders of the former one are over.

@public
*/
export const fleetFilter: JobFilter<State> = {
	name: 'fleet',
	handlers: {
		'fleet-acquired'({fleet}, {token, isSameEntry}, context) {
			clearFleet(fleet);
			fleet.token = token;
			// Orders of a former life of this entry ended with its process.
			fleet.mayOrderFrom = context.now + (isSameEntry ? 0 : fleet.orderLeaseMs + handoverSlackMs);
			return [emitEffect({kind: 'follow-fleet', isFollowing: true})];
		},
		'fleet-lost'({fleet}) {
			clearFleet(fleet);
			return [emitEffect({kind: 'follow-fleet', isFollowing: false})];
		},
		'machines-listed'({fleet}, {machines}, context) {
			fleet.listAskedAt = undefined;
			if (fleet.token === undefined) {
				return [];
			}

			followMachines(fleet, machines, context);
			fleet.machines.clear();
			for (const machine of machines) {
				fleet.machines.set(machine.name, machine);
			}

			fleet.listedAt = context.now;
			return [];
		},
		'machine-list-failed'({fleet}) {
			fleet.listAskedAt = undefined;
			return [];
		},
		'machine-order-answered': ({fleet}, event, context) => settleOrder(fleet, event, context),
		'wave-changed'({fleet}, {wave, seenAt}) {
			const known = fleet.waves.get(wave.number);
			fleet.waves.set(wave.number, {
				wave,
				seenAt: known?.seenAt ?? seenAt,
				maintained: known?.maintained ?? new Set(),
				status: known?.status === 'done' && known.wave.machines.length === wave.machines.length ? 'done' : 'new',
				isBehind: known?.isBehind ?? false,
				isWriting: known?.isWriting ?? false,
			});
			return [emitLog('info', 'wave seen', {
				wave: wave.number, machines: wave.machines.length, durationMs: wave.durationMs, limit: wave.downLimit,
			})];
		},
		'wave-removed'({fleet}, {number}) {
			fleet.waves.delete(number);
			return [];
		},
		'wave-progress-read'({fleet}, {number, maintained, isDone}) {
			const progress = fleet.waves.get(number);
			for (const machine of maintained) {
				progress?.maintained.add(machine);
			}

			if (progress !== undefined && isDone) {
				progress.status = 'done';
			}

			return [];
		},
		'wave-status-written'({fleet}, {number, result}) {
			const progress = fleet.waves.get(number);
			if (progress !== undefined) {
				progress.isWriting = false;
				progress.isBehind ||= result !== 'applied';
			}

			return [];
		},
		'report-changed'({fleet}, {report}, context) {
			fleet.reports.set(report.pool, {report, seenAt: context.now});
			return [];
		},
		'evacuation-requested'({fleet}, {request}, context) {
			if (fleet.token !== undefined && !fleet.evacuations.has(request.endpointId)) {
				fleet.evacuations.set(request.endpointId, {request, askedAt: context.now});
			}

			return [];
		},
		'endpoint-evacuated'({fleet}, {evacuated: vacated}) {
			if (fleet.evacuations.get(vacated.endpointId)?.request.requestId === vacated.requestId) {
				fleet.evacuatedIds.add(vacated.endpointId);
			}

			return [];
		},
		tick: (state, _event, context) => state.fleet.token === undefined ? [] : runFleet(state, context),
	},
};

function runFleet(state: State, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	checkOrders(fleet, context.now);
	return [
		...readMachines(fleet, context),
		...runWaves(state, context),
		...balancePools(state, context),
		...(fleet.listedAt === undefined ? [] : withdrawEvacuations(state, context.now)),
	];
}

function readMachines(fleet: FleetState, context: DecisionContext): JobOutput[] {
	const isBusy = fleet.orders.size > 0 || fleet.evacuations.size > 0 || [...fleet.waves.values()].some(wave => wave.status !== 'done');
	const pauseMs = isBusy ? busyListMs : idleListMs;
	if (fleet.listAskedAt === undefined ? context.now < (fleet.listedAt ?? Number.NEGATIVE_INFINITY) + pauseMs : context.now < fleet.listAskedAt + listTimeoutMs) {
		return [];
	}

	fleet.listAskedAt = context.now;
	return [emitEffect({kind: 'list-machines'})];
}

/** What a former term as holder has left; waves are the operator's and stay. */
function clearFleet(fleet: FleetState): void {
	fleet.token = undefined;
	fleet.machines.clear();
	fleet.orders.clear();
	fleet.evacuations.clear();
	fleet.evacuatedIds.clear();
	fleet.reports.clear();
	fleet.fullAt.clear();
	fleet.workedAt = undefined;
	fleet.listedAt = undefined;
	fleet.listAskedAt = undefined;
	for (const wave of fleet.waves.values()) {
		wave.isWriting = false;
		wave.status = wave.status === 'done' ? 'done' : 'new';
	}
}
