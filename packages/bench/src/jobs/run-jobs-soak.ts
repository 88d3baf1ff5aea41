import {type JobSpec, type Resources, type StepSpec} from '@pistachiogauge/jobs';
import {createJobsSimulation, type JobsSimulation} from './jobs-simulation.js';
import {chooseItem, injectFault, listRunningEntries} from './inject-fault.js';
import {
	createLeakWatch, findIdleJobs, findIdleTasks, type LeakWatch,
} from './find-lost-work.js';
import {type JobInvariantViolation} from './job-invariant-checker.js';
import {
	submitFaultLoad, submitLoad, submitWideJob, type SoakJob,
} from './job-loads.js';
import {createAccountsPlay} from './play-accounts.js';
import {createChangesPlay} from './play-changes.js';
import {virtualMoveOutcomes} from './virtual-machine-service.js';

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
	/** Shapes of load beside the ordinary jobs. */
	readonly loads: readonly string[];
	/** Whether the deployment has client accounts, which the operator changes during the run. */
	readonly hasAccounts?: boolean;
	/** Changes by the operator and callers; see `jobChanges`. */
	readonly changes?: readonly string[];
	/** Receives each line of the entries' logs, and a line for each fault. */
	readonly onLine?: (line: string) => void;
};

const smallPools = {desk: 3, notify: 3};
/** Seeds have from no machines that are switched off to one less than this. */
const spareMachineCounts = 4;
/** More endpoints than one call for advice names. */
const largePools = {desk: 44, notify: 3};
/** One seed in this many has the large pools, if any loads are played. */
const seedsPerLargePool = 8;
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

function submitRandomJob(simulation: JobsSimulation, pools: readonly string[]): SoakJob | undefined {
	const entry = chooseItem(simulation, listRunningEntries(simulation));
	if (entry === undefined) {
		return undefined;
	}

	const first = createStep(simulation, true);
	const steps = first.isLongRunning || simulation.random.getInteger(2) === 0 ? [first] : [first, createStep(simulation, false)];
	const spec: JobSpec = {
		payload: '', steps, repeatCount: 0, startAtMs: 0, intervalMs: 0,
	};
	const queueName = `jobs-${chooseItem(simulation, pools)!}`;
	const jobId = simulation.submitJob(entry, queueName, spec, {
		durationMs: first.isLongRunning ? Number.POSITIVE_INFINITY : 200 + simulation.random.getInteger(2500), isFailing: simulation.random.getInteger(30) === 0,
	});
	return {jobId, queueName, isEndless: first.isLongRunning};
}

/** Mean virtual time between two steps. */
const stepMs = 150;
/** Virtual time after the last step in which all jobs have to end. */
const settleMs = 60_000;
/** On average, one step in this many starts a fault, and one in `stepsPerCancellation` cancels a job. */
const stepsPerFault = 14;
const stepsPerCancellation = 11;

/** Mean number of steps between two loads. */
const stepsPerLoad = 15;
/** When endless jobs are cancelled, in virtual time after the last step. */
const endlessMs = settleMs / 2;
/** When idle jobs are looked for: all faults and what follows from them have ended. */
const watchAfterMs = 26_000;
/** When wide jobs are submitted; a long-running task may be without a run for 6 s before the looks begin. */
const wideJobsAfterMs = watchAfterMs - 8000;
/** Number of these looks and the time between two of them; 3 s in all. */
const lookCount = 7;
const lookIntervalMs = 500;

