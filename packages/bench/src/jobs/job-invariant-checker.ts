import {
	parseTaskId, type CallerAnswer, type JobSpec, type ReportedEnd, type StepSpec,
} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {createAccountInvariantChecker, type AccountInvariantChecker, type AccountInvariantName} from './account-invariant-checker.js';
import {
	type EndpointObserver, type OrderSender, type VirtualRun, type VirtualTaskEndpoint,
} from './virtual-task-endpoint.js';

/**
An invariant that the simulation checks for jobs.

- `twice`: a task runs on two endpoints at once, or starts after an end `done` that is acknowledged before or after, unless the endpoint's lease expires between end and acknowledgement.
- `order`: a task starts before the tasks that it depends on are done.
- `budget`: a task starts after it has used up its attempts.
- `unasked`: a task starts that nobody submitted, or an entry in touch starts one whose job was cancelled, by an order that its endpoint did not hold back.
- `refused`: a task starts although its job was refused.
- `idle`: nothing of a job runs for 3 s in calm, or a long-running task does not run, though an endpoint has room twice over.
- `leaked`: for 6 s, an owner counts a run on an endpoint that answers it and does not have it.
- `lost`: an accepted job is answered as unknown.
- `limit`: a machine goes down for maintenance beyond its wave's limit.
- `handler-failed`: a handler of an entry threw an error.
*/
export type JobInvariantName = 'twice' | 'order' | 'budget' | 'unasked' | 'refused' | 'idle' | 'leaked' | 'lost' | 'limit' | 'handler-failed' | AccountInvariantName;

/** @internal */
export type JobInvariantViolation = {readonly invariant: JobInvariantName; readonly at: number; readonly message: string};

type TrackedJob = {
	readonly spec: JobSpec;
	readonly attempts: number;
	cancelledAt: number | undefined;
	acceptedAt: number | undefined;
	answer: CallerAnswer['kind'] | undefined;
	readonly requestId: string;
};

/** An end `done` that its endpoint lists, or that an owner has acknowledged. */
type DoneEnd = {
	readonly endpoint: VirtualTaskEndpoint;
	readonly number: number;
	isAcknowledged: boolean;
	/** Messages about starts of the task since; each is a violation once the end is acknowledged. */
	readonly laterStarts: string[];
};

/** Checks the invariants of jobs from what endpoints and callers observe. */
export type JobInvariantChecker = EndpointObserver & {
	readonly violations: readonly JobInvariantViolation[];
	readonly accounts: AccountInvariantChecker;
	reportViolation(invariant: JobInvariantName, message: string): void;
	recordJob(jobId: string, requestId: string, spec: JobSpec): void;
	/** `isUnknownFinal`: the answer that there is no such job acknowledges the cancellation as well. It does not for a caller of another account. */
	recordCancelRequest(jobId: string, requestId: string, isUnknownFinal: boolean): void;
	recordStatusRequest(jobId: string, requestId: string): void;
	recordAnswer(requestId: string, answer: CallerAnswer): void;
	recordCrash(endpoint: VirtualTaskEndpoint): void;
	getStep(taskId: string): StepSpec | undefined;
	getSpec(jobId: string): JobSpec | undefined;
	getStartCount(): number;
	isTaskDone(taskId: string): boolean;
};

/** Time after its acknowledgement from which every entry knows a job. */
const visibleMs = 3000;
/** Once a cancellation has been confirmed for this long, no task of the job may start. */
const cancelGraceMs = 3000;

function describeSender({node, isOwner, isLate}: OrderSender): string {
	return `${node} (${isOwner ? 'owner' : 'former owner'}${isLate ? ', carried out late' : ''})`;
}

