import {
	type JobRequest, type Observation, type ObservationOf, type QueuePlan, type RunOutcome,
} from '@pistachiogauge/platform/standins';
import {findPlannedTask, type PlannedTask} from '../planned-tasks.js';
import {createAccountRecord, type AccountRecord} from './account-record.js';

/** One run of a task, from its start to its end or to the crash of its endpoint. */
export type TaskRun = {
	readonly start: ObservationOf<'run-started'>;
	/** Infinite while it goes on. */
	endedAt: number;
	/** Undefined while it goes on and after a crash. */
	outcome: RunOutcome | undefined;
	/** When the end was taken note of; infinite if it never was, or if the endpoint's lease lapsed between the two. */
	acknowledgedAt: number;
};

type StateAnswer = ObservationOf<'state-answered'>;

/** What was seen of a job. */
export type JobRecord = {
	readonly job: JobRequest;
	/** When it was first sent. */
	readonly sentAt: number;
	readonly submits: ReadonlyArray<ObservationOf<'submit-answered'>>;
	/** When it was first acknowledged; infinite if it never was. */
	readonly acceptedAt: number;
	/** Infinite if nobody cancelled it. */
	readonly cancelSentAt: number;
	readonly cancelledAt: number;
	readonly states: readonly StateAnswer[];
	/** Infinite if it was never shown as done. */
	readonly shownDoneAt: number;
	/** Runs of its tasks in order of their starts. */
	readonly runs: ReadonlyMap<string, readonly TaskRun[]>;
};

/** The observations of a run, arranged for the checks. */
export type RunRecord = {
	readonly observations: readonly Observation[];
	readonly jobs: ReadonlyMap<string, JobRecord>;
	/** All runs in order of their starts. */
	readonly runs: readonly TaskRun[];
	readonly attemptsByQueue: ReadonlyMap<string, number>;
	/** Pool of endpoints that runs the tasks of each queue. */
	readonly servicesByQueue: ReadonlyMap<string, string>;
	/** Queues whose jobs may be in another pool than theirs. */
	readonly movedQueues: ReadonlySet<string>;
	readonly accounts: AccountRecord;
	/** When the faults were over; infinite if the run ended before. */
	readonly faultsOverAt: number;
	findTask(taskId: string): PlannedTask | undefined;
	/** Whether an entry was free of disturbance from `contactMs` before the time, and the store as well. */
	isInTouch(entry: string | undefined, at: number): boolean;
	/** Whether there was no fault from `contactMs` before the span to its end. */
	isCalm(from: number, until: number): boolean;
};

type FaultSpan = {readonly participants: readonly string[]; readonly startedAt: number; endedAt: number};

const contactMs = 3000;

/** Arranges the observations of a run for the checks. */
export function createRunRecord(observations: readonly Observation[], queues: readonly QueuePlan[]): RunRecord {
	const runs = listRuns(observations);
	const faults = listFaults(observations);
	const entryStarts = listOf(observations, 'entry-started');
	const jobs = listJobs(observations, runs);
	const requests = new Map([...jobs].map(([id, {job}]) => [id, job]));
	const findTask = (taskId: string) => findPlannedTask(requests, taskId);
	return {
		observations,
		jobs,
		runs,
		attemptsByQueue: new Map(queues.map(({queue, attempts}) => [queue, attempts])),
		servicesByQueue: new Map(queues.map(({queue, service}) => [queue, service])),
		movedQueues: new Set(listOf(observations, 'queue-written').map(({queue}) => queue)),
		faultsOverAt: observations.find(({kind}) => kind === 'faults-over')?.at ?? Number.POSITIVE_INFINITY,
		accounts: createAccountRecord(observations, {
			queues, jobs, runs, findTask,
		}),
		findTask,
		isInTouch(entry, at) {
			if (entry === undefined || entryStarts.some(start => start.entry === entry && start.at > at - contactMs && start.at <= at)) {
				return false;
			}

			return faults.every(fault => fault.startedAt > at || fault.endedAt < at - contactMs || !(fault.participants.includes(entry) || fault.participants.includes('store')));
		},
		isCalm: (from, until) => faults.every(fault => fault.startedAt > until || fault.endedAt < from - contactMs),
	};
}

/** Lists the observations of a kind. */
export function listOf<Kind extends Observation['kind']>(observations: readonly Observation[], kind: Kind): Array<ObservationOf<Kind>> {
	return observations.filter((observation): observation is ObservationOf<Kind> => observation.kind === kind);
}

/** The run of a task that goes on at an endpoint. */
function findCurrent(runs: readonly TaskRun[], endpoint: string, taskId: string): TaskRun | undefined {
	return runs.findLast(({start, endedAt}) => start.endpoint === endpoint && start.taskId === taskId && endedAt === Number.POSITIVE_INFINITY);
}

