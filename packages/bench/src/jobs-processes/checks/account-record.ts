import {addResources, type Resources} from '@pistachiogauge/jobs';
import {type Observation, type QueuePlan, type StepRequest} from '@pistachiogauge/platform/standins';
import {
	findHighestCap, hasCapLeft, listAccountNames, type AccountHistory, type KeyedRequest,
} from '../../accounts/index.js';
import {type PlannedTask} from '../planned-tasks.js';
import {type JobRecord, type TaskRun} from './run-record.js';

/** Client accounts of a run, and what they have running. */
export type AccountRecord = {
	/** Empty for a deployment without accounts. */
	readonly history: AccountHistory;
	/** Whether requests to a queue need a key. */
	isKeyed(queue: string): boolean;
	/** Accounts that a job may have been accepted for; several if its key was moved, none if its queue is public. */
	listNames(job: JobRecord): readonly string[];
	/** Whether a request has a key of the account that the job belongs to. */
	mayRead(job: JobRecord, request: KeyedRequest): boolean;
	/** Computes what an account had running before the start of a run; what ended in the same ms is left out. */
	computeUsedBefore(name: string, run: TaskRun): Resources;
	/** Whether the accounts of a job use less than half of their caps and may start a task of a step besides. */
	hasCapFor(job: JobRecord, step: StepRequest, at: number): boolean;
	/** The account of a run; undefined without one, and if a key was moved. */
	findAccount(run: TaskRun): string | undefined;
};

type AccountRecordTools = {
	readonly queues: readonly QueuePlan[];
	readonly jobs: ReadonlyMap<string, JobRecord>;
	/** In order of their starts. */
	readonly runs: readonly TaskRun[];
	readonly findTask: (taskId: string) => PlannedTask | undefined;
};

const noResources: Resources = {cpuMillis: 0, memoryMb: 0, gpus: 0};

/** Computes what a task of a step takes. */
export function getStepResources({cpuMillis, memoryMb}: StepRequest): Resources {
	return {cpuMillis, memoryMb, gpus: 0};
}

/** Arranges what was observed of client accounts. */
export function createAccountRecord(observations: readonly Observation[], {
	queues, jobs, runs, findTask,
}: AccountRecordTools): AccountRecord {
	const versions = observations.flatMap(observation => observation.kind === 'accounts-written' ? [observation] : []);
	const history: AccountHistory = versions.map(({at, accounts}, index) => ({acknowledgedAt: index === 0 ? Number.NEGATIVE_INFINITY : at, accounts}));
	const publicQueues = new Set(queues.filter(({isPublic}) => isPublic === true).map(({queue}) => queue));
	const isKeyed = (queue: string) => history.length > 0 && !publicQueues.has(queue);
	const namesByJob = new Map<JobRecord, readonly string[]>();

	function listNames(job: JobRecord): readonly string[] {
		const known = namesByJob.get(job);
		if (known !== undefined) {
			return known;
		}

		const submits = isKeyed(job.job.queue) ? job.submits.filter(({at}) => at <= job.acceptedAt) : [];
		const names = [...new Set(submits.flatMap(({key, sentAt, at}) => listAccountNames(history, {key, sentAt, answeredAt: at})))];
		namesByJob.set(job, names);
		return names;
	}

	function findAccount({start}: TaskRun): string | undefined {
		const job = jobs.get(start.taskId.split('.')[0] ?? '');
		const names = job === undefined ? [] : listNames(job);
		return names.length === 1 ? names[0] : undefined;
	}

	/** Runs from `until` on, in order of their starts, are left out. */
	const computeUsed = (name: string, at: number, until?: TaskRun) => {
		let used = noResources;
		for (const run of runs) {
			if (run === until || run.start.at > at) {
				break;
			}

			if (at < run.endedAt && findAccount(run) === name) {
				const task = findTask(run.start.taskId);
				used = task === undefined ? used : addResources(used, getStepResources(task.step));
			}
		}

		return used;
	};

	return {
		history,
		isKeyed,
		listNames,
		mayRead(job, request) {
			const [name, ...others] = listNames(job);
			const readers = listAccountNames(history, request);
			return !isKeyed(job.job.queue) || (others.length === 0 && readers.length === 1 && readers[0] === name);
		},
		computeUsedBefore: (name, run) => computeUsed(name, run.start.at, run),
		hasCapFor: (job, step, at) => listNames(job).every(name => hasCapLeft(computeUsed(name, at), getStepResources(step), findHighestCap(history, name, at))),
		findAccount,
	};
}
