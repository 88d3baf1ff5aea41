import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type AuthorityView} from '../authority/index.js';
import {type ConfigurationView} from '../configuration/index.js';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {balancePools} from './balance-pools.js';
import {writeDemandHistory} from './demand-history.js';
import {type FleetState} from './fleet-state.js';
import {
	expireOrders, giveUpOrders, handleOrderAnswer, updateFromMachineList,
} from './order-machines.js';
import {updateEvacuations} from './evacuations.js';
import {runWaves} from './run-waves.js';

/** Time between two reads of the machine list while orders, evacuations or waves are open. */
const busyListIntervalMs = 400;
/** Time between two reads of the machine list otherwise. */
const idleListIntervalMs = 2000;
/** An unanswered read of the machine list is repeated after this time. */
const listTimeoutMs = 1500;
/** Margin on the minimum time between orders of two holders. */
const handoverMarginMs = 300;

type State = {readonly fleet: FleetState} & AuthorityView & ConfigurationView;

/**
Orders machines into maintenance and from pool to pool. One entry at a time holds the claim on the fleet; a new holder waits until the previous one can no longer send orders.

@public
*/
export const fleetFilter: JobFilter<State> = {
	name: 'fleet',
	handlers: {
		'fleet-acquired'({fleet}, {token, isSameEntry, previousToken}, context) {
			clearFleet(fleet);
			fleet.token = token;
			fleet.previousToken = previousToken;
			fleet.inheritedUntil = context.now + fleet.orderLeaseMs + handoverMarginMs;
			// An earlier process of this entry is gone, so it cannot send any more orders.
			fleet.ordersAllowedFrom = isSameEntry ? context.now : fleet.inheritedUntil;
			return [emitEffect({kind: 'follow-fleet', isFollowing: true})];
		},
		'fleet-lost'({fleet}) {
			clearFleet(fleet);
			return [emitEffect({kind: 'follow-fleet', isFollowing: false})];
		},
		'machines-listed'({fleet}, {machines, requestedAt}, context) {
			closeListRequest(fleet, requestedAt);
			// An unanswered request is repeated, so an earlier list can arrive after a later one.
			if (fleet.token === undefined || requestedAt < (fleet.listValidAt ?? Number.NEGATIVE_INFINITY)) {
				return [];
			}

			fleet.listValidAt = requestedAt;
			updateFromMachineList(fleet, machines, context);
			fleet.machines.clear();
			for (const machine of machines) {
				fleet.machines.set(machine.name, machine);
			}

			fleet.listedAt = context.now;
			return [];
		},
		'machine-list-failed'({fleet}, {requestedAt}) {
			closeListRequest(fleet, requestedAt);
			return [];
		},
		'machine-order-answered': ({fleet}, event, context) => handleOrderAnswer(fleet, event, context),
		'wave-changed'({fleet}, {wave, seenAt}) {
			const known = fleet.waves.get(wave.number);
			fleet.waves.set(wave.number, {
				wave,
				seenAt: known?.seenAt ?? seenAt,
				maintained: known?.maintained ?? new Set(),
				status: known?.status === 'done' && known.wave.machines.length === wave.machines.length ? 'done' : 'new',
				hasUnwrittenStatus: known?.hasUnwrittenStatus ?? false,
				isWritingStatus: known?.isWritingStatus ?? false,
			});
			return [emitLog('info', 'maintenance wave received', {
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
				progress.isWritingStatus = false;
				progress.hasUnwrittenStatus ||= result !== 'applied';
			}

			return [];
		},
		'recent-orders-read': ({fleet}, {token, machines}) => inheritOrders(fleet, token, machines),
		'demand-history-read'({fleet}, {history}) {
			for (const each of history) {
				const hasPeaked = each.hasPeaked || fleet.demandHistory.get(each.pool)?.hasPeaked === true;
				fleet.demandHistory.set(each.pool, {...each, hasPeaked});
			}

			return [];
		},
		'demand-history-written'({fleet}, {result}) {
			fleet.hasUnwrittenHistory ||= result !== 'applied';
			return [];
		},
		'report-changed'({fleet}, {report}, context) {
			fleet.reports.set(report.pool, {report, seenAt: context.now});
			return [];
		},
		'evacuation-requested'({fleet}, {request}, context) {
			if (fleet.token !== undefined && !fleet.evacuations.has(request.endpointId)) {
				fleet.evacuations.set(request.endpointId, {request, requestedAt: context.now});
			}

			return [];
		},
		'endpoint-evacuated'({fleet}, {evacuated}, context) {
			const evacuation = fleet.evacuations.get(evacuated.endpointId);
			if (evacuation?.request.requestId === evacuated.requestId) {
				fleet.evacuatedIds.add(evacuated.endpointId);
				evacuation.confirmedAt ??= context.now;
			}

			return [];
		},
		tick: (state, _event, context) => state.fleet.token === undefined ? [] : runFleet(state, context),
	},
};

/** Accepts the record of recent orders if it was written by the previous holder. An entry of an earlier version writes none, so that any record found may be older. */
function inheritOrders(fleet: FleetState, token: number, machines: readonly string[]): JobOutput[] {
	if (fleet.token === undefined || fleet.inheritedOrders !== undefined || token !== fleet.previousToken) {
		return [];
	}

	fleet.inheritedOrders = new Set(machines);
	return [
		emitLog('info', 'recent machine orders of previous holder read', {token: fleet.token, previousToken: token, machines}),
		emitEffect({kind: 'carry-over-orders'}),
	];
}

/** Forgets what the previous holder may have ordered once it no longer counts. Until it was known, this holder's own record was incomplete, so it is written anew. */
function expireInheritedOrders(fleet: FleetState, now: number): JobOutput[] {
	if (now < fleet.inheritedUntil || fleet.inheritedOrders?.size === 0) {
		return [];
	}

	const wasKnown = fleet.inheritedOrders !== undefined;
	fleet.inheritedOrders = new Set();
	return wasKnown ? [] : [emitEffect({kind: 'carry-over-orders'})];
}

function runFleet(state: State, context: DecisionContext): JobOutput[] {
	const {fleet} = state;
	expireOrders(fleet, context.now);
	return [
		...expireInheritedOrders(fleet, context.now),
		...requestMachineList(fleet, context),
		// A machine whose evacuation ends must not be ordered.
		...(fleet.listedAt === undefined ? [] : [...giveUpOrders(fleet, context), ...updateEvacuations(state, context)]),
		...runWaves(state, context),
		...balancePools(state, context),
		...writeDemandHistory(fleet),
	];
}

function requestMachineList(fleet: FleetState, context: DecisionContext): JobOutput[] {
	const isBusy = fleet.orders.size > 0 || fleet.evacuations.size > 0 || [...fleet.waves.values()].some(wave => wave.status !== 'done');
	const intervalMs = isBusy ? busyListIntervalMs : idleListIntervalMs;
	if (fleet.listRequestedAt === undefined ? context.now < (fleet.listedAt ?? Number.NEGATIVE_INFINITY) + intervalMs : context.now < fleet.listRequestedAt + listTimeoutMs) {
		return [];
	}

	fleet.listRequestedAt = context.now;
	return [emitEffect({kind: 'list-machines', requestedAt: context.now})];
}

/** Allows the next request once the last one has been answered or has failed. */
function closeListRequest(fleet: FleetState, requestedAt: number): void {
	if (fleet.listRequestedAt === requestedAt) {
		fleet.listRequestedAt = undefined;
	}
}

/** Discards what is left of an earlier term as holder; waves belong to the operator and stay. */
function clearFleet(fleet: FleetState): void {
	fleet.token = undefined;
	fleet.previousToken = undefined;
	fleet.inheritedOrders = undefined;
	fleet.machines.clear();
	fleet.orders.clear();
	fleet.evacuations.clear();
	fleet.evacuatedIds.clear();
	fleet.departedEndpoints.clear();
	fleet.reports.clear();
	fleet.lastFullAt.clear();
	fleet.lastWorkAt = undefined;
	fleet.demandHistory.clear();
	fleet.hasUnwrittenHistory = false;
	fleet.listedAt = undefined;
	fleet.listRequestedAt = undefined;
	fleet.listValidAt = undefined;
	fleet.pausedMachines.clear();
	fleet.poolsAwaitingMachines.clear();
	fleet.hasShortage = false;
	for (const wave of fleet.waves.values()) {
		wave.isWritingStatus = false;
		wave.status = wave.status === 'done' ? 'done' : 'new';
	}
}