/** Runs random jobs with random faults and checks the invariants; the same seed gives the same run. */
export function runJobsSoak(options: JobsSoakOptions): JobsSoakResult {
	const {
		seed, steps, loads, hasAccounts = false, changes = [],
	} = options;
	const pools = loads.length > 0 && seed % seedsPerLargePool === 0 ? largePools : smallPools;
	const endpointCount = Object.values(pools).reduce((sum, count) => sum + count, 0);
	const accountsPlay = hasAccounts ? createAccountsPlay(seed, multiplyResources(endpointCapacity, endpointCount)) : undefined;
	const simulation = createJobsSimulation({
		seed, entryCount, pools, endpointCapacity, spareMachineCount: loads.length > 0 ? seed % spareMachineCounts : 0, accounts: accountsPlay?.initialAccounts, onLine: options.onLine,
	});
	accountsPlay?.start(simulation);
	const changesPlay = createChangesPlay(seed, changes);
	simulation.machineService.outcome = virtualMoveOutcomes[seed % virtualMoveOutcomes.length]!;
	simulation.runFor(1500);
	const jobs = new Map<string, SoakJob>();
	const leakWatch = createLeakWatch(simulation);
	for (let count = 0; count < steps && simulation.checker.violations.length === 0; count++) {
		const hasFault = playStep(simulation, {jobs, pools: Object.keys(pools), options});
		for (const job of changesPlay.playStep(simulation, jobs)) {
			jobs.set(job.jobId, job);
		}

		accountsPlay?.playStep(simulation, jobs, {isHot: isHotStep(count, steps), hasFault});
		simulation.runFor(stepMs * 2 * simulation.random.getFraction());
		reportLeaks(simulation, leakWatch);
	}

	accountsPlay?.finish(simulation);
	changesPlay.finish(simulation);
	const cancelsAt = simulation.queue.now + endlessMs;
	simulation.runFor(wideJobsAfterMs);
	for (const job of loads.length > 0 ? Object.keys(pools).flatMap(pool => submitWideJob(simulation, pool)) : []) {
		jobs.set(job.jobId, job);
	}

	for (const {jobId, queueName} of [...jobs.values()].filter(({isEndless}) => isEndless)) {
		simulation.queue.add(cancelsAt - simulation.queue.now, () => {
			simulation.cancelJob(simulation.entries[0]!, queueName, jobId);
		});
	}

	simulation.runFor(watchAfterMs - wideJobsAfterMs);
	watchLostWork(simulation, [...jobs.keys()], leakWatch);
	simulation.runFor(settleMs - watchAfterMs - ((lookCount - 1) * lookIntervalMs));
	const acceptedJobs = [...jobs].filter(([id]) => simulation.answers.get(`submit-${id}`)?.kind === 'accepted');
	const unfinishedJobIds = acceptedJobs
		.filter(([id]) => simulation.store.getProgress(id)?.endedAt === undefined && simulation.store.getLocation(id)?.isCancelled !== true)
		.map(([id]) => id);
	return {
		seed, violations: simulation.checker.violations, unfinishedJobIds, acceptedCount: acceptedJobs.length, startCount: simulation.checker.getStartCount(),
	};
}

/** Plays one step. @returns Whether a fault began. */
function playStep(simulation: JobsSimulation, {jobs, pools, options: {faults, loads}}: {readonly jobs: Map<string, SoakJob>; readonly pools: readonly string[]; readonly options: JobsSoakOptions}): boolean {
	const {random} = simulation;
	const job = submitRandomJob(simulation, pools);
	if (job !== undefined) {
		jobs.set(job.jobId, job);
	}

	if (loads.length > 0 && random.getInteger(stepsPerLoad) === 0) {
		const load = chooseItem(simulation, loads)!;
		simulation.logFault(`load ${load}`);
		for (const each of submitLoad(simulation, load, chooseItem(simulation, pools)!)) {
			jobs.set(each.jobId, each);
		}
	}

	const hasFault = random.getInteger(stepsPerFault) === 0;
	if (hasFault) {
		const fault = chooseItem(simulation, faults) ?? '';
		simulation.logFault(fault);
		injectFault(simulation, fault);
		for (const each of pools.flatMap(pool => submitFaultLoad(simulation, fault, pool))) {
			jobs.set(each.jobId, each);
		}
	}

	const entry = chooseItem(simulation, listRunningEntries(simulation));
	const cancelled = chooseItem(simulation, [...jobs.keys()]);
	if (entry !== undefined && cancelled !== undefined && random.getInteger(stepsPerCancellation) === 0) {
		simulation.cancelJob(entry, jobs.get(cancelled)!.queueName, cancelled);
	}

	return hasFault;
}

/** Whether the hot account sends more than usual: in the middle third of the steps. */
function isHotStep(count: number, steps: number): boolean {
	return count >= steps / 3 && count < 2 * steps / 3;
}

function multiplyResources({cpuMillis, memoryMb, gpus}: Resources, factor: number): Resources {
	return {cpuMillis: cpuMillis * factor, memoryMb: memoryMb * factor, gpus: gpus * factor};
}

/** Looks at the simulation for 3 s in calm, and reports jobs and long-running tasks that were idle each time. */
function watchLostWork(simulation: JobsSimulation, jobIds: readonly string[], leakWatch: LeakWatch): void {
	let idleJobIds = findIdleJobs(simulation, jobIds);
	let idleTaskIds = findIdleTasks(simulation, jobIds);
	for (let look = 1; look < lookCount; look++) {
		simulation.runFor(lookIntervalMs);
		idleJobIds = findIdleJobs(simulation, idleJobIds);
		const idleNow = new Set(findIdleTasks(simulation, jobIds));
		idleTaskIds = idleTaskIds.filter(taskId => idleNow.has(taskId));
		reportLeaks(simulation, leakWatch);
	}

	if (idleTaskIds.length > 0) {
		simulation.checker.reportViolation('idle', `${idleTaskIds.length} long-running tasks do not run, ${idleTaskIds.slice(0, 5).join(', ')}`);
	}

	if (idleJobIds.length > 0) {
		simulation.checker.reportViolation('idle', `nothing runs of ${idleJobIds.length} jobs, ${idleJobIds.slice(0, 5).join(', ')}`);
	}
}

function reportLeaks({checker}: JobsSimulation, leakWatch: LeakWatch): void {
	const [run] = leakWatch.look();
	if (run !== undefined) {
		checker.reportViolation('leaked', `${run} is counted, but the endpoint does not have it`);
	}
}
