import {emitEffect, passEvent, type DecisionContext} from '@pistachiogauge/chain';
import {emitLog, type JobOutput} from '../filter.js';
import {
	findTask, isActive, type LedgerView, type Task,
} from '../ledger/index.js';
import {
	type JobEventOf, type ReportedEnd, type ReportedRun, type RunDropReason,
} from '../model/index.js';
import {getOrderTarget} from './hold-endpoints.js';
import {
	createRun, type SupervisedPool, type Run, type SupervisionState, type SupervisedEndpoint,
} from './supervision-state.js';

/**
Time in ms after a claim in which an endpoint may run tasks of jobs that this entry has not heard of: a former owner started them before it was fenced, and the record is still on its way.
*/
const strangerMs = 3000;
/** Pause in ms before a stop is sent again. */
const stopAgainMs = 500;
/** Ends are listed this many at a time; with a full list, a run that is missing may have ended. */
const endsPerAnswer = 500;

type State = {readonly supervision: SupervisionState} & LedgerView;
type PollAnswer = JobEventOf<'poll-answered'>;

/** Takes over what an endpoint says that it runs and that has ended. @internal */
export function readPollAnswer(state: State, watch: SupervisedEndpoint, hold: PollAnswer, context: DecisionContext): JobOutput[] {
	const pool = state.supervision.pools.get(watch.pool)!;
	const outputs: JobOutput[] = [];
	if (watch.startedAt !== undefined && watch.startedAt !== hold.startedAt) {
		outputs.push(
			emitLog('warn', 'endpoint restarted', {endpoint: watch.id, bornAt: hold.startedAt, before: watch.startedAt}),
			...dropRuns(watch, 'endpoint-restarted'),
		);
		watch.lastProcessedEnd = 0;
		watch.unsavedEnds.clear();
		watch.leaseDeadlineMs = 0;
		watch.clockMs = undefined;
	}

	watch.startedAt = hold.startedAt;
	if (watch.clockMs === undefined || hold.clockMs >= watch.clockMs) {
		watch.clockMs = hold.clockMs;
		watch.clockReadAt = context.now;
	}

	outputs.push(...readEnds(state, pool, watch, hold.ended, context));
	const reported = new Set<string>();
	for (const report of hold.running) {
		reported.add(report.taskId);
		outputs.push(...readRun(state, pool, watch, report, context));
	}

	if (hold.ended.length < endsPerAnswer) {
		outputs.push(...findMissingRuns(watch, reported, hold.clockMs));
	}

	return outputs;
}

/** Ends all runs of an endpoint that is certain not to run them. @internal */
export function dropRuns(watch: SupervisedEndpoint, reason: RunDropReason): JobOutput[] {
	return [...watch.runs.values()].flatMap(run => dropRun(watch, run, reason));
}

/** Ends a run that is certain not to be at work. @internal */
export function dropRun(watch: SupervisedEndpoint, run: Run, reason: RunDropReason): JobOutput[] {
	watch.runs.delete(run.taskId);
	return [
		emitLog(reason === 'not-started' ? 'debug' : 'info', 'run dropped', {
			task: run.taskId, run: run.run, endpoint: watch.id, reason, phase: run.phase, percent: run.percent, token: watch.token,
		}),
		passEvent({
			kind: 'run-dropped', pool: watch.pool, taskId: run.taskId, run: run.run, endpointId: watch.id, reason, checkpoint: run.checkpoint,
		}),
	];
}

/** Tells an endpoint to stop a run. @internal */
export function stopRun(watch: SupervisedEndpoint, run: Run, now: number): JobOutput[] {
	run.phase = 'stopping';
	run.stopRequestedAt = now;
	return [emitEffect({
		kind: 'stop-task', target: getOrderTarget(watch), taskId: run.taskId, run: run.run,
	})];
}

function readEnds(state: State, pool: SupervisedPool, watch: SupervisedEndpoint, ended: readonly ReportedEnd[], context: DecisionContext): JobOutput[] {
	const ledger = state.ledger.pools.get(watch.pool);
	const outputs: JobOutput[] = [];
	for (const end of [...ended].sort((left, right) => left.number - right.number)) {
		if (end.number <= watch.lastProcessedEnd) {
			continue;
		}

		const jobId = end.taskId.split('.', 1)[0]!;
		if (ledger?.jobs.has(jobId) !== true && ledger?.endedJobs.has(jobId) !== true && context.now < pool.acquiredAt + strangerMs) {
			// Read again once the job's record has arrived.
			break;
		}

		watch.lastProcessedEnd = end.number;
		watch.unsavedEnds.add(end.number);
		const run = watch.runs.get(end.taskId);
		const wasExpected = run?.run === end.run;
		if (wasExpected) {
			watch.runs.delete(end.taskId);
		}

		outputs.push(passEvent({
			kind: 'run-ended', pool: watch.pool, endpointId: watch.id, end, wasExpected, tookMs: run === undefined ? 0 : context.now - run.startedAt,
		}));
	}

	return outputs;
}

