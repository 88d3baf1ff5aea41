import {emitEffect, passEvent, type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {findTask, type LedgerView} from '../ledger/index.js';
import {type JobEventOf} from '../model/index.js';
import {getOrderTarget} from './hold-endpoints.js';
import {estimateClock, startDeadlineMs} from './lease-clock.js';
import {createRun, type SupervisionState} from './supervision-state.js';

type State = {readonly supervision: SupervisionState} & LedgerView;

/** Sends a start, and counts the run as one that may be at work from now on. @internal */
export function startTask(state: State, event: JobEventOf<'task-placed'>, context: DecisionContext): JobOutput[] {
	const {endpointId, taskId, run, checkpoint, ticket} = event;
	const watch = state.supervision.endpoints.get(endpointId);
	const task = findTask(state.ledger.pools.get(event.pool), taskId);
	const clock = watch === undefined ? undefined : estimateClock(watch, context.now);
	if (watch === undefined || task === undefined || clock === undefined) {
		return [{
			kind: 'next', event: {
				kind: 'run-dropped', pool: event.pool, taskId, run, endpointId, reason: 'not-started', checkpoint,
			},
		}];
	}

	const {spec, job} = task.step;
	const deadlineMs = clock + startDeadlineMs;
	watch.leaseDeadlineMs = Math.max(watch.leaseDeadlineMs, deadlineMs);
	watch.runs.set(taskId, createRun(spec, {taskId, run}, {
		phase: 'starting', startedAt: context.now, startDeadlineMs: deadlineMs, checkpoint,
	}));
	return [
		emitEffect({
			kind: 'start-task', target: getOrderTarget(watch), taskId, run, payload: job.record.spec.payload, deadlineMs, checkpoint, ticket,
		}),
		emitCount('starts_total'),
	];
}

/** Counts a run as one that may be at work, until its endpoint answers or its lease has run out. @internal */
export function suspectRun(state: State, {
	pool, endpointId, taskId, run,
}: JobEventOf<'run-suspected'>, context: DecisionContext): JobOutput[] {
	const watch = state.supervision.endpoints.get(endpointId);
	const task = findTask(state.ledger.pools.get(pool), taskId);
	if (watch?.pool !== pool || task === undefined || task.isDone) {
		return [];
	}

	watch.runs.set(taskId, createRun(task.step.spec, {taskId, run}, {phase: 'unconfirmed', isSuspected: true, startedAt: context.now}));
	return [
		emitLog('info', 'run may be at work', {
			task: taskId, run, endpoint: endpointId, token: watch.token,
		}),
		passEvent({
			kind: 'run-adopted', pool, taskId, run, endpointId,
		}),
	];
}
