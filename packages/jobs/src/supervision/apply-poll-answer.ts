import {
	appendItems, emitEffect, passEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {
	findTask, isActive, type LedgerView, type Task,
} from '../ledger/index.js';
import {
	type JobEventOf, type ReportedEnd, type ReportedRun,
} from '../model/index.js';
import {dropRun} from './drop-runs.js';
import {getOrderTarget} from './poll-endpoint.js';
import {acceptProcess, handleReplacedProcess, recordRestart} from './replaced-process.js';
import {
	addRun, createRun, removeRun, type Run, type SupervisedEndpoint, type SupervisedPool, type SupervisionState,
} from './supervision-state.js';
import {listUnsupervisedRuns} from './unsupervised-runs.js';

/**
Grace period after a claim for runs and ends of jobs that this entry does not know: a previous owner may have started them before it was fenced, and the job's record has not arrived yet.
*/
const unknownRunGraceMs = 3000;
/** Delay before a stop is sent again for a run that is still listed. */
const stopRetryDelayMs = 500;
/** Maximum number of ends in one answer; the endpoint lists the others once these are acknowledged. */
const maxEndsPerAnswer = 500;

type State = {readonly supervision: SupervisionState} & LedgerView & DirectoryView;
type PollAnswer = JobEventOf<'poll-answered'>;

/** Applies the answer to a poll of the current generation: the endpoint's process start, clock, ends and runs. @internal */
export function applyPollAnswer(state: State, endpoint: SupervisedEndpoint, answer: PollAnswer, context: DecisionContext): JobOutput[] {
	const pool = state.supervision.pools.get(endpoint.pool)!;
	const outputs: JobOutput[] = [];
	const isOtherProcess = endpoint.startedAt !== undefined && endpoint.startedAt !== answer.startedAt;
	if (isOtherProcess && !endpoint.isProcessReplaced) {
		appendItems(outputs, recordRestart(endpoint, answer, context));
	}

	if (isOtherProcess && endpoint.answeredGeneration === answer.generation) {
		// Orders of this generation were sent to the former process as well.
		return [...outputs, ...handleReplacedProcess(endpoint, context)];
	}

	endpoint.answeredGeneration = answer.generation;
	if (endpoint.startedAt === undefined || isOtherProcess || endpoint.isProcessReplaced) {
		outputs.push(acceptProcess(endpoint, answer.startedAt, context));
	}

	endpoint.acknowledgedEnd = Math.max(endpoint.acknowledgedEnd, endpoint.acknowledgingEnd);
	endpoint.acknowledgingEnd = 0;
	if (endpoint.clockMs === undefined || answer.clockMs >= endpoint.clockMs) {
		endpoint.clockMs = answer.clockMs;
		endpoint.clockReadAt = context.now;
	}

	appendItems(outputs, acceptEnds(state, pool, endpoint, answer.ended, context));
	const reported = new Set<string>();
	for (const report of answer.running) {
		reported.add(report.taskId);
		appendItems(outputs, applyReportedRun(state, pool, endpoint, report, context));
	}

	const unknownTaskIds = answer.running.filter(({taskId}) => !endpoint.runs.has(taskId)).map(({taskId}) => taskId);
	endpoint.hasUnknownUsage = unknownTaskIds.length > 0;
	endpoint.unsupervisedRuns = listUnsupervisedRuns(state.ledger.pools.get(endpoint.pool), unknownTaskIds);

	// A run that is missing from the list may have an end that is not processed yet.
	endpoint.areEndsComplete = answer.ended.length < maxEndsPerAnswer && answer.ended.every(({number}) => number <= endpoint.lastProcessedEnd);
	if (endpoint.areEndsComplete) {
		appendItems(outputs, dropMissingRuns(endpoint, reported, answer));
	}

	return outputs;
}

/** Tells an endpoint to stop a run. @internal */
export function stopRun(endpoint: SupervisedEndpoint, run: Run, now: number): JobOutput[] {
	run.stopRequestedAt = now;
	return [emitEffect({
		kind: 'stop-task', target: getOrderTarget(endpoint), taskId: run.taskId, run: run.run,
	})];
}

function acceptEnds(state: State, pool: SupervisedPool, endpoint: SupervisedEndpoint, ended: readonly ReportedEnd[], context: DecisionContext): JobOutput[] {
	const ledger = state.ledger.pools.get(endpoint.pool);
	const outputs: JobOutput[] = [];
	for (const end of [...ended].sort((left, right) => left.number - right.number)) {
		if (end.number <= endpoint.lastProcessedEnd) {
			continue;
		}

		const isFirstSeen = endpoint.lastProcessedEnd === 0 && !endpoint.hasSeenRestart;
		if (end.number > endpoint.lastProcessedEnd + 1 && !isFirstSeen) {
			outputs.push(
				emitLog('warn', 'ends of endpoint are missing', {
					endpoint: endpoint.id, bornAt: endpoint.startedAt, listed: end.number, lastProcessed: endpoint.lastProcessedEnd, token: endpoint.token,
				}),
				emitCount('ends_missing_total'),
			);
		}

		const jobId = end.taskId.split('.', 1)[0]!;
		if (ledger?.jobs.has(jobId) !== true && ledger?.endedJobs.has(jobId) !== true && context.now < pool.acquiredAt + unknownRunGraceMs) {
			// The endpoint lists the end again, and it is accepted once the job's record has arrived.
			break;
		}

		endpoint.lastProcessedEnd = end.number;
		endpoint.unsavedEnds.set(end.number, {taskId: end.taskId, run: end.run});
		const run = endpoint.runs.get(end.taskId);
		const wasExpected = run?.run === end.run;
		if (wasExpected) {
			removeRun(endpoint, end.taskId);
		}

		outputs.push(passEvent({
			kind: 'run-ended', pool: endpoint.pool, endpointId: endpoint.id, endpointStartedAt: endpoint.startedAt ?? 0, end, wasExpected, tookMs: run === undefined ? 0 : context.now - run.startedAt, percent: run?.percent ?? 0,
		}));
	}

	return outputs;
}

function applyReportedRun(state: State, pool: SupervisedPool, endpoint: SupervisedEndpoint, report: ReportedRun, context: DecisionContext): JobOutput[] {
	const run = endpoint.runs.get(report.taskId);
	if (run?.run === report.run) {
		return updateRun(endpoint, run, report, context);
	}

	const deferred = deferUnknownRun(state, pool, endpoint, report, context);
	if (deferred !== undefined) {
		return deferred;
	}

	endpoint.unknownRunsSeenAt.delete(report.taskId);
	const task = findTask(state.ledger.pools.get(endpoint.pool), report.taskId);
	const isReplaceable = run === undefined || (run.isSuspected && run.run < report.run);
	if (task !== undefined && isActive(task.step.job) && !task.isDone && isReplaceable) {
		const superseded = findSupersededRuns(state, task, report.run);
		const outputs = [
			...superseded.flatMap(({endpoint: previousEndpoint, run: suspected}) => dropRun(previousEndpoint, suspected, 'superseded')),
			...adoptRun(endpoint, task, report, context),
		];
		const isWanted = task.runs.size === superseded.length || task.step.spec.mayDuplicate;
		// A run that is being stopped counts as running until the endpoint no longer lists it.
		return isWanted ? outputs : [...outputs, ...stopRun(endpoint, endpoint.runs.get(report.taskId)!, context.now)];
	}

	return [
		emitLog('info', 'stop of unwanted run requested', {
			task: report.taskId, run: report.run, endpoint: endpoint.id, token: endpoint.token, bornAt: endpoint.startedAt, percent: report.percent, isTaskDone: task?.isDone, runElsewhere: task === undefined ? undefined : Math.max(0, ...task.runs.keys()),
		}),
		emitCount('unwanted_runs_total'),
		emitEffect({
			kind: 'stop-task', target: getOrderTarget(endpoint), taskId: report.taskId, run: report.run,
		}),
	];
}

/** Leaves a listed run alone for now whose job or occurrence this entry does not know yet. @returns Undefined if the run is to be decided on now. */
function deferUnknownRun({ledger}: State, pool: SupervisedPool, endpoint: SupervisedEndpoint, {taskId}: ReportedRun, {now}: DecisionContext): JobOutput[] | undefined {
	const poolLedger = ledger.pools.get(endpoint.pool);
	const jobId = taskId.split('.', 1)[0]!;
	const job = poolLedger?.jobs.get(jobId);
	const firstSeenAt = endpoint.unknownRunsSeenAt.get(taskId);
	if (job === undefined && poolLedger?.endedJobs.has(jobId) !== true && now < Math.max(firstSeenAt ?? now, pool.acquiredAt) + unknownRunGraceMs) {
		endpoint.unknownRunsSeenAt.set(taskId, firstSeenAt ?? now);
		return [];
	}

	if (job !== undefined && isActive(job) && findTask(poolLedger, taskId) === undefined && firstSeenAt === undefined) {
		// A previous owner whose clock was ahead may have started an occurrence that is not due yet by this entry's clock.
		endpoint.unknownRunsSeenAt.set(taskId, now);
		return [passEvent({kind: 'occurrence-reported', pool: endpoint.pool, taskId})];
	}

	return undefined;
}

/** Finds the suspected runs of a task that a listed run supersedes: the listed one has a higher number, so it was started after they were gone. */
function findSupersededRuns({supervision}: State, task: Task, laterRun: number): Array<{readonly endpoint: SupervisedEndpoint; readonly run: Run}> {
	const superseded: Array<{readonly endpoint: SupervisedEndpoint; readonly run: Run}> = [];
	for (const [number, endpointId] of task.runs) {
		const endpoint = supervision.endpoints.get(endpointId);
		const run = endpoint?.runs.get(task.id);
		if (endpoint !== undefined && run?.run === number && run.isSuspected && number < laterRun) {
			superseded.push({endpoint, run});
		}
	}

	return superseded;
}

function adoptRun(endpoint: SupervisedEndpoint, task: Task, report: ReportedRun, context: DecisionContext): JobOutput[] {
	const {spec, job} = task.step;
	addRun(endpoint, createRun(spec, report, {
		account: job.record.account, phase: 'running', startedAt: context.now, startedClockMs: endpoint.clockMs, generation: endpoint.generation, confirmedClockMs: endpoint.clockMs, listedByProcess: endpoint.startedAt, percent: report.percent, checkpoint: report.checkpoint, load: report.load,
	}));
	return [
		emitLog('info', 'run found on endpoint and adopted', {
			task: report.taskId, run: report.run, endpoint: endpoint.id, token: endpoint.token,
		}),
		passEvent({
			kind: 'run-adopted', pool: endpoint.pool, taskId: report.taskId, run: report.run, endpointId: endpoint.id,
		}),
		passEvent({kind: 'run-confirmed', pool: endpoint.pool, taskId: report.taskId}),
	];
}

function updateRun(endpoint: SupervisedEndpoint, run: Run, report: ReportedRun, context: DecisionContext): JobOutput[] {
	const isFirst = run.confirmedClockMs === undefined;
	if (report.percent > run.percent || run.confirmedClockMs === undefined) {
		run.progressedClockMs = endpoint.clockMs ?? 0;
	}

	run.percent = report.percent;
	run.load = report.load;
	run.checkpoint = report.checkpoint;
	run.startedClockMs ??= endpoint.clockMs;
	run.confirmedClockMs ??= endpoint.clockMs;
	run.listedByProcess = endpoint.startedAt;
	run.isSuspected = false;
	run.phase = 'running';

	return [
		...(isFirst ? [passEvent({kind: 'run-confirmed', pool: endpoint.pool, taskId: run.taskId} as const)] : []),
		...(run.stopRequestedAt !== undefined && context.now > run.stopRequestedAt + stopRetryDelayMs ? stopRun(endpoint, run, context.now) : []),
	];
}

/** Drops runs that the endpoint does not list: they either never started or are gone. */
function dropMissingRuns(endpoint: SupervisedEndpoint, reported: ReadonlySet<string>, {clockMs, generation}: PollAnswer): JobOutput[] {
	if (endpoint.unsavedEnds.size >= maxEndsPerAnswer) {
		return [];
	}

	// The poll has shut out starts of earlier generations. One of its own generation may have been sent after it was answered.
	const missing = [...endpoint.runs.values()].filter(run => !reported.has(run.taskId) && (run.generation < generation || clockMs > (run.confirmedClockMs ?? Number.POSITIVE_INFINITY)));
	return missing.flatMap(run => dropRun(endpoint, run, run.confirmedClockMs === undefined ? 'not-started' : 'not-listed'));
}