/** Runs so far, and the ends that are listed at endpoints and not taken note of. */
type RunHistory = {
	readonly runs: TaskRun[];
	readonly listedEnds: Map<string, ReadonlyArray<{readonly number: number; readonly run: TaskRun}>>;
};

type HistoryHandlers = {readonly [Kind in Observation['kind']]?: (history: RunHistory, observation: ObservationOf<Kind>) => void};

const historyHandlers: HistoryHandlers = {
	'run-started'({runs}, start) {
		runs.push({
			start, endedAt: Number.POSITIVE_INFINITY, outcome: undefined, acknowledgedAt: Number.POSITIVE_INFINITY,
		});
	},
	'run-ended'({runs, listedEnds}, {endpoint, taskId, at, outcome, number}) {
		const run = findCurrent(runs, endpoint, taskId);
		if (run !== undefined) {
			run.endedAt = at;
			run.outcome = outcome;
			listedEnds.set(endpoint, [...listedEnds.get(endpoint) ?? [], {number, run}]);
		}
	},
	'ends-acknowledged'({listedEnds}, {endpoint, at, lastNumber}) {
		const ends = listedEnds.get(endpoint) ?? [];
		for (const {run} of ends.filter(({number}) => number <= lastNumber)) {
			run.acknowledgedAt = at;
		}

		listedEnds.set(endpoint, ends.filter(({number}) => number > lastNumber));
	},
	'lease-lapsed'({listedEnds}, {endpoint}) {
		listedEnds.delete(endpoint);
	},
	'endpoint-crashed'({runs, listedEnds}, {endpoint, at}) {
		listedEnds.delete(endpoint);
		for (const run of runs) {
			if (run.start.endpoint === endpoint && run.endedAt === Number.POSITIVE_INFINITY) {
				run.endedAt = at;
			}
		}
	},
};

type AnyHistoryHandler = (history: RunHistory, observation: Observation) => void;

function listRuns(observations: readonly Observation[]): TaskRun[] {
	const history: RunHistory = {runs: [], listedEnds: new Map()};
	for (const observation of observations) {
		const handle = historyHandlers[observation.kind] as AnyHistoryHandler | undefined;
		handle?.(history, observation);
	}

	return history.runs;
}

function listFaults(observations: readonly Observation[]): FaultSpan[] {
	const faults = new Map<number, FaultSpan>();
	for (const observation of observations) {
		if (observation.kind === 'fault-started') {
			faults.set(observation.number, {participants: observation.participants, startedAt: observation.at, endedAt: Number.POSITIVE_INFINITY});
		} else if (observation.kind === 'fault-ended') {
			faults.get(observation.number)!.endedAt = observation.at;
		}
	}

	return [...faults.values()];
}

function findTime(observations: ReadonlyArray<{readonly at: number}>): number {
	return Math.min(Number.POSITIVE_INFINITY, ...observations.map(({at}) => at));
}

/** Groups items by a key, each group in the order of the items. */
export function groupBy<Item>(items: readonly Item[], getKey: (item: Item) => string): Map<string, Item[]> {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		const group = groups.get(getKey(item));
		if (group === undefined) {
			groups.set(getKey(item), [item]);
		} else {
			group.push(item);
		}
	}

	return groups;
}

function listJobs(observations: readonly Observation[], runs: readonly TaskRun[]): Map<string, JobRecord> {
	const runsByJob = groupBy(runs, ({start}) => start.taskId.split('.')[0] ?? '');
	const statesByJob = groupBy(listOf(observations, 'state-answered'), ({jobId}) => jobId);
	const cancelsByJob = groupBy(listOf(observations, 'cancel-answered'), ({jobId}) => jobId);
	// A client whose key belongs to another account is told that there is no such job, and cancels nothing.
	const hasAccounts = observations.some(({kind}) => kind === 'accounts-written');
	const submitsByJob = groupBy(listOf(observations, 'submit-answered'), ({job}) => job.jobId);
	return new Map([...submitsByJob].map(([jobId, submits]): [string, JobRecord] => {
		const states = statesByJob.get(jobId) ?? [];
		const cancels = cancelsByJob.get(jobId) ?? [];
		return [jobId, {
			job: submits[0]!.job,
			sentAt: Math.min(...submits.map(({sentAt}) => sentAt)),
			submits,
			acceptedAt: findTime(submits.filter(({status}) => status >= 200 && status < 300)),
			cancelSentAt: Math.min(Number.POSITIVE_INFINITY, ...cancels.map(({sentAt}) => sentAt)),
			cancelledAt: findTime(cancels.filter(({status}) => (status >= 200 && status < 300) || (status === 410 && !hasAccounts))),
			states,
			shownDoneAt: findTime(states.filter(({state}) => state === 'done')),
			runs: groupBy(runsByJob.get(jobId) ?? [], ({start}) => start.taskId),
		}];
	}));
}
