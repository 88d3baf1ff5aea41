import {type Resources, type RunId, type StepSpec} from '../model/index.js';

/** @public */
export type RunPhase =
	/** The start has been sent. */
	| 'starting'
	/** The start has not been answered, and may still be carried out. */
	| 'unconfirmed'
	| 'running'
	| 'stopping';

/** A run of a task on an endpoint. It takes room until it is certain not to be at work. @public */
export type Run = {
	readonly taskId: string;
	readonly run: number;
	readonly resources: Resources;
	readonly isFiller: boolean;
	readonly isLongRunning: boolean;
	phase: RunPhase;
	/** The former owner could not tell whether it is at work, and no look has shown it since. */
	isSuspected: boolean;
	/** Monotonic ms. */
	readonly startedAt: number;
	/** Deadline of the start on the endpoint's clock; after it the endpoint refuses the start as late. */
	readonly startDeadlineMs: number;
	/** The endpoint's clock when it confirmed the run. */
	confirmedClockMs: number | undefined;
	percent: number;
	/** When the percentage last rose, in monotonic ms. */
	progressedAt: number;
	checkpoint: string;
	/** Tail in ms for a serving task, processor use for another. */
	load: number;
	/** Share of its pace that the run is let work at. */
	pacePercent: number;
	stopRequestedAt: number;
};

/** @public */
export type SupervisionPhase =
	/** It has not answered under the present token. */
	| 'new'
	| 'answering'
	/** It does not answer; what runs there may run on. */
	| 'silent'
	/** Its lease has run out, so nothing can run there. */
	| 'expired';

/** An endpoint under the orders of this entry. @public */
export type SupervisedEndpoint = {
	readonly id: string;
	readonly pool: string;
	readonly token: number;
	address: string;
	/** Whether the directory lists it. */
	isListed: boolean;
	phase: SupervisionPhase;
	startedAt: number | undefined;
	/** The endpoint's clock at `clockAt`. */
	clockMs: number | undefined;
	/** Monotonic ms at which the clock was at least `clockMs`. */
	clockReadAt: number;
	/** Latest deadline sent in any order, on the endpoint's clock. */
	leaseDeadlineMs: number;
	/** Monotonic ms after which a lease given by a former owner has run out; used until the endpoint has answered. */
	readonly previousLeaseExpiresAt: number;
	lastProcessedEnd: number;
	readonly unsavedEnds: Set<number>;
	isPollPending: boolean;
	nextPollAt: number;
	readonly runs: Map<string, Run>;
	/** No starts before this time in monotonic ms. */
	startsPausedUntil: number;
	/** Whether what runs there is known: it has answered under the present token, or the former owner knew. */
	areRunsKnown: boolean;
	/** Runs told to the ledger as ones that may be at work there; undefined while it answers. */
	reportedRunCount: number | undefined;
	/** When it was first seen without an answer; undefined while it answers. */
	silentSince: number | undefined;
	/** When runs of jobs that are not known were first seen there. */
	readonly unknownRunsSeenAt: Map<string, number>;
};

/** @public */
export type SupervisedPool = {
	readonly pool: string;
	readonly token: number;
	readonly acquiredAt: number;
	/** Endpoints on which a former owner may have started tasks, and which have not told what they run. */
	readonly unsurveyedIds: Set<string>;
	/** When the last of these had told, in monotonic ms: from then on no order of a former owner is carried out. */
	surveyedAt: number | undefined;
};

/** @public */
export type SupervisionState = {
	readonly pools: Map<string, SupervisedPool>;
	readonly endpoints: Map<string, SupervisedEndpoint>;
};

/** What other filters may ask about endpoints. @public */
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

/** The watch that an answer is for. An answer to an order of a former claim says nothing about the present one. @internal */
export function getWatch(supervision: SupervisionState, {endpointId, token}: {readonly endpointId: string; readonly token: number}): SupervisedEndpoint | undefined {
	const watch = supervision.endpoints.get(endpointId);
	return watch?.token === token ? watch : undefined;
}

/** A run of a task, as far as it is known by now. @internal */
export function createRun(spec: StepSpec, {taskId, run}: RunId, known: Pick<Run, 'phase' | 'startedAt'> & Partial<Run>): Run {
	return {
		taskId,
		run,
		resources: spec.room,
		isFiller: spec.isFiller,
		isLongRunning: spec.isLongRunning,
		isSuspected: false,
		startDeadlineMs: 0,
		confirmedClockMs: undefined,
		percent: 0,
		progressedAt: known.startedAt,
		checkpoint: '',
		load: 0,
		pacePercent: 100,
		stopRequestedAt: 0,
		...known,
	};
}

/** Room that runs take; what fills takes memory and accelerators only. @public */
export function getUsedResources(watch: Readonly<SupervisedEndpoint>): Resources {
	let cpuMillis = 0;
	let memoryMb = 0;
	let gpus = 0;
	for (const run of watch.runs.values()) {
		cpuMillis += run.isFiller ? 0 : run.resources.cpuMillis;
		memoryMb += run.resources.memoryMb;
		gpus += run.resources.gpus;
	}

	return {cpuMillis, memoryMb, gpus};
}
