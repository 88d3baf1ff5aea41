import {type Job, type Step, type Task} from '../ledger/index.js';
import {type DurationModel, type StepSpec} from '../model/index.js';
import {type Run} from '../supervision/index.js';
import {predictDurationMs} from './duration-model.js';
import {type CachedEstimate} from './estimate-job.js';

/** Health of an endpoint, as observed from its runs. @public */
export type EndpointHealth = {
	/** Number of consecutive failures. */
	failuresInRow: number;
	/** Monotonic ms before which no task is started there. */
	avoidUntil: number;
	/** Moving mean of the ratio of measured to expected durations; 1 is as expected. */
	slowness: number;
};

/** Observations from runs. @public */
export type ObservationState = {
	readonly endpoints: Map<string, EndpointHealth>;
	/** Durations of tasks against their estimates, by queue. */
	readonly durationModels: Map<string, DurationModel>;
	/** Durations of tasks of the same step, in ms: tasks of a step differ less from each other than from those of other jobs. */
	readonly stepDurations: WeakMap<Step, number>;
	/** Cache of `getJobEstimate`. */
	readonly jobEstimates: WeakMap<Job, CachedEstimate>;
	/** Endpoint on which each task last failed, stalled or was slow. */
	readonly lastFailedEndpoints: WeakMap<Task, string>;
	/** For long-running tasks that have failed before they were at work: number of such runs in a row, and in monotonic ms when the next one may start. */
	readonly earlyEnds: WeakMap<Task, {readonly count: number; readonly retryAt: number}>;
	/** Runs of long-running tasks that have been seen at work. */
	readonly servingRuns: WeakSet<Run>;
	/** Tasks that were moved because their runs were slow. If they are slow again, it is not the endpoint. */
	readonly movedSlowTasks: WeakSet<Task>;
	/** Number of the run of a task that a previous owner has started. When it began is not known. */
	readonly adoptedRuns: WeakMap<Task, number>;
};

/** Read-only view of the observations for other filters. @public */
export type ObservationView = {
	readonly observation: {
		readonly endpoints: ReadonlyMap<string, Readonly<EndpointHealth>>;
		readonly durationModels: ReadonlyMap<string, Readonly<DurationModel>>;
		readonly stepDurations: Pick<WeakMap<Step, number>, 'get'>;
		readonly jobEstimates: WeakMap<Job, CachedEstimate>;
		readonly lastFailedEndpoints: Pick<WeakMap<Task, string>, 'get'>;
		readonly earlyEnds: Pick<WeakMap<Task, {readonly retryAt: number}>, 'get'>;
	};
};

/** @public */
export function createObservationState(): ObservationState {
	return {
		endpoints: new Map(), durationModels: new Map(), stepDurations: new WeakMap(), jobEstimates: new WeakMap(), lastFailedEndpoints: new WeakMap(), earlyEnds: new WeakMap(), servingRuns: new WeakSet(), movedSlowTasks: new WeakSet(), adoptedRuns: new WeakMap(),
	};
}

/** Returns the health of an endpoint; one without observations counts as healthy. @internal */
export function getEndpointHealth(state: ObservationState, endpointId: string): EndpointHealth {
	const known = state.endpoints.get(endpointId);
	if (known !== undefined) {
		return known;
	}

	const health: EndpointHealth = {failuresInRow: 0, avoidUntil: 0, slowness: 1};
	state.endpoints.set(endpointId, health);
	return health;
}

/** Whether a long-running task has failed before it was at work and is not to be started again yet. @internal */
export function isRetryDelayed({observation}: ObservationView, task: Task, now: number): boolean {
	return now < (observation.earlyEnds.get(task)?.retryAt ?? 0);
}

/** Predicts the duration in ms of a task of a step that has not been measured. @internal */
export function predictUnmeasuredMs({observation}: ObservationView, queue: string, spec: StepSpec): number {
	return predictDurationMs(observation.durationModels.get(queue), spec.estimateMs);
}

/** Returns a function that predicts the duration in ms of a task of a queue's job from its step, or from the step's specification while there is no step. @public */
export function createDurationPredictor(state: ObservationView, queue: string): (spec: StepSpec, step: Step | undefined) => number {
	return (spec, step) => (step === undefined ? undefined : state.observation.stepDurations.get(step)) ?? predictUnmeasuredMs(state, queue, spec);
}
