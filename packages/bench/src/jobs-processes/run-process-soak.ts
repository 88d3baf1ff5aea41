import {rmSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import {type Observation} from '@pistachiogauge/platform/standins';
import {type Violation} from './checks/index.js';
import {type FaultKind} from './fault-plan.js';
import {startFault} from './faults.js';
import {startInstallation, type Installation} from './installation.js';
import {checkObservations} from './kept-record.js';
import {playLoad, requestFinalStates} from './load.js';
import {addOddJobs} from './odd-jobs.js';
import {balancePlan} from './balanced-pools.js';
import {addAccounts} from './plan-accounts.js';
import {playAccounts} from './play-accounts.js';
import {addRecuts} from './recuts.js';
import {addChanges, type ChangeKind} from './plan-changes.js';
import {createRunPlan, type MoveMode, type RunPlan} from './run-plan.js';

/** Result of one run with entry processes. */
export type ProcessSoakResult = {
	readonly seed: number;
	readonly violations: readonly Violation[];
	readonly startCount: number;
	/** Jobs that the entries accepted. */
	readonly acceptedCount: number;
	/** Times that a client was shown the state of a job. */
	readonly stateCount: number;
	readonly faultCount: number;
	/** Folder of the entries' logs and the record. */
	readonly logFolder: string;
};

export type ProcessSoakOptions = {
	readonly seed: number;
	/** Length of the load and the faults in ms; the start and the time to recover come on top. */
	readonly durationMs: number;
	/** Kinds of faults that are played; the others are left out of the plan. */
	readonly faultKinds: readonly FaultKind[];
	/** Whether jobs of odd shapes are played beside the ordinary ones. */
	readonly hasOddJobs: boolean;
	/** What becomes of moves of machines; if given, pools are played whose machines are moved as their demand changes. */
	readonly moves: MoveMode | undefined;
	/** Whether the deployment has client accounts, which the operator changes during the run. */
	readonly hasAccounts: boolean;
	/** What the operator and clients change beside ordinary jobs. */
	readonly changeKinds: readonly ChangeKind[];
	/** Keeps the logs of runs that break no rule as well. */
	readonly keepsLogs: boolean;
};

/** Jobs have to end within this time after the faults. */
const finishMs = 14_000;
/** The claims are spread among the entries before the load begins. */
const warmUpMs = 2000;

/** Plays one run; the same seed gives the same jobs and faults, but not the same timing. */
export async function runProcessSoak({
	seed, durationMs, faultKinds, hasOddJobs, moves, hasAccounts, changeKinds, keepsLogs,
}: ProcessSoakOptions): Promise<ProcessSoakResult> {
	const plan = createPlan({
		seed, durationMs, faultKinds, hasOddJobs, moves, hasAccounts, changeKinds,
	});
	const installation = await startInstallation(plan);
	try {
		await installation.waitUntilReady();
		await delay(warmUpMs);
		const [accepted] = await Promise.all([playLoad(installation), playFaults(installation), playAccounts(installation), playQueueChanges(installation)]);
		await delay(finishMs);
		await requestFinalStates(installation, accepted);
	} finally {
		await installation.close();
	}

	const {observations, logFolder} = installation;
	const violations = checkObservations(plan, observations);
	if (violations.length === 0 && !keepsLogs) {
		rmSync(logFolder, {recursive: true, force: true});
	}

	return {
		seed,
		violations,
		logFolder,
		startCount: countOf(observations, 'run-started'),
		acceptedCount: countAccepted(observations),
		stateCount: countStates(observations),
		faultCount: plan.faults.length,
	};
}

function createPlan({
	seed, durationMs, faultKinds, hasOddJobs, moves, hasAccounts, changeKinds,
}: Omit<ProcessSoakOptions, 'keepsLogs'>): RunPlan {
	const randomPlan = createRunPlan(seed, durationMs);
	const drawnPlan = faultKinds.includes('endpoints-recut') ? addRecuts(randomPlan) : randomPlan;
	const balancedPlan = moves === undefined ? drawnPlan : balancePlan(drawnPlan, moves);
	const plan = {...(hasOddJobs ? addOddJobs(balancedPlan) : balancedPlan), faults: drawnPlan.faults.filter(({kind}) => faultKinds.includes(kind))};
	return addChanges(hasAccounts ? addAccounts(plan, faultKinds) : plan, changeKinds);
}

function countAccepted(observations: readonly Observation[]): number {
	const jobIds = observations.flatMap(observation => observation.kind === 'submit-answered' && observation.status === 200 ? [observation.job.jobId] : []);
	return new Set(jobIds).size;
}

function countStates(observations: readonly Observation[]): number {
	return observations.filter(observation => observation.kind === 'state-answered' && observation.status === 200).length;
}

function countOf(observations: readonly Observation[], kind: Observation['kind']): number {
	return observations.filter(observation => observation.kind === kind).length;
}

async function playQueueChanges({plan, writeQueue}: Installation): Promise<void> {
	await Promise.all((plan.queueChanges ?? []).map(async ({atMs, queue, service}) => {
		await delay(atMs);
		writeQueue(queue, service);
	}));
}

async function playFaults(installation: Installation): Promise<void> {
	const {plan, observe, startEntry} = installation;
	await Promise.all(plan.faults.map(async (fault, index) => {
		await delay(fault.atMs);
		const end = startFault(installation, fault, index + 1);
		await delay(fault.durationMs);
		end();
	}));
	await delay(plan.durationMs - Math.max(0, ...plan.faults.map(({atMs, durationMs}) => atMs + durationMs)));
	for (const entry of plan.entries) {
		startEntry(entry);
	}

	observe({kind: 'faults-over'});
}