function readRun(state: State, pool: SupervisedPool, watch: SupervisedEndpoint, report: ReportedRun, context: DecisionContext): JobOutput[] {
	const run = watch.runs.get(report.taskId);
	if (run?.run === report.run) {
		return updateRun(watch, run, report, context);
	}

	const ledger = state.ledger.pools.get(watch.pool);
	const jobId = report.taskId.split('.', 1)[0]!;
	const firstSeen = watch.unknownRunsSeenAt.get(report.taskId) ?? context.now;
	const isUnknown = ledger?.jobs.has(jobId) !== true && ledger?.endedJobs.has(jobId) !== true;
	if (isUnknown && context.now < Math.max(firstSeen, pool.acquiredAt) + strangerMs) {
		watch.unknownRunsSeenAt.set(report.taskId, firstSeen);
		return [];
	}

	watch.unknownRunsSeenAt.delete(report.taskId);
	const task = findTask(ledger, report.taskId);
	const isReplaceable = run === undefined || (run.isSuspected && run.run < report.run);
	if (task !== undefined && isActive(task.step.job) && !task.isDone && isReplaceable) {
		const outrun = findOutrun(state, task, report.run);
		const outputs = [
			...outrun.flatMap(({watch: formerWatch, run: suspected}) => dropRun(formerWatch, suspected, 'superseded')),
			...adoptRun(watch, task, report, context),
		];
		const isWanted = task.runs.size === outrun.length || task.step.spec.mayDuplicate;
		// One that is stopped counts as at work until it is gone.
		return isWanted ? outputs : [...outputs, ...stopRun(watch, watch.runs.get(report.taskId)!, context.now)];
	}

	return [
		emitLog('info', 'unwanted run stopped', {
			task: report.taskId, run: report.run, endpoint: watch.id, token: watch.token,
		}),
		emitEffect({
			kind: 'stop-task', target: getOrderTarget(watch), taskId: report.taskId, run: report.run,
		}),
	];
}

/** Runs that are only suspected to be at work: a later one was started once they were gone. */
function findOutrun({supervision}: State, task: Task, laterRun: number): Array<{readonly watch: SupervisedEndpoint; readonly run: Run}> {
	const outrun: Array<{readonly watch: SupervisedEndpoint; readonly run: Run}> = [];
	for (const [number, endpointId] of task.runs) {
		const watch = supervision.endpoints.get(endpointId);
		const run = watch?.runs.get(task.id);
		if (watch !== undefined && run?.run === number && run.isSuspected && number < laterRun) {
			outrun.push({watch, run});
		}
	}

	return outrun;
}

function adoptRun(watch: SupervisedEndpoint, task: Task, report: ReportedRun, context: DecisionContext): JobOutput[] {
	const {spec} = task.step;
	watch.runs.set(report.taskId, createRun(spec, report, {
		phase: 'running', startedAt: context.now, confirmedClockMs: watch.clockMs, percent: report.percent, checkpoint: report.checkpoint, load: report.load,
	}));
	return [
		emitLog('info', 'run adopted', {
			task: report.taskId, run: report.run, endpoint: watch.id, token: watch.token,
		}),
		passEvent({
			kind: 'run-adopted', pool: watch.pool, taskId: report.taskId, run: report.run, endpointId: watch.id,
		}),
	];
}

function updateRun(watch: SupervisedEndpoint, run: Run, report: ReportedRun, context: DecisionContext): JobOutput[] {
	if (report.percent > run.percent) {
		run.progressedAt = context.now;
	}

	run.percent = report.percent;
	run.load = report.load;
	run.checkpoint = report.checkpoint;
	run.confirmedClockMs ??= watch.clockMs;
	run.isSuspected = false;
	if (run.phase === 'starting' || run.phase === 'unconfirmed') {
		run.phase = 'running';
	}

	return run.phase === 'stopping' && context.now > run.stopRequestedAt + stopAgainMs ? stopRun(watch, run, context.now) : [];
}

/** Runs that the endpoint does not list: either they never started, or they are gone. */
function findMissingRuns(watch: SupervisedEndpoint, reported: ReadonlySet<string>, clockMs: number): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const run of watch.runs.values()) {
		if (reported.has(run.taskId)) {
			continue;
		}

		if (run.confirmedClockMs === undefined) {
			if (run.phase === 'unconfirmed' && clockMs > run.startDeadlineMs) {
				outputs.push(...dropRun(watch, run, 'not-started'));
			}

			continue;
		}

		if (clockMs > run.confirmedClockMs && watch.unsavedEnds.size < endsPerAnswer) {
			outputs.push(...dropRun(watch, run, 'not-listed'));
		}
	}

	return outputs;
}
