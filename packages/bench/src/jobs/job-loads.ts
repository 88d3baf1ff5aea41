import {type JobSpec, type StepSpec} from '@pistachiogauge/jobs';
import {chooseItem, injectFault, listRunningEntries} from './inject-fault.js';
import {type JobsSimulation} from './jobs-simulation.js';
import {chooseBetween} from './order-routes.js';

/** A job of a randomised run. */
export type SoakJob = {
	readonly jobId: string;
	readonly queueName: string;
	/** Whether it may run or wait until it is cancelled, as it is long-running or no endpoint may be able to run it. */
	readonly isEndless: boolean;
};

type LoadCreator = (simulation: JobsSimulation, pool: string) => SoakJob[];

/** Time after its submission in which a caller cancels a job early. */
const quickCancelMs = 100;
const roomyStep: StepSpec = {
	count: 1,
	room: {cpuMillis: 20, memoryMb: 10, gpus: 0},
	estimateMs: 800,
	after: [],
	isCheckpointing: false,
	isGang: false,
	isSameRack: false,
	requiredLabel: undefined,
	dataRack: undefined,
	endpointLimit: undefined,
	mayDuplicate: false,
	isLongRunning: false,
	image: '',
	tailTargetMs: undefined,
	isFiller: false,
	missLimit: undefined,
};

/** Creates a job of one small step, changed by the given traits. */
export function createPlainSpec(traits: Partial<StepSpec> = {}): JobSpec {
	return {
		payload: '', steps: [{...roomyStep, ...traits}], repeatCount: 0, startAtMs: 0, intervalMs: 0,
	};
}

/** Submits jobs of one step at an entry. */
function submitJobs(simulation: JobsSimulation, queueName: string, count: number, traits: Partial<StepSpec>, {isEndless = traits.isLongRunning === true, durationMs = 800} = {}): SoakJob[] {
	const entry = chooseItem(simulation, listRunningEntries(simulation));
	if (entry === undefined) {
		return [];
	}

	const spec = createPlainSpec(traits);
	const behaviour = {durationMs: traits.isLongRunning === true ? Number.POSITIVE_INFINITY : durationMs};
	return Array.from({length: count}, () => ({jobId: simulation.submitJob(entry, queueName, spec, behaviour), queueName, isEndless}));
}

/** Shapes of load that a mix of ordinary jobs does not have. */
const loadCreators: Readonly<Record<string, LoadCreator>> = {
	'absent-label': (simulation, pool) => submitJobs(simulation, `jobs-${pool}`, 8, {isLongRunning: simulation.random.getInteger(2) === 0, requiredLabel: 'absent'}, {isEndless: true}),
	'too-wide': (simulation, pool) => submitJobs(simulation, `jobs-${pool}`, 8, {count: 60, endpointLimit: 1, isLongRunning: true}),
	'rare-label': (simulation, pool) => submitJobs(simulation, `jobs-${pool}`, 4, {isLongRunning: simulation.random.getInteger(2) === 0, requiredLabel: 'rack-1'}, {isEndless: true}),
	'cancelled-early'(simulation, pool) {
		// Some of their starts are lost.
		injectFault(simulation, 'orders-late');
		const jobs = submitJobs(simulation, `jobs-${pool}`, 3, {count: 6, room: {cpuMillis: 1500, memoryMb: 400, gpus: 0}});
		for (const {jobId, queueName} of jobs) {
			simulation.queue.add(quickCancelMs, () => {
				const entry = chooseItem(simulation, listRunningEntries(simulation));
				if (entry !== undefined) {
					simulation.cancelJob(entry, queueName, jobId);
				}
			});
		}

		return jobs;
	},
	advised: (simulation, pool) => submitJobs(simulation, `advised-${pool}`, 1 + simulation.random.getInteger(6), {count: 1 + simulation.random.getInteger(2), isLongRunning: simulation.random.getInteger(3) === 0}, {isEndless: true}),
};

/** Submits a long-running job to a pool that needs all of its endpoints but one, which it may have evacuated as it had nothing for them to do. */
export function submitWideJob(simulation: JobsSimulation, pool: string): SoakJob[] {
	const count = [...simulation.endpoints.values()].filter(({isUp, registration}) => isUp && registration.pool === pool).length - 1;
	return count < 1 ? [] : submitJobs(simulation, `jobs-${pool}`, 1, {count, endpointLimit: 1, isLongRunning: true});
}

/** Bounds of the duration of tasks that run beyond a restart of their endpoint and a cut. */
const longTaskMs = {min: 5000, max: 13_000} as const;
const longStep: Partial<StepSpec> = {count: 2, room: {cpuMillis: 100, memoryMb: 50, gpus: 0}};
const longJobCount = 4;

/** Loads by the fault whose effects they show. */
const faultLoads: Readonly<Record<string, LoadCreator>> = {
	'endpoints-recut'(simulation, pool) {
		const durations = Array.from({length: longJobCount}, () => chooseBetween(simulation.random, longTaskMs));
		return durations.flatMap(durationMs => submitJobs(simulation, `jobs-${pool}`, 1, {...longStep, estimateMs: Math.round(durationMs)}, {durationMs}));
	},
};

/** Submits the jobs that show the effects of a fault to a pool; ordinary jobs show those of most faults. */
export function submitFaultLoad(simulation: JobsSimulation, fault: string, pool: string): SoakJob[] {
	return faultLoads[fault]?.(simulation, pool) ?? [];
}

/** Names of the loads that the command line accepts. */
export const jobLoads: readonly string[] = Object.keys(loadCreators);

/** Submits the jobs of the load with a given name to a pool; an unknown name submits none. */
export function submitLoad(simulation: JobsSimulation, load: string, pool: string): SoakJob[] {
	return loadCreators[load]?.(simulation, pool) ?? [];
}
