import {type DecisionContext} from '@pistachiogauge/chain';
import {countPendingTasks, type Step} from '../ledger/index.js';
import {isRetryDelayed, type ObservationView} from '../observation/index.js';
import {countFittingTasks, type Candidate} from './choose-endpoint.js';
import {type PlacementState} from './placement-state.js';
import {listTicketedCandidates, listUnbarredCandidates} from './step-advice.js';

type State = {readonly placement: PlacementState} & ObservationView;

/** Returns how many tasks of a step start together. @internal */
export function countTogether({spec, tasks}: Step): number {
	return spec.isGang ? tasks.size : 1;
}

/** Counts the tasks of a step that wait and are not delayed after a failure; 0 for a gang unless it is all of them. @internal */
export function countWaitingTasks(state: ObservationView, step: Step, now: number): number {
	let count = countPendingTasks(step);
	for (const task of step.tasks.started.values()) {
		count -= !task.isDone && task.runs.size === 0 && isRetryDelayed(state, task, now) ? 1 : 0;
	}

	return count < countTogether(step) ? 0 : count;
}

/** Counts the tasks of a step that could start now if its account's budget allowed it. A gang of which only some members could start counts as 0. @internal */
export function countStartableTasks(state: State, step: Step, candidates: readonly Candidate[], context: DecisionContext): number {
	const waitingCount = countWaitingTasks(state, step, context.now);
	const count = countFittingTasks(listTicketedCandidates(state, step, candidates, context), step, waitingCount);
	return count < countTogether(step) ? 0 : count;
}

/** Whether tasks of a step could start now, or once advice on endpoints is known or renewed. @internal */
export function mayBecomeStartable(state: State, step: Step, candidates: readonly Candidate[], now: number): boolean {
	const waitingCount = countWaitingTasks(state, step, now);
	return waitingCount > 0 && countFittingTasks(listUnbarredCandidates(state, step, candidates), step, waitingCount) >= countTogether(step);
}
