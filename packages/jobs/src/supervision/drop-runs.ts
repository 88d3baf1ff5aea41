import {passEvent} from '@pistachiogauge/chain';
import {emitLog, type JobOutput} from '../filter.js';
import {type RunDropReason} from '../model/index.js';
import {removeRun, type Run, type SupervisedEndpoint} from './supervision-state.js';

/** Drops all runs of an endpoint once it is certain that none of them is running. @internal */
export function dropRuns(endpoint: SupervisedEndpoint, reason: RunDropReason): JobOutput[] {
	endpoint.unsupervisedRuns = [];
	return [...endpoint.runs.values()].flatMap(run => dropRun(endpoint, run, reason));
}

/** Drops a run once it is certain that it is not running. @internal */
export function dropRun(endpoint: SupervisedEndpoint, run: Run, reason: RunDropReason): JobOutput[] {
	removeRun(endpoint, run.taskId);
	return [
		// A start that was refused has a line of its own.
		emitLog(reason === 'not-started' && run.phase === 'starting' ? 'debug' : 'info', 'run confirmed not running', {
			task: run.taskId, run: run.run, endpoint: endpoint.id, reason, phase: run.phase, isStopRequested: run.stopRequestedAt !== undefined, percent: run.percent, token: endpoint.token, sentTo: run.sentToProcess, bornAt: endpoint.startedAt, clockMs: endpoint.clockMs,
		}),
		passEvent({
			kind: 'run-dropped', pool: endpoint.pool, taskId: run.taskId, run: run.run, endpointId: endpoint.id, reason, checkpoint: run.checkpoint,
		}),
	];
}
