import {createRandomSource} from '@pistachiogauge/chain';
import {applyJobEvent} from './apply-job-event.js';
import {createJobsState, type JobsState} from './jobs-state.js';
import {restoreJob} from './ledger/restore-job.js';
import {type Job} from './ledger/index.js';
import {
	addUsage, createRun, noUsage, type Run, type SupervisedEndpoint,
} from './supervision/supervision-state.js';
import {
	type Clocks, type DurationModel, type Endpoint, type JobEffect, type JobEvent, type JobRecord, type Machine, type PoolReport, type Roster, type StepSpec, type StoredJob,
} from './model/index.js';

const defaultStep: StepSpec = {
	count: 1,
	room: {cpuMillis: 1000, memoryMb: 100, gpus: 0},
	estimateMs: 1000,
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

/** Creates a step with the given traits; by default one task of one core and one second. @internal */
export function createStepSpec(traits: Partial<StepSpec> = {}): StepSpec {
	return {...defaultStep, ...traits};
}

/** Creates a job with the given steps, accepted at 0 ms. @internal */
export function createTestJob(id: string, steps: ReadonlyArray<Partial<StepSpec>>, traits: Partial<JobRecord> = {}): Job {
	const record: JobRecord = {
		id,
		queue: 'prints',
		pool: 'desk',
		spec: {
			payload: '', steps: steps.map(step => createStepSpec(step)), repeatCount: 0, startAtMs: 0, intervalMs: 0,
		},
		priority: 0,
		attempts: 2,
		stretch: 1.6,
		latencyTargetMs: 600,
		advice: undefined,
		acceptedAt: 0,
		...traits,
	};
	return restoreJob({
		job: record, progress: {
			queue: record.queue, status: 'queued', steps: {}, lastRun: 0,
		}, revision: 1, isCancelled: false,
	}, {now: 0, wallTime: 0});
}

/** Lets the state hold the claim on a pool, confirmed by the store at the given time in ms. @internal */
export function holdTestClaim({authority}: Pick<JobsState, 'authority'>, pool: string, confirmedAtMs: number): void {
	authority.heldClaims.set(`pool/${pool}`, {
		token: 1, confirmedAt: {now: confirmedAtMs, wallTime: confirmedAtMs}, confirmationRequestedAt: undefined, isLoaded: true, loadRetryAt: undefined,
	});
}

/** Lists what the store tells the owner of the pool `desk` about its claim when it carries out an effect at the given time. @internal */
export function listTestConfirmations({kind}: JobEffect, token: number, requestedAt: Clocks): JobEvent[] {
	const isConditional = kind === 'save-progress' || kind === 'publish-report' || kind === 'confirm-claim';
	return isConditional
		? [{
			kind: 'claim-confirmed', name: 'pool/desk', token, requestedAt,
		}]
		: [];
}

/** Creates a machine with 16 cores. @internal */
export function createTestMachine(name: string, pool: string, traits: Partial<Machine> = {}): Machine {
	return {
		name, pool, state: 'up', zone: 'a', labels: ['a', 'rack-1'], capacity: {cpuMillis: 16_000, memoryMb: 64_000, gpus: 0}, endpointId: `endpoint-of-${name}`, ...traits,
	};
}

/** Creates the report of a pool without work. @internal */
export function createTestReport(pool: string, traits: Partial<PoolReport> = {}): PoolReport {
	return {
		pool, confirmedAt: 0, waiting: {}, hasWork: false, backlogMillis: 0, usedMillis: 0, neededMillis: 0, arrivingMillis: 0, endpointMinimum: 0, usableEndpoints: [], idleEndpoints: [], servingEndpoints: [], releasableEndpoints: [], neededEndpoints: [], durationModels: {}, ...traits,
	};
}

/** Creates a ready endpoint with 16 cores. @internal */
export function createTestEndpoint(id: string, pool: string, traits: Partial<Endpoint> = {}): Endpoint {
	return {
		id, pool, address: '10.0.0.1:80', zone: 'a', state: 'ready', capacity: {cpuMillis: 16_000, memoryMb: 64_000, gpus: 0}, labels: ['a', 'rack-1'], rack: 'rack-1', startedAt: 0, remainingMs: undefined, ...traits,
	};
}

/** Creates the state of a supervised endpoint that answers and has no runs. @internal */
export function createTestSupervisedEndpoint(id: string, pool: string, traits: Partial<SupervisedEndpoint> = {}): SupervisedEndpoint {
	let usage = noUsage;
	for (const run of traits.runs?.values() ?? []) {
		usage = addUsage(usage, run);
	}

	return {
		id,
		pool,
		token: 1,
		address: '10.0.0.1:80',
		isListed: true,
		phase: 'answering',
		startedAt: 0,
		startableSince: 0,
		generation: 0,
		answeredGeneration: 0,
		isProcessReplaced: false,
		recordedProcess: undefined,
		listedProcess: undefined,
		lateStartsUntil: 0,
		clockMs: 0,
		clockReadAt: 0,
		leaseDeadlineMs: 0,
		previousLeaseExpiresAt: 0,
		lastProcessedEnd: 0,
		acknowledgedEnd: 0,
		acknowledgingEnd: 0,
		acknowledgementHeldSince: undefined,
		hasSeenRestart: false,
		unsavedEnds: new Map(),
		areEndsComplete: true,
		hasUnknownUsage: false,
		unsupervisedRuns: [],
		isPollPending: false,
		hasFailedPoll: false,
		nextPollAt: 0,
		runs: new Map(),
		usage,
		startsPausedUntil: 0,
		areRunsKnown: true,
		reportedRunCount: undefined,
		silentSince: undefined,
		unknownRunsSeenAt: new Map(),
		...traits,
	};
}

/** Creates a run of one core whose start has been sent. @internal */
export function createTestRun(taskId: string, traits: Partial<Run> = {}): Run {
	return createRun(createStepSpec(), {taskId, run: 1}, {phase: 'starting', startedAt: 0, ...traits});
}

/** Creates the stored record of a job whose tasks have not run. @internal */
export function createStoredTestJob(job: Job): StoredJob {
	return {
		job: job.record, progress: {
			queue: job.record.queue, status: 'queued', steps: {}, lastRun: 0,
		}, revision: 5, isCancelled: false,
	};
}

/** Generation of an answer to the last poll that a test owner has sent to the endpoint. @internal */
export const lastGeneration = -1;

/** An entry that owns the pool `desk` with token 7; its writes to the store are applied at once. @internal */
export type TestOwner = {
	readonly state: JobsState;
	/** Whether the store confirms the claim when the entry writes under it; true unless a test sets it. */
	confirmsClaim: boolean;
	/** Applies an event at a time in ms, which both clocks show unless the wall time is given, and returns all effects. */
	apply(event: JobEvent, now: number, wallTime?: number): JobEffect[];
};

/** Creates an entry that has just loaded its pool. @internal */
export function createTestOwner({
	roster, endpoints, jobs, durationModels = {},
}: {
	readonly roster: Roster;
	/** Listed endpoints. */
	readonly endpoints: readonly string[];
	readonly jobs: readonly StoredJob[];
	readonly durationModels?: Readonly<Record<string, DurationModel>>;
}): TestOwner {
	const pool = 'desk';
	const random = createRandomSource(1);
	const state = createJobsState({node: 'entry-1', incarnation: 'first', orderLeaseMs: 3000});
	const generations = new Map<string, number>();
	const addGeneration = (event: JobEvent): JobEvent => 'generation' in event && event.generation === lastGeneration ? {...event, generation: generations.get(event.endpointId) ?? 0} : event;
	const apply = (event: JobEvent, now: number, wallTime = now): JobEffect[] => applyJobEvent(state, addGeneration(event), {now, wallTime, random}).flatMap(effect => {
		const answers: JobEvent[] = [];
		if (effect.kind === 'poll-endpoint') {
			generations.set(effect.target.endpointId, effect.target.generation);
		}

		if (effect.kind === 'save-progress') {
			answers.push({
				kind: 'progress-saved', pool, token: 7, saveId: effect.saveId, result: 'applied', revision: 10, presentRevisions: undefined, isClaimLost: false,
			});
		}

		if (owner.confirmsClaim) {
			answers.push(...listTestConfirmations(effect, 7, {now, wallTime}));
		}

		return [effect, ...answers.flatMap(answer => apply(answer, now, wallTime))];
	});
	const owner: TestOwner = {state, confirmsClaim: true, apply};
	apply({kind: 'endpoints-listed', endpoints: endpoints.map(id => createTestEndpoint(id, pool, {startedAt: 1}))}, 0);
	apply({
		kind: 'claim-answered', name: `pool/${pool}`, result: 'applied', token: 7,
	}, 0);
	apply({
		kind: 'claim-confirmed', name: `pool/${pool}`, token: 7, requestedAt: {now: 0, wallTime: 0},
	}, 0);
	apply({
		kind: 'pool-read', pool, token: 7, jobs, ended: new Map(), roster, rosterRevision: 4, evacuatedEndpointIds: [], durationModels,
	}, 0);
	return owner;
}

/** Creates the answer of an endpoint of the pool `desk` that runs nothing. @internal */
export function createTestPollAnswer(endpointId: string, clockMs: number): Extract<JobEvent, {kind: 'poll-answered'}> {
	return {
		kind: 'poll-answered', endpointId, token: 7, generation: lastGeneration, clockMs, startedAt: 1, running: [], ended: [],
	};
}
