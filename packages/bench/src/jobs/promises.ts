import {
	parseTaskId, type CallerAnswer, type RunOutcome, type JobSpec, type ReportedEnd, type StepSpec,
} from '@pistachiogauge/jobs';
import {type EventQueue} from '../virtual/event-queue.js';
import {type EndpointObserver, type VirtualEndpoint, type VirtualRun} from './virtual-endpoint.js';

/** A promise that the emulator checks. */
export type PromiseName = 'twice' | 'order' | 'budget' | 'unasked' | 'refused' | 'handler-failed';

/** @internal */
export type JobInvariantViolation = {readonly invariant: PromiseName; readonly at: number; readonly message: string};

type WatchedJob = {
	readonly spec: JobSpec;
	readonly attempts: number;
	cancelledAt: number | undefined;
	answer: CallerAnswer['kind'] | undefined;
	readonly requestId: string;
};

/** Checks the promises about jobs from what endpoints and callers see. */
export type Promises = EndpointObserver & {
	readonly breaches: readonly JobInvariantViolation[];
	report(promise: PromiseName, message: string): void;
	noteJob(jobId: string, requestId: string, spec: JobSpec): void;
	noteCancel(jobId: string, requestId: string): void;
	noteAnswer(requestId: string, answer: CallerAnswer): void;
	noteCrash(endpoint: VirtualEndpoint): void;
	getStep(taskId: string): StepSpec | undefined;
	getStartCount(): number;
	isDone(taskId: string): boolean;
};

/** Time in ms after an acknowledged cancellation after which nothing of the job starts. */
const cancelMs = 3000;

