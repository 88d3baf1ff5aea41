import {type JobSpec, type StepSpec} from '@pistachiogauge/jobs';
import {createJobsSimulation, type JobsSimulation} from './jobs-simulation.js';
import {chooseItem, injectFault, listRunningEntries} from './inject-fault.js';
import {type JobInvariantViolation} from './job-invariant-checker.js';

/** Result of one randomised run. */
export type JobsSoakResult = {
	readonly seed: number;
	readonly violations: readonly JobInvariantViolation[];
	/** Accepted jobs that had no outcome at the end, although the faults had ended before. */
	readonly unfinishedJobIds: readonly string[];
	readonly acceptedCount: number;
	readonly startCount: number;
};

export type JobsSoakOptions = {
	readonly seed: number;
	readonly steps: number;
	readonly faults: readonly string[];
	/** Receives each line of the entries' logs, and a line for each fault. */
	readonly onLine?: (line: string) => void;
};

const pools = {desk: 3, notify: 3};
const entryCount = 4;
/** About 1.5 times the resources that the drawn jobs request, so that a backlog drains once the faults end. */
const endpointCapacity = {cpuMillis: 24_000, memoryMb: 64_000, gpus: 0};

function createStep(simulation: JobsSimulation, isFirst: boolean): StepSpec {
	const isLongRunning = isFirst && simulation.random.getInteger(12) === 0;
	return {
		count: 1 + simulation.random.getInteger(5),
		room: {cpuMillis: 500 + simulation.random.getInteger(2500), memoryMb: 400, gpus: 0},
		estimateMs: 300 + simulation.random.getInteger(1500),
		after: isFirst ? [] : [0],
		isCheckpointing: false,
		isGang: false,
		isSameRack: false,
		requiredLabel: undefined,
		dataRack: undefined,
		endpointLimit: isLongRunning ? 2 : undefined,
		mayDuplicate: false,
		isLongRunning,
		image: '',
		tailTargetMs: undefined,
		isFiller: false,
		missLimit: isLongRunning ? 1 : undefined,
	};
}

function submitRandomJob(simulation: JobsSimulation): {readonly jobId: string; readonly queueName: string; readonly isLongRunning: boolean} | undefined {
	const entry = chooseItem(simulation, listRunningEntries(simulation));
	if (entry === undefined) {
		return undefined;
	}

	const first = createStep(simulation, true);
	const steps = first.isLongRunning || simulation.random.getInteger(2) === 0 ? [first] : [first, createStep(simulation, false)];
	const spec: JobSpec = {
		payload: '', steps, repeatCount: 0, startAtMs: 0, intervalMs: 0,
	};
	const queueName = `jobs-${chooseItem(simulation, Object.keys(pools))!}`;
	const jobId = simulation.submitJob(entry, queueName, spec, {
		durationMs: first.isLongRunning ? Number.POSITIVE_INFINITY : 200 + simulation.random.getInteger(2500), isFailing: simulation.random.getInteger(30) === 0,
	});
	return {jobId, queueName, isLongRunning: first.isLongRunning};
}

/** Mean virtual time between two steps. */
const stepMs = 150;
/** Virtual time after the last step in which all jobs have to end. */
const settleMs = 60_000;
/** On average, one step in this many starts a fault, and one in `stepsPerCancellation` cancels a job. */
const stepsPerFault = 14;
const stepsPerCancellation = 11;

/** Runs random jobs with random faults and checks the invariants; the same seed gives the same run. */
export function runJobsSoak(options: JobsSoakOptions): JobsSoakResult {
	const simulation = createJobsSimulation({
		seed: options.seed, entryCount, pools, endpointCapacity, onLine: options.onLine,
	});
	simulation.runFor(1500);
	const jobs = new Map<string, {readonly queueName: string; readonly isLongRunning: boolean}>();
	for (let count = 0; count < options.steps && simulation.checker.violations.length === 0; count++) {
		const job = submitRandomJob(simulation);
		if (job !== undefined) {
			jobs.set(job.jobId, job);
		}

		if (simulation.random.getInteger(stepsPerFault) === 0) {
			const fault = chooseItem(simulation, options.faults) ?? '';
			simulation.logFault(fault);
			injectFault(simulation, fault);
		}

		const entry = chooseItem(simulation, listRunningEntries(simulation));
		const cancelled = chooseItem(simulation, [...jobs.keys()]);
		if (entry !== undefined && cancelled !== undefined && simulation.random.getInteger(stepsPerCancellation) === 0) {
			simulation.cancelJob(entry, jobs.get(cancelled)!.queueName, cancelled);
		}

		simulation.runFor(stepMs * 2 * simulation.random.getFraction());
	}

	for (const [jobId, {queueName, isLongRunning}] of jobs) {
		const entry = simulation.entries[0]!;
		if (isLongRunning) {
			simulation.queue.add(settleMs / 2, () => {
				simulation.cancelJob(entry, queueName, jobId);
			});
		}
	}

	simulation.runFor(settleMs);
	const acceptedJobs = [...jobs].filter(([id]) => simulation.answers.get(`submit-${id}`)?.kind === 'accepted');
	const unfinishedJobIds = acceptedJobs
		.filter(([id]) => simulation.store.getProgress(id)?.endedAt === undefined)
		.map(([id]) => id);
	return {
		seed: options.seed, violations: simulation.checker.violations, unfinishedJobIds, acceptedCount: acceptedJobs.length, startCount: simulation.checker.getStartCount(),
	};
}
