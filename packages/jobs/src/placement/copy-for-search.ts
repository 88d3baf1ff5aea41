import {
	type Job, type PoolLedger, type Step, type Task,
} from '../ledger/index.js';
import {type ObservationView} from '../observation/index.js';
import {type PoolDisplacement} from './displacement-state.js';
import {hasPendingTasks, type PlacementFilterState} from './placement-filter.js';
import {type PlacementState} from './placement-state.js';

type Observation = ObservationView['observation'];

/** A state in which a search changes nothing of the one that it was copied from. @internal */
export type SearchCopy = {
	readonly state: PlacementFilterState;
	readonly pool: Readonly<PoolLedger>;
};

/**
Copies what a search of a pool for tasks to start changes: the waiting jobs, the state of placement and the cached estimates.

All else is shared with the original state, and a search only reads it.

@internal
*/
export function copyForSearch(state: PlacementFilterState, pool: Readonly<PoolLedger>): SearchCopy {
	const copies = new Map<Job, Job>();
	const stepDurations = new WeakMap<Step, number>();
	const earlyEnds = new WeakMap<Task, {readonly retryAt: number}>();
	const lastFailedEndpoints = new WeakMap<Task, string>();
	const copyMeasures = (step: Step, copy: Step) => {
		const duration = state.observation.stepDurations.get(step);
		if (duration !== undefined) {
			stepDurations.set(copy, duration);
		}

		for (const [index, task] of step.tasks.started) {
			const taskCopy = copy.tasks.started.get(index)!;
			const end = state.observation.earlyEnds.get(task);
			if (end !== undefined) {
				earlyEnds.set(taskCopy, end);
			}

			const failedEndpoint = state.observation.lastFailedEndpoints.get(task);
			if (failedEndpoint !== undefined) {
				lastFailedEndpoints.set(taskCopy, failedEndpoint);
			}
		}
	};

	for (const job of pool.activeJobs) {
		if (hasPendingTasks(job.steps.values())) {
			copies.set(job, copyJob(job, copyMeasures));
		}
	}

	const observation: Observation = {
		...state.observation,
		jobEstimates: new WeakMap(),
		stepDurations: {get: step => stepDurations.get(step) ?? state.observation.stepDurations.get(step)},
		earlyEnds: {get: task => earlyEnds.get(task) ?? state.observation.earlyEnds.get(task)},
		lastFailedEndpoints: {get: task => lastFailedEndpoints.get(task) ?? state.observation.lastFailedEndpoints.get(task)},
	};
	const poolCopy = {...pool, activeJobs: new Set([...pool.activeJobs].map(job => copies.get(job) ?? job))};
	return {
		state: {
			...state, observation, placement: copyPlacement(state.placement, pool, copies), ledger: {pools: new Map([[pool.pool, poolCopy]])},
		},
		pool: poolCopy,
	};
}

function copyJob(job: Job, copyMeasures: (step: Step, copy: Step) => void): Job {
	const copy: Job = {...job, steps: new Map()};
	for (const [key, step] of job.steps) {
		const started = new Map<number, Task>();
		const stepCopy: Step = {...step, job: copy, tasks: {...step.tasks, started}};
		for (const [index, task] of step.tasks.started) {
			started.set(index, {...task, step: stepCopy, runs: new Map(task.runs)});
		}

		copyMeasures(step, stepCopy);
		copy.steps.set(key, stepCopy);
	}

	return copy;
}

function copyPlacement(placement: PlacementState, pool: Readonly<PoolLedger>, copies: ReadonlyMap<Job, Job>): PlacementState {
	const displacement = placement.displacements.get(pool.pool);
	return {
		...placement,
		displacements: new Map(displacement === undefined ? [] : [[pool.pool, copyDisplacement(displacement, pool, copies)]]),
		accountLabels: new Set(placement.accountLabels),
		reservedSteps: new Map([...placement.reservedSteps].map(([endpointId, steps]) => [endpointId, new Map(steps)])),
		searchedAt: new Map(),
		searchSizes: new Map(),
		duePools: new Set(),
		advice: new Map([...placement.advice].map(([stepId, advice]) => [stepId, {...advice}])),
		blockedSteps: new WeakMap(),
		waitLoggedAt: new Map(),
		endpointUses: new Map(placement.endpointUses),
	};
}

function copyDisplacement(displacement: PoolDisplacement, {jobs}: Readonly<PoolLedger>, copies: ReadonlyMap<Job, Job>): PoolDisplacement {
	const profiles: PoolDisplacement['profiles'] = new WeakMap();
	for (const job of new Set([...jobs.values(), ...displacement.openJobs])) {
		const profile = displacement.profiles.get(job);
		if (profile !== undefined) {
			profiles.set(copies.get(job) ?? job, {...profile});
		}
	}

	return {
		...displacement,
		queues: structuredClone(displacement.queues),
		allowances: structuredClone(displacement.allowances),
		profiles,
		openJobs: new Set([...displacement.openJobs].map(job => copies.get(job) ?? job)),
		preemptionCounts: new WeakMap(),
	};
}
