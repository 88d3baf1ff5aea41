import {
	addResources, maxOrderGeneration, subtractResources, type Resources, type RunId, type StepSpec,
} from '../model/index.js';

/** Progress at which a long-running task is serving. @public */
export const servingPercent = 100;

/** What is known about a run, whether it is wanted or not. @public */
export type RunPhase =
	/** The start has been sent, and its answer is awaited. */
	| 'starting'
	/** The start was not answered in time, and may still be carried out. */
	| 'unconfirmed'
	| 'running';

/** A run of a task on an endpoint. It occupies resources until it is certain that it is not running. @public */
export type Run = {
	readonly taskId: string;
	readonly run: number;
	readonly resources: Resources;
	readonly isFiller: boolean;
	readonly isLongRunning: boolean;
	/** Client account of its job. */
	readonly account: string | undefined;
	phase: RunPhase;
	/** The previous owner did not know whether it is running, and the endpoint has not listed it since. */
	isSuspected: boolean;
	/** Monotonic ms. */
	readonly startedAt: number;
	/** The endpoint's clock when the start was sent, as estimated, or when the process that runs it first listed it; undefined if neither is known. */
	startedClockMs: number | undefined;
	/** Process of the endpoint that the start was meant for, by the Unix ms at which it started; undefined if this entry has not sent the start. */
	readonly sentToProcess: number | undefined;
	/** Last reading of the endpoint's clock before the start was sent. The process that was read answers with the same or a later time. */
	readonly sentAfterClockMs: number | undefined;
	/** Generation of the start, -1 for a start of a previous owner. */
	readonly generation: number;
	/** The endpoint's clock when it confirmed the run; undefined before that. */
	confirmedClockMs: number | undefined;
	/** Process of the endpoint that has listed the run, by the Unix ms at which it started; undefined before that. */
	listedByProcess: number | undefined;
	percent: number;
	/** The endpoint's clock when the percentage last rose, or when the run was first listed. The clock of this entry would not do, as answers may wait while this entry or the endpoint is paused. */
	progressedClockMs: number;
	checkpoint: string;
	/** Tail latency in ms for a serving task, CPU usage in thousandths of a core for any other. */
	load: number;
	/** Percentage of full speed that the run is throttled to. */
	pacePercent: number;
	/** When the endpoint was last told to stop it, in monotonic ms; undefined while it is wanted. */
	stopRequestedAt: number | undefined;
};

/** A run whose job has ended, and which a previous owner started. @public */
export type UnsupervisedRun = {
	readonly account: string;
	/** Undefined if only the ended job is known, which tells nothing of its tasks. */
	readonly resources: Resources | undefined;
};

/** @public */
export type SupervisionPhase =
	/** It has not answered under the current fencing token, and leases of a previous owner may hold there. */
	| 'new'
	/** It answers polls, which renew its lease. */
	| 'answering'
	/** It does not answer; its runs may go on. */
	| 'silent'
	/** Its lease has expired, so that nothing can be running there. */
	| 'expired';

/** What the runs of an endpoint occupy. Filler tasks occupy memory and GPUs only, as they use the CPU time that others leave. @public */
export type EndpointUsage = {
	readonly resources: Resources;
	readonly fillerCount: number;
	/** Number of long-running runs that are not fillers. */
	readonly servingCount: number;
};

