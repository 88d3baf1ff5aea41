import {restartEvent} from '@pistachiogauge/chain';
import {emitLog, type JobOutput} from '../filter.js';
import {findTask, type LedgerView} from '../ledger/index.js';
import {type PlacementState} from './placement-state.js';

type State = {readonly placement: PlacementState} & LedgerView;

/**
Drops the runs of placements whose events were lost, as a handler failed.

Called while no event of an input is on its way: a placement that is still reserved then was never sent, so its run would count as running for good.

@internal
*/
export function dropLostPlacements({placement, ledger}: State): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const [endpointId, steps] of placement.reservedSteps) {
		for (const [taskId, {job}] of steps) {
			const {pool} = job.record;
			const task = findTask(ledger.pools.get(pool), taskId);
			for (const [run, runEndpointId] of task?.runs ?? []) {
				if (runEndpointId === endpointId) {
					outputs.push(
						emitLog('warn', 'start of run lost, as a handler failed', {task: taskId, run, endpoint: endpointId}),
						restartEvent({
							kind: 'run-dropped', pool, taskId, run, endpointId, reason: 'not-started', checkpoint: task!.checkpoint,
						}),
					);
				}
			}
		}

		steps.clear();
	}

	return outputs;
}