export function createPromises(queue: EventQueue, attempts = 2): Promises {
	const breaches: JobInvariantViolation[] = [];
	const jobs = new Map<string, WatchedJob>();
	const cancelRequests = new Map<string, string>();
	const running = new Map<string, Map<VirtualRun, VirtualEndpoint>>();
	const done = new Set<string>();
	/** Good ends that may still be taken note of, by task. */
	const open = new Map<string, VirtualEndpoint>();
	const noted = new Set<string>();
	/** Tasks that were started again after a good end; a breach once that end is taken note of. */
	const suspects = new Map<string, string>();
	/** The same for starts beyond the attempts. */
	const overspent = new Map<string, string>();
	/** Failed ends by task: those taken note of, and those that may be yet, by endpoint. */
	const failures = new Map<string, {noted: number; readonly open: VirtualEndpoint[]}>();
	let startCount = 0;

	function report(promise: PromiseName, message: string): void {
		breaches.push({invariant: promise, at: queue.now, message});
	}

	function getStep(taskId: string): StepSpec | undefined {
		const name = parseTaskId(taskId);
		return name === undefined ? undefined : jobs.get(name.jobId)?.spec.steps[name.step];
	}

	function checkStart(run: VirtualRun, endpoint: VirtualEndpoint): void {
		const {taskId} = run;
		const name = parseTaskId(taskId)!;
		const job = jobs.get(name.jobId);
		const step = getStep(taskId);
		if (job === undefined || step === undefined) {
			report('unasked', `${taskId} was handed in by nobody`);
			return;
		}

		for (const [other, place] of running.get(taskId) ?? []) {
			if (place.isUp && !step.mayDuplicate) {
				report('twice', `${taskId} run ${run.run} starts on ${endpoint.registration.id} while run ${other.run} is at work on ${place.registration.id}`);
			}
		}

		if (noted.has(taskId) && !step.mayDuplicate) {
			report('twice', `${taskId} run ${run.run} starts after it was done`);
		}

		if (open.has(taskId) && !step.mayDuplicate) {
			suspects.set(taskId, `${taskId} run ${run.run} starts after it was done on ${open.get(taskId)!.registration.id}`);
		}

		for (const before of step.after) {
			for (let index = 0; index < job.spec.steps[before]!.count; index++) {
				if (!done.has(`${name.jobId}.${name.occurrence}.${before}.${index}`)) {
					report('order', `${taskId} starts before task ${index} of step ${before} is done`);
				}
			}
		}

		const failed = failures.get(taskId);
		if (failed !== undefined && failed.noted + failed.open.length >= job.attempts && !step.isLongRunning) {
			const message = `${taskId} starts after ${failed.noted + failed.open.length} failures`;
			if (failed.open.length === 0) {
				report('budget', message);
			}

			overspent.set(taskId, message);
		}

		if (job.cancelledAt !== undefined && queue.now > job.cancelledAt + cancelMs) {
			report('unasked', `${taskId} starts ${Math.round(queue.now - job.cancelledAt)} ms after its job was cancelled`);
		}

		if (job.answer !== undefined && job.answer !== 'accepted' && job.answer !== 'undecided') {
			report('refused', `${taskId} starts, though its job was answered ${job.answer}`);
		}
	}

	function noteFailure(endpoint: VirtualEndpoint, taskId: string): void {
		const failed = failures.get(taskId);
		const index = failed?.open.indexOf(endpoint) ?? -1;
		if (failed === undefined || index < 0) {
			return;
		}

		failed.open.splice(index, 1);
		failed.noted += 1;
		const message = overspent.get(taskId);
		const attempts = jobs.get(parseTaskId(taskId)!.jobId)?.attempts ?? 0;
		if (message !== undefined && failed.noted >= attempts && failed.open.length === 0) {
			report('budget', message);
		}
	}

	/** A lease that lapsed, or a crash, between an end and its being taken note of stands for good. */
	function forgetOpenEnds(endpoint: VirtualEndpoint): void {
		for (const [taskId, place] of open) {
			if (place === endpoint) {
				open.delete(taskId);
			}
		}

		for (const [taskId, failed] of failures) {
			const rest = failed.open.filter(place => place !== endpoint);
			if (rest.length < failed.open.length) {
				overspent.delete(taskId);
				failed.open.splice(0, failed.open.length, ...rest);
			}
		}
	}

	return {
		breaches,
		report,
		getStep,
		getStartCount: () => startCount,
		isDone: taskId => done.has(taskId),
		noteJob(jobId, requestId, spec) {
			jobs.set(jobId, {
				spec, attempts, cancelledAt: undefined, answer: undefined, requestId,
			});
		},
		noteCancel(jobId, requestId) {
			cancelRequests.set(requestId, jobId);
		},
		noteAnswer(requestId, answer) {
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
		noteCrash(endpoint) {
			for (const places of running.values()) {
				for (const [run, place] of places) {
					if (place === endpoint) {
						places.delete(run);
					}
				}
			}

			forgetOpenEnds(endpoint);
		},
		lapsed: forgetOpenEnds,
		started(endpoint, run) {
			startCount += 1;
			checkStart(run, endpoint);
			const places = running.get(run.taskId) ?? new Map<VirtualRun, VirtualEndpoint>();
			running.set(run.taskId, places.set(run, endpoint));
		},
		ended(endpoint: VirtualEndpoint, run: VirtualRun, how: RunOutcome) {
			running.get(run.taskId)?.delete(run);
			if (how === 'done') {
				done.add(run.taskId);
				open.set(run.taskId, endpoint);
			}

			if (how === 'failed') {
				const failed = failures.get(run.taskId) ?? {noted: 0, open: []};
				failed.open.push(endpoint);
				failures.set(run.taskId, failed);
			}
		},
		noted(endpoint, end: ReportedEnd) {
			if (end.outcome === 'failed') {
				noteFailure(endpoint, end.taskId);
			}

			if (end.outcome !== 'done' || open.get(end.taskId) !== endpoint) {
				return;
			}

			open.delete(end.taskId);
			noted.add(end.taskId);
			const message = suspects.get(end.taskId);
			if (message !== undefined) {
				report('twice', message);
			}
		},
	};
}
