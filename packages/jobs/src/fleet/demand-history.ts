import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {emitLog, type JobOutput} from '../filter.js';
import {type PoolBalance} from './compute-balances.js';
import {type FleetState} from './fleet-state.js';

/** Share of the capacity of a pool's assigned machines from which its demand counts as a peak. Its usable capacity would not do, as that is low after a takeover until all endpoints have answered. */
const peakUtilization = 0.5;
/** Time after the first work in any pool for which a reserve is kept in pools without a peak. */
const reserveMs = 60_000;

/**
Records which pools have had a burst of work.

Demand goes from pool to pool in bursts. Until a pool's first burst nothing is known about it but the number of machines that the operators have given it, and a burst is half over before machines that were switched off are back. So a pool keeps that many as its reserve until then.

@internal
*/
export function recordDemandHistory(fleet: FleetState, balances: readonly PoolBalance[], {now, wallTime}: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	const hasWork = balances.some(({report}) => report.hasWork);
	for (const {pool, report, machines, wantedMillis, machineMillis} of balances) {
		const known = fleet.demandHistory.get(pool);
		if (known === undefined && hasWork) {
			fleet.demandHistory.set(pool, {
				pool, assignedMachines: machines.length, since: wallTime, hasPeaked: false,
			});
			fleet.hasUnwrittenHistory = true;
		}

		const demandMillis = Math.max(report.usedMillis, wantedMillis);
		if (known?.hasPeaked === false && demandMillis > machineMillis && demandMillis >= known.assignedMachines * machineMillis * peakUtilization) {
			fleet.demandHistory.set(pool, {...known, hasPeaked: true});
			fleet.hasUnwrittenHistory = true;
			// The burst has only begun, and its demand varies.
			fleet.lastFullAt.set(pool, now);
			outputs.push(emitLog('info', 'first burst of pool seen', {pool, demandMillis: Math.round(demandMillis), assignedMachines: known.assignedMachines}));
		}
	}

	return outputs;
}

/** Returns the number of machines that a pool keeps for its first burst; 0 once it has had one. @internal */
export function getReserve(fleet: FleetState, pool: string, wallTime: number): number {
	const known = fleet.demandHistory.get(pool);
	return known === undefined || known.hasPeaked || wallTime >= known.since + reserveMs ? 0 : known.assignedMachines;
}

/** Stores the history for the next holder of the fleet's claim. @internal */
export function writeDemandHistory(fleet: FleetState): JobOutput[] {
	if (!fleet.hasUnwrittenHistory) {
		return [];
	}

	fleet.hasUnwrittenHistory = false;
	return [emitEffect({kind: 'write-demand-history', history: [...fleet.demandHistory.values()]})];
}
