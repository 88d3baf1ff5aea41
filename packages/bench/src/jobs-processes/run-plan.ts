import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {
	moveOutcomes, type JobRequest, type MoveOutcome, type QueuePlan, type StepRequest,
} from '@pistachiogauge/platform/standins';
import {drawFaults, type FaultPlan} from './fault-plan.js';
import {type AccountsPlan} from './plan-accounts.js';

/** A job, when it is submitted, and what its client does later. */
export type JobPlan = {
	readonly atMs: number;
	readonly job: JobRequest;
	/** Time after the submission, or undefined. */
	readonly cancelAfterMs: number | undefined;
	readonly repeatAfterMs: number | undefined;
	/** Whether the client tries again after a rejection. */
	readonly retriesRejection: boolean;
	/** The client submits the job to this entry and cancels it at another one that long after, whatever the answer. */
	readonly overtaking?: {readonly entry: string; readonly cancelAfterMs: number};
	/** Account that the job's API key belongs to or once did. */
	readonly account?: string | undefined;
};

export type EndpointPlan = {readonly id: string; readonly service: string; readonly clockRate: number};

export type EndpointCapacity = {readonly cpuMillis: number; readonly memoryMb: number};

/** What becomes of the moves that entries order; `mixed` draws an outcome for each. */
export type MoveMode = MoveOutcome | 'mixed';

export const moveModes: readonly MoveMode[] = [...moveOutcomes, 'mixed'];

export type MovePlan = {
	readonly mode: MoveMode;
	/** Pool of the machines that are switched off; undefined if there is none. */
	readonly sparePool: string | undefined;
	readonly spareMachines: readonly string[];
};

/** A queue belongs to another pool from a time on; without a service, it is removed. */
export type QueueChange = {readonly atMs: number; readonly queue: string; readonly service: string | undefined};

/** Everything that a run draws from its seed. */
export type RunPlan = {
	readonly seed: number;
	/** Length of the load and the faults in ms. */
	readonly durationMs: number;
	readonly entries: readonly string[];
	readonly isGuarding: boolean;
	readonly queues: readonly QueuePlan[];
	readonly endpoints: readonly EndpointPlan[];
	readonly endpointCapacity: EndpointCapacity;
	/** How machines are moved between pools; undefined if the machine service is unavailable. */
	readonly moves: MovePlan | undefined;
	/** Undefined for a deployment without client accounts. */
	readonly accounts?: AccountsPlan;
	readonly jobs: readonly JobPlan[];
	/** Undefined if all queues stay in their pools. */
	readonly queueChanges?: readonly QueueChange[];
	readonly faults: readonly FaultPlan[];
};

const entryCount = 4;
const poolSizes: Readonly<Record<string, number>> = {desk: 5, notify: 4};
const defaultCapacity: EndpointCapacity = {cpuMillis: 6000, memoryMb: 16_384};
export const maxClockDelay = 0.02;
const meanJobIntervalMs = 420;
const maxTaskMs = 1200;

export function drawBetween(random: RandomSource, min: number, max: number): number {
	return Math.round(min + (random.getFraction() * (max - min)));
}

export function hasChance(random: RandomSource, probability: number): boolean {
	return random.getFraction() < probability;
}

/** Draws the plan of a run; the same seed and duration give the same plan. */
export function createRunPlan(seed: number, durationMs: number): RunPlan {
	const random = createRandomSource(seed);
	const services = hasChance(random, 0.5) ? ['desk', 'notify'] : ['desk'];
	const queues = services.map(service => ({queue: `jobs-${service}`, service, attempts: drawBetween(random, 2, 3)}));
	const endpoints = services.flatMap(service => Array.from({length: poolSizes[service] ?? 0}, (_, index) => ({
		id: `${service}-${index + 1}`, service, clockRate: 1 - (random.getFraction() * maxClockDelay),
	})));
	const entries = Array.from({length: entryCount}, (_, index) => `front-${index + 1}`);
	return {
		seed,
		durationMs,
		entries,
		isGuarding: hasChance(random, 0.7),
		queues,
		endpoints,
		endpointCapacity: defaultCapacity,
		moves: undefined,
		jobs: drawJobs(random, queues, durationMs),
		faults: drawFaults(random, durationMs, {entryCount, poolCount: services.length, endpointCount: endpoints.length}),
	};
}

function drawJobs(random: RandomSource, queues: readonly QueuePlan[], durationMs: number): JobPlan[] {
	const jobs: JobPlan[] = [];
	for (let atMs = 0; atMs < durationMs; atMs += drawBetween(random, 0, 2 * meanJobIntervalMs)) {
		const {queue} = queues[random.getInteger(queues.length)]!;
		const isLongRunning = hasChance(random, 0.04);
		const failureCount = hasChance(random, 0.06) ? drawBetween(random, 1, 3) : 0;
		const mayDuplicate = hasChance(random, 0.06);
		jobs.push({
			atMs,
			job: {
				jobId: (jobs.length + 1).toString(16).padStart(16, '0'),
				queue,
				payload: `ms=${drawBetween(random, 200, maxTaskMs)} failures=${failureCount} job=${jobs.length + 1}`,
				steps: isLongRunning ? [drawStep(random, {isLongRunning, mayDuplicate: false, after: []})] : drawSteps(random, mayDuplicate),
			},
			// Most long-running jobs are cancelled, so that they do not fill the endpoints.
			cancelAfterMs: hasChance(random, isLongRunning ? 0.75 : 0.08) ? drawBetween(random, 100, isLongRunning ? 12_000 : 4000) : undefined,
			repeatAfterMs: hasChance(random, 0.15) ? drawBetween(random, 200, 6000) : undefined,
			retriesRejection: hasChance(random, 0.5),
		});
	}

	return jobs;
}

/** Draws a chain of one to three steps. */
function drawSteps(random: RandomSource, mayDuplicate: boolean): StepRequest[] {
	return Array.from({length: drawBetween(random, 1, 3)}, (_, index) => drawStep(random, {isLongRunning: false, mayDuplicate, after: index === 0 ? [] : [index - 1]}));
}

function drawStep(random: RandomSource, kind: Pick<StepRequest, 'isLongRunning' | 'mayDuplicate' | 'after'>): StepRequest {
	return {
		...kind, taskCount: drawBetween(random, 1, kind.isLongRunning ? 2 : 6), cpuMillis: drawBetween(random, 300, 1400), memoryMb: drawBetween(random, 200, 1200), estimateMs: 700,
	};
}
