import {
	parseTaskId, type CallerAnswer, type RunOutcome, type JobSpec, type ReportedEnd, type StepSpec,
} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {type EndpointObserver, type VirtualTaskEndpoint, type VirtualRun} from './virtual-task-endpoint.js';

/**
An invariant that the simulation checks for jobs.

- `twice`: a task runs on two endpoints at once, or again after it was done.
- `order`: a task starts before the tasks that it depends on are done.
- `budget`: a task starts after it has used up its attempts.
- `unasked`: a task starts that nobody submitted, or whose job was cancelled.
- `refused`: a task starts although its job was refused.
- `handler-failed`: a handler of an entry threw an error.
*/
export type JobInvariantName = 'twice' | 'order' | 'budget' | 'unasked' | 'refused' | 'handler-failed';

/** @internal */
export type JobInvariantViolation = {readonly invariant: JobInvariantName; readonly at: number; readonly message: string};

type TrackedJob = {
	readonly spec: JobSpec;
	readonly attempts: number;
	cancelledAt: number | undefined;
	answer: CallerAnswer['kind'] | undefined;
	readonly requestId: string;
};

/** Checks the invariants of jobs from what endpoints and callers observe. */
export type JobInvariantChecker = EndpointObserver & {
	readonly violations: readonly JobInvariantViolation[];
	reportViolation(invariant: JobInvariantName, message: string): void;
	recordJob(jobId: string, requestId: string, spec: JobSpec): void;
	recordCancelRequest(jobId: string, requestId: string): void;
	recordAnswer(requestId: string, answer: CallerAnswer): void;
	recordCrash(endpoint: VirtualTaskEndpoint): void;
	getStep(taskId: string): StepSpec | undefined;
	getStartCount(): number;
	isTaskDone(taskId: string): boolean;
};

/** Once a cancellation has been confirmed for this long, no task of the job may start. */
const cancelGraceMs = 3000;