/** What this entry knows about an endpoint of a pool that it owns. @public */
export type SupervisedEndpoint = {
	readonly id: string;
	readonly pool: string;
	readonly token: number;
	address: string;
	/** Whether the directory lists it. */
	isListed: boolean;
	phase: SupervisionPhase;
	/** Unix ms at which the process of the endpoint started; undefined until it has answered. */
	startedAt: number | undefined;
	/** Tasks are started there only once the claim was confirmed by a call sent after this time, in monotonic ms: the first answer of that process, or later if the endpoint has restarted. */
	startableSince: number;
	/** Generation of the orders that are sent to it. It rises whenever an earlier order may still be on its way. */
	generation: number;
	/** Generation of the last poll that was answered, -1 before that. Whatever was sent with a lower one no longer takes effect in the process that answered. */
	answeredGeneration: number;
	/** Whether another process than `startedAt` is known to run and no poll of the current generation has been answered since. */
	isProcessReplaced: boolean;
	/** The process that last answered the previous owner, as that owner recorded it, or this one before the endpoint left. */
	readonly recordedProcess: number | undefined;
	/** The process that the directory lists. */
	listedProcess: number | undefined;
	/** Monotonic ms until which starts without an answer may be carried out by a later process and run there; 0 if none is known. */
	lateStartsUntil: number;
	/** The endpoint's clock as last read, at `clockReadAt`. */
	clockMs: number | undefined;
	/** Monotonic ms of this entry at which the endpoint's clock was at least `clockMs`. */
	clockReadAt: number;
	/** Latest deadline sent with any order, on the endpoint's clock. */
	leaseDeadlineMs: number;
	/** Monotonic ms after which every lease has expired that was granted by a previous owner, or for an order to a process before a restart; the only known limit while `clockMs` is undefined. */
	previousLeaseExpiresAt: number;
	/** Number of the last end that was processed. */
	lastProcessedEnd: number;
	/** Number up to which ends were acknowledged in a poll that was answered. */
	acknowledgedEnd: number;
	/** Number that the pending poll acknowledges; 0 if it acknowledges nothing. No start is sent meanwhile. */
	acknowledgingEnd: number;
	/** Since when starts without an answer have held back an acknowledgement, in monotonic ms; undefined if none has. */
	acknowledgementHeldSince: number | undefined;
	/** Whether this entry has seen the endpoint restart, so that the current process has listed its ends to no other owner. */
	hasSeenRestart: boolean;
	/** Runs whose ends are processed and not saved in the store, by number of the end. */
	readonly unsavedEnds: Map<number, RunId>;
	/** Whether its last answer listed all ends that it holds, and all of them were processed. */
	areEndsComplete: boolean;
	/** Whether its last answer listed runs that are not among `runs`, so that what they occupy is not known. */
	hasUnknownUsage: boolean;
	/** Runs of accounts that may be running there and are not among `runs`, as their jobs have ended. */
	unsupervisedRuns: readonly UnsupervisedRun[];
	isPollPending: boolean;
	/** Whether a poll has not been answered, or was refused. */
	hasFailedPoll: boolean;
	nextPollAt: number;
	/** By task id. Changed by `addRun` and `removeRun` only. */
	readonly runs: Map<string, Run>;
	/** What the runs occupy. */
	usage: EndpointUsage;
	/** Monotonic ms before which no task is placed there. */
	startsPausedUntil: number;
	/** Whether its runs are known: it has answered under the current token, or the previous owner recorded them. */
	areRunsKnown: boolean;
	/** Number of runs that was last reported to the ledger as possibly running or not saved; undefined while the endpoint answers. */
	reportedRunCount: number | undefined;
	/** When it first failed to answer; undefined while it answers. */
	silentSince: number | undefined;
	/** When runs of unknown jobs were first listed there, by task id. */
	readonly unknownRunsSeenAt: Map<string, number>;
};

/** What is kept of an endpoint whose supervision has ended. @public */
export type FormerEndpoint = {
	/** Last generation of its orders. */
	readonly generation: number;
	/** The process that answered last. */
	readonly startedAt: number | undefined;
	/** Monotonic ms until which its last orders, and leases that they grant, can last. */
	readonly ordersEndAt: number;
};

/** @public */
export type SupervisedPool = {
	readonly pool: string;
	readonly token: number;
	readonly acquiredAt: number;
	/** Endpoints on which a previous owner may have started tasks and that have not reported their runs yet. */
	readonly unsurveyedIds: Set<string>;
	/** Endpoints that a previous owner has evacuated. One that does not answer is gone with its machine, and is not waited for. */
	readonly evacuatedIds: ReadonlySet<string>;
	/** Endpoints that are no longer supervised and may return, by id. */
	readonly formerEndpoints: Map<string, FormerEndpoint>;
	/** When the last endpoint that is waited for reported, in monotonic ms. From then on no order of a previous owner is carried out. */
	surveyedAt: number | undefined;
};

/** @public */
export type SupervisionState = {
	readonly pools: Map<string, SupervisedPool>;
	readonly endpoints: Map<string, SupervisedEndpoint>;
};

/** Read-only view of the supervised endpoints for other filters. @public */
export type SupervisionView = {
	readonly supervision: {
		readonly pools: ReadonlyMap<string, Readonly<SupervisedPool>>;
		readonly endpoints: ReadonlyMap<string, Readonly<SupervisedEndpoint>>;
	};
};

/** @public */
export function createSupervisionState(): SupervisionState {
	return {pools: new Map(), endpoints: new Map()};
}

