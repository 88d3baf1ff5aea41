import {emitEffect, passEvent, type DecisionContext} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {findTask, type LedgerView} from '../ledger/index.js';
import {type JobEventOf} from '../model/index.js';
import {getOrderTarget} from './poll-endpoint.js';
import {estimateClock, startValidityMs} from './lease-clock.js';
import {
	addRun, canTakeStarts, createRun, type SupervisionState,
} from './supervision-state.js';
import {listUnsupervisedRuns} from './unsupervised-runs.js';

type State = {readonly supervision: SupervisionState} & LedgerView;

/** Sends a start. From then on the run counts as possibly running. @internal */
export function startTask(state: State, event: JobEventOf<'task-placed'>, context: DecisionContext): JobOutput[] {
	const {endpointId, taskId, run, checkpoint, ticket} = event;
	const endpoint = state.supervision.endpoints.get(endpointId);
	const task = findTask(state.ledger.pools.get(event.pool), taskId);
	const clock = endpoint === undefined ? undefined : estimateClock(endpoint, context.now);
	if (endpoint === undefined || task === undefined || clock === undefined || !canTakeStarts(endpoint, context.now)) {
		return [{
			kind: 'next', event: {
				kind: 'run-dropped', pool: event.pool, taskId, run, endpointId, reason: 'not-started', checkpoint,
			},
		}];
	}

	const {spec, job} = task.step;
	const deadlineMs = clock + startValidityMs;
	endpoint.leaseDeadlineMs = Math.max(endpoint.leaseDeadlineMs, deadlineMs);
	addRun(endpoint, createRun(spec, {taskId, run}, {
		phase: 'starting', startedAt: context.now, startedClockMs: clock, sentToProcess: endpoint.startedAt, sentAfterClockMs: endpoint.clockMs, generation: endpoint.generation, checkpoint, account: job.record.account,
	}));
	return [
		emitEffect({
			kind: 'start-task', target: getOrderTarget(endpoint), taskId, run, payload: job.record.spec.payload, deadlineMs, checkpoint, ticket,
		}),
		emitCount('starts_total'),
	];
}

/** Adds a run that may be running on an endpoint that did not answer the previous owner. It counts as running until the endpoint answers or its lease has expired. @internal */
export function addSuspectedRun(state: State, {
	pool, endpointId, taskId, run,
}: JobEventOf<'run-suspected'>, context: DecisionContext): JobOutput[] {
	const endpoint = state.supervision.endpoints.get(endpointId);
	const task = findTask(state.ledger.pools.get(pool), taskId);
	if (endpoint?.pool !== pool || task === undefined || task.isDone) {
		if (endpoint?.pool === pool) {
			endpoint.unsupervisedRuns = [...endpoint.unsupervisedRuns, ...listUnsupervisedRuns(state.ledger.pools.get(pool), [taskId])];
		}

		return [];
	}

	addRun(endpoint, createRun(task.step.spec, {taskId, run}, {
		phase: 'unconfirmed', isSuspected: true, startedAt: context.now, account: task.step.job.record.account,
	}));
	return [
		emitLog('info', 'run may still be running on silent endpoint', {
			task: taskId, run, endpoint: endpointId, token: endpoint.token,
		}),
		passEvent({
			kind: 'run-adopted', pool, taskId, run, endpointId,
		}),
	];
}