/** Creates a checker without jobs; each task may fail up to `attempts` times. */
export function createJobInvariantChecker(queue: EventQueue, attempts = 2): JobInvariantChecker {
	const violations: JobInvariantViolation[] = [];
	const jobs = new Map<string, TrackedJob>();
	const cancelRequests = new Map<string, {readonly jobId: string; readonly isUnknownFinal: boolean}>();
	const statusRequests = new Map<string, string>();
	const runningByTask = new Map<string, Map<VirtualRun, VirtualTaskEndpoint>>();
	const completedTasks = new Set<string>();
	/** Ends `done` by task, without those that can no longer be acknowledged. */
	const doneEnds = new Map<string, DoneEnd[]>();
	/** Messages about starts beyond the permitted attempts: a violation once the failures before them are acknowledged. */
	const suspectedOverruns = new Map<string, string>();
	/** Failed ends by task: how many are acknowledged, and the endpoints that still report the others. */
	const failedEnds = new Map<string, {acknowledgedCount: number; readonly unacknowledged: VirtualTaskEndpoint[]}>();
	let startCount = 0;

	function reportViolation(invariant: JobInvariantName, message: string): void {
		violations.push({invariant, at: queue.now, message});
	}

	const accounts = createAccountInvariantChecker(queue, reportViolation);

	function getStep(taskId: string): StepSpec | undefined {
		const parsedId = parseTaskId(taskId);
		return parsedId === undefined ? undefined : jobs.get(parsedId.jobId)?.spec.steps[parsedId.step];
	}

	function checkRunsOnce({taskId, run, starter}: VirtualRun, endpoint: VirtualTaskEndpoint): void {
		const start = `${taskId} run ${run} starts on ${endpoint.registration.id} by ${describeSender(starter)}`;
		for (const [otherRun, otherEndpoint] of runningByTask.get(taskId) ?? []) {
			if (otherEndpoint.isUp) {
				const renewal = otherEndpoint.lastRenewal!;
				reportViolation('twice', [
					`${start} while run ${otherRun.run}`,
					`started at ${otherRun.startedAt.toFixed(1)} ms by ${describeSender(otherRun.starter)}`,
					`is running on ${otherEndpoint.registration.id}`,
					`whose lease was renewed at ${renewal.at.toFixed(1)} ms by ${describeSender(renewal.sender)}`,
				].join(', '));
			}
		}

		for (const end of doneEnds.get(taskId) ?? []) {
			if (end.isAcknowledged) {
				reportViolation('twice', `${start} after it was done on ${end.endpoint.registration.id}`);
			} else {
				end.laterStarts.push(`${start} at ${queue.now.toFixed(1)} ms after it was done on ${end.endpoint.registration.id}, which is acknowledged now`);
			}
		}
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

		if (!step.mayDuplicate) {
			checkRunsOnce(run, endpoint);
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

		if (job.cancelledAt !== undefined && run.starter.isInTouch && !run.starter.isLate && queue.now > job.cancelledAt + cancelGraceMs) {
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
		for (const [taskId, ends] of doneEnds) {
			if (ends.some(end => end.endpoint === endpoint && !end.isAcknowledged)) {
				doneEnds.set(taskId, ends.filter(end => end.endpoint !== endpoint || end.isAcknowledged));
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
		accounts,
		reportViolation,
		getStep,
		getSpec: jobId => jobs.get(jobId)?.spec,
		getStartCount: () => startCount,
		isTaskDone: taskId => completedTasks.has(taskId),
		recordJob(jobId, requestId, spec) {
			jobs.set(jobId, {
				spec, attempts, cancelledAt: undefined, acceptedAt: undefined, answer: undefined, requestId,
			});
		},
		recordCancelRequest(jobId, requestId, isUnknownFinal) {
			cancelRequests.set(requestId, {jobId, isUnknownFinal});
		},
		recordStatusRequest(jobId, requestId) {
			statusRequests.set(requestId, jobId);
		},
		recordAnswer(requestId, answer) {
			const request = cancelRequests.get(requestId);
			const cancelled = jobs.get(request?.jobId ?? '');
			if (cancelled !== undefined && (answer.kind === 'cancelled' || (answer.kind === 'unknown-job' && request?.isUnknownFinal === true))) {
				cancelled.cancelledAt ??= queue.now;
			}

			const statusJobId = statusRequests.get(requestId) ?? '';
			if (answer.kind === 'unknown-job' && queue.now > (jobs.get(statusJobId)?.acceptedAt ?? Number.POSITIVE_INFINITY) + visibleMs) {
				reportViolation('lost', `${statusJobId} is answered as unknown ${Math.round(queue.now - jobs.get(statusJobId)!.acceptedAt!)} ms after it was accepted`);
			}

			for (const job of jobs.values()) {
				if (job.requestId === requestId) {
					job.answer = answer.kind;
					job.acceptedAt = answer.kind === 'accepted' ? queue.now : undefined;
				}
			}
		},
		recordCrash(endpoint) {
			accounts.recordCrash(endpoint);
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
			accounts.recordStart(endpoint, run);
			checkStart(run, endpoint);
			const endpointsByRun = runningByTask.get(run.taskId) ?? new Map<VirtualRun, VirtualTaskEndpoint>();
			runningByTask.set(run.taskId, endpointsByRun.set(run, endpoint));
		},
		recordEnd(endpoint: VirtualTaskEndpoint, run: VirtualRun, {number, outcome}: ReportedEnd) {
			accounts.recordEnd(run);
			runningByTask.get(run.taskId)?.delete(run);
			if (outcome === 'done') {
				completedTasks.add(run.taskId);
				doneEnds.set(run.taskId, [...doneEnds.get(run.taskId) ?? [], {
					endpoint, number, isAcknowledged: false, laterStarts: [],
				}]);
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

			const doneEnd = doneEnds.get(end.taskId)?.find(each => each.endpoint === endpoint && each.number === end.number);
			if (doneEnd === undefined || doneEnd.isAcknowledged) {
				return;
			}

			doneEnd.isAcknowledged = true;
			for (const message of doneEnd.laterStarts) {
				reportViolation('twice', message);
			}
		},
	};
}
