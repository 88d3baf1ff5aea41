import {restoreJob} from './ledger/restore-job.js';
import {type Job} from './ledger/index.js';
import {createRun, type Run, type SupervisedEndpoint} from './supervision/supervision-state.js';
import {
	type Endpoint, type JobRecord, type Machine, type PoolReport, type StepSpec,
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

/** Creates a machine with 16 cores. @internal */
export function createTestMachine(name: string, pool: string, traits: Partial<Machine> = {}): Machine {
	return {
		name, pool, state: 'up', zone: 'a', labels: ['a', 'rack-1'], capacity: {cpuMillis: 16_000, memoryMb: 64_000, gpus: 0}, endpointId: `endpoint-of-${name}`, ...traits,
	};
}

/** Creates the report of a pool without work. @internal */
export function createTestReport(pool: string, traits: Partial<PoolReport> = {}): PoolReport {
	return {
		pool, waiting: {}, hasWork: false, backlogMillis: 0, usedMillis: 0, neededMillis: 0, arrivingMillis: 0, endpointMinimum: 0, usableEndpoints: [], idleEndpoints: [], servingEndpoints: [], releasableEndpoints: [], ...traits,
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
	return {
		id,
		pool,
		token: 1,
		address: '10.0.0.1:80',
		isListed: true,
		phase: 'answering',
		startedAt: 0,
		clockMs: 0,
		clockReadAt: 0,
		leaseDeadlineMs: 0,
		previousLeaseExpiresAt: 0,
		lastProcessedEnd: 0,
		unsavedEnds: new Set(),
		isPollPending: false,
		nextPollAt: 0,
		runs: new Map(),
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