/** Finds the endpoint that an answer belongs to. Answers to orders under a previous claim are ignored. @internal */
export function findEndpoint(supervision: SupervisionState, {endpointId, token}: {readonly endpointId: string; readonly token: number}): SupervisedEndpoint | undefined {
	const endpoint = supervision.endpoints.get(endpointId);
	return endpoint?.token === token ? endpoint : undefined;
}

/** Creates a run from what is known about it so far. @internal */
export function createRun(spec: StepSpec, {taskId, run}: RunId, known: Pick<Run, 'phase' | 'startedAt'> & Partial<Run>): Run {
	return {
		taskId,
		run,
		resources: spec.room,
		isFiller: spec.isFiller,
		isLongRunning: spec.isLongRunning,
		account: undefined,
		isSuspected: false,
		generation: -1,
		confirmedClockMs: undefined,
		listedByProcess: undefined,
		percent: 0,
		startedClockMs: undefined,
		sentToProcess: undefined,
		sentAfterClockMs: undefined,
		progressedClockMs: known.startedClockMs ?? 0,
		checkpoint: '',
		load: 0,
		pacePercent: 100,
		stopRequestedAt: undefined,
		...known,
	};
}

/** Whether a run is known to be running and is not to be stopped. @public */
export function isInProgress({phase, stopRequestedAt}: Readonly<Run>): boolean {
	return phase === 'running' && stopRequestedAt === undefined;
}

/** Usage of an endpoint without runs. @internal */
export const noUsage: EndpointUsage = {resources: {cpuMillis: 0, memoryMb: 0, gpus: 0}, fillerCount: 0, servingCount: 0};

/** Adds a run to its endpoint; it replaces another run of the same task. @internal */
export function addRun(endpoint: SupervisedEndpoint, run: Run): void {
	removeRun(endpoint, run.taskId);
	endpoint.runs.set(run.taskId, run);
	endpoint.usage = addUsage(endpoint.usage, run);
}

/** Removes the run of a task from its endpoint, if there is one. @internal */
export function removeRun(endpoint: SupervisedEndpoint, taskId: string): void {
	const run = endpoint.runs.get(taskId);
	if (run === undefined) {
		return;
	}

	endpoint.runs.delete(taskId);
	const {resources, fillerCount, servingCount} = addUsage(noUsage, run);
	endpoint.usage = {
		resources: subtractResources(endpoint.usage.resources, resources),
		fillerCount: endpoint.usage.fillerCount - fillerCount,
		servingCount: endpoint.usage.servingCount - servingCount,
	};
}

/** Adds what a run occupies. @internal */
export function addUsage({resources, fillerCount, servingCount}: EndpointUsage, run: Readonly<Run>): EndpointUsage {
	return {
		resources: addResources(resources, run.isFiller ? {...run.resources, cpuMillis: 0} : run.resources),
		fillerCount: fillerCount + (run.isFiller ? 1 : 0),
		servingCount: servingCount + (run.isLongRunning && !run.isFiller ? 1 : 0),
	};
}

/** Whether the current process of the endpoint has answered a poll of the current generation, so that only orders of this generation can take effect there. @internal */
export function hasShutOutEarlierOrders({generation, answeredGeneration}: Readonly<SupervisedEndpoint>): boolean {
	return answeredGeneration === generation && generation < maxOrderGeneration;
}

/** Time for which an acknowledgement waits for answers to starts before no more are sent. */
const maxAcknowledgementHoldMs = 150;

/**
Whether starts may be sent to the endpoint: not while it may be another process than the one that is known, and not beside an acknowledgement.

If a start and an acknowledgement were both carried out by a later process, the acknowledgement could delete the end of that start before this entry has read it.

@public
*/
export function canTakeStarts(endpoint: Readonly<SupervisedEndpoint>, now: number): boolean {
	const isAcknowledging = endpoint.acknowledgingEnd > 0 || now > (endpoint.acknowledgementHeldSince ?? Number.POSITIVE_INFINITY) + maxAcknowledgementHoldMs;
	return hasShutOutEarlierOrders(endpoint) && !isAcknowledging;
}

/** Raises the generation of an endpoint's orders and polls it at once: once it answers, no earlier order takes effect there. The answer to a pending poll is ignored. @internal */
export function advanceGeneration(endpoint: SupervisedEndpoint, now: number): void {
	endpoint.generation = Math.min(endpoint.generation + 1, maxOrderGeneration);
	endpoint.isPollPending = false;
	endpoint.acknowledgingEnd = 0;
	endpoint.nextPollAt = now;
}