/** Creates a checker without jobs; each task may fail up to `attempts` times. */
export function createJobInvariantChecker(queue: EventQueue, attempts = 2): JobInvariantChecker {
	const violations: JobInvariantViolation[] = [];
	const jobs = new Map<string, TrackedJob>();
	const cancelRequests = new Map<string, string>();
	const runningByTask = new Map<string, Map<VirtualRun, VirtualTaskEndpoint>>();
	const completedTasks = new Set<string>();
	/** Completed tasks whose end the owner has not acknowledged yet, with the endpoint that reports it. */
	const unacknowledgedCompletions = new Map<string, VirtualTaskEndpoint>();
	const acknowledgedTasks = new Set<string>();
	/** Messages about tasks that were started again after an unacknowledged completion: a violation once that end is acknowledged. */
	const suspectedDuplicates = new Map<string, string>();
	/** Messages about starts beyond the permitted attempts: a violation once the failures before them are acknowledged. */
	const suspectedOverruns = new Map<string, string>();
	/** Failed ends by task: how many are acknowledged, and the endpoints that still report the others. */
	const failedEnds = new Map<string, {acknowledgedCount: number; readonly unacknowledged: VirtualTaskEndpoint[]}>();
	let startCount = 0;

	function reportViolation(invariant: JobInvariantName, message: string): void {
		violations.push({invariant, at: queue.now, message});
	}

	function getStep(taskId: string): StepSpec | undefined {
		const parsedId = parseTaskId(taskId);
		return parsedId === undefined ? undefined : jobs.get(parsedId.jobId)?.spec.steps[parsedId.step];
	}

	function checkStart(run: VirtualRun, endpoint: VirtualTaskEndpoint): void {
		const {taskId} = run;
		const parsedId = parseTaskId(taskId)!;
		const job = jobs.get(parsedId.jobId);
		const step = getStep(taskId);
		if (job === undefined || step === undefined) {
			reportViolation('unasked', `${taskId} was not submitted by any caller`);
			return;
		}

		for (const [otherRun, otherEndpoint] of runningByTask.get(taskId) ?? []) {
			if (otherEndpoint.isUp && !step.mayDuplicate) {
				reportViolation('twice', `${taskId} run ${run.run} starts on ${endpoint.registration.id} while run ${otherRun.run} is running on ${otherEndpoint.registration.id}`);
			}
		}

		if (acknowledgedTasks.has(taskId) && !step.mayDuplicate) {
			reportViolation('twice', `${taskId} run ${run.run} starts after it was done`);
		}

		if (unacknowledgedCompletions.has(taskId) && !step.mayDuplicate) {
			suspectedDuplicates.set(taskId, `${taskId} run ${run.run} starts after it was done on ${unacknowledgedCompletions.get(taskId)!.registration.id}`);
		}

		for (const dependency of step.after) {
			for (let index = 0; index < job.spec.steps[dependency]!.count; index++) {
				if (!completedTasks.has(`${parsedId.jobId}.${parsedId.occurrence}.${dependency}.${index}`)) {
					reportViolation('order', `${taskId} starts before task ${index} of step ${dependency} is done`);
				}
			}
		}

		const failed = failedEnds.get(taskId);
		if (failed !== undefined && failed.acknowledgedCount + failed.unacknowledged.length >= job.attempts && !step.isLongRunning) {
			const message = `${taskId} starts after ${failed.acknowledgedCount + failed.unacknowledged.length} failures`;
			if (failed.unacknowledged.length === 0) {
				reportViolation('budget', message);
			}

			suspectedOverruns.set(taskId, message);
		}

		if (job.cancelledAt !== undefined && queue.now > job.cancelledAt + cancelGraceMs) {
			reportViolation('unasked', `${taskId} starts ${Math.round(queue.now - job.cancelledAt)} ms after its job was cancelled`);
		}

		if (job.answer !== undefined && job.answer !== 'accepted' && job.answer !== 'undecided') {
			reportViolation('refused', `${taskId} starts, though its job was answered ${job.answer}`);
		}
	}

	function acknowledgeFailure(endpoint: VirtualTaskEndpoint, taskId: string): void {
		const failed = failedEnds.get(taskId);
		const index = failed?.unacknowledged.indexOf(endpoint) ?? -1;
		if (failed === undefined || index < 0) {
			return;
		}

		failed.unacknowledged.splice(index, 1);
		failed.acknowledgedCount += 1;
		const message = suspectedOverruns.get(taskId);
		const attempts = jobs.get(parseTaskId(taskId)!.jobId)?.attempts ?? 0;
		if (message !== undefined && failed.acknowledgedCount >= attempts && failed.unacknowledged.length === 0) {
			reportViolation('budget', message);
		}
	}

	/** An end whose endpoint crashed or lost its lease before the acknowledgement is never acknowledged; later starts of its task are permitted. */
	function dropUnacknowledgedEnds(endpoint: VirtualTaskEndpoint): void {
		for (const [taskId, other] of unacknowledgedCompletions) {
			if (other === endpoint) {
				unacknowledgedCompletions.delete(taskId);
			}
		}

		for (const [taskId, failed] of failedEnds) {
			const remaining = failed.unacknowledged.filter(other => other !== endpoint);
			if (remaining.length < failed.unacknowledged.length) {
				suspectedOverruns.delete(taskId);
				failed.unacknowledged.splice(0, failed.unacknowledged.length, ...remaining);
			}
		}
	}

	return {
		violations,
		reportViolation,
		getStep,
		getStartCount: () => startCount,
		isTaskDone: taskId => completedTasks.has(taskId),
		recordJob(jobId, requestId, spec) {
			jobs.set(jobId, {
				spec, attempts, cancelledAt: undefined, answer: undefined, requestId,
			});
		},
		recordCancelRequest(jobId, requestId) {
			cancelRequests.set(requestId, jobId);
		},
		recordAnswer(requestId, answer) {
			const cancelled = jobs.get(cancelRequests.get(requestId) ?? '');
			if (cancelled !== undefined && answer.kind === 'cancelled') {
				cancelled.cancelledAt ??= queue.now;
			}

			for (const job of jobs.values()) {
				if (job.requestId === requestId) {
					job.answer = answer.kind;
				}
			}
		},
		recordCrash(endpoint) {
			for (const endpointsByRun of runningByTask.values()) {
				for (const [run, other] of endpointsByRun) {
					if (other === endpoint) {
						endpointsByRun.delete(run);
					}
				}
			}

			dropUnacknowledgedEnds(endpoint);
		},
		recordLeaseExpiry: dropUnacknowledgedEnds,
		recordStart(endpoint, run) {
			startCount += 1;
			checkStart(run, endpoint);
			const endpointsByRun = runningByTask.get(run.taskId) ?? new Map<VirtualRun, VirtualTaskEndpoint>();
			runningByTask.set(run.taskId, endpointsByRun.set(run, endpoint));
		},
		recordEnd(endpoint: VirtualTaskEndpoint, run: VirtualRun, outcome: RunOutcome) {
			runningByTask.get(run.taskId)?.delete(run);
			if (outcome === 'done') {
				completedTasks.add(run.taskId);
				unacknowledgedCompletions.set(run.taskId, endpoint);
			}

			if (outcome === 'failed') {
				const failed = failedEnds.get(run.taskId) ?? {acknowledgedCount: 0, unacknowledged: []};
				failed.unacknowledged.push(endpoint);
				failedEnds.set(run.taskId, failed);
			}
		},
		recordAcknowledgedEnd(endpoint, end: ReportedEnd) {
			if (end.outcome === 'failed') {
				acknowledgeFailure(endpoint, end.taskId);
			}

			if (end.outcome !== 'done' || unacknowledgedCompletions.get(end.taskId) !== endpoint) {
				return;
			}

			unacknowledgedCompletions.delete(end.taskId);
			acknowledgedTasks.add(end.taskId);
			const message = suspectedDuplicates.get(end.taskId);
			if (message !== undefined) {
				reportViolation('twice', message);
			}
		},
	};
}
