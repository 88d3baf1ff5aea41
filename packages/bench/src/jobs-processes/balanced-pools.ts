import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {type StepRequest} from '@pistachiogauge/platform/standins';
import {
	drawBetween, hasChance, type EndpointPlan, type JobPlan, type MoveMode, type RunPlan,
} from './run-plan.js';

const poolSizes: Readonly<Record<string, number>> = {desk: 9, notify: 8};
const maxSpareMachines = 5;
const endpointCapacity = {cpuMillis: 16_000, memoryMb: 65_536};
/** Demand goes from pool to pool: each has a burst of this length in turn, and little work in between. */
const burstMs = 7000;
const burstIntervalMs = 350;
const quietIntervalMs = 2500;
const servingJobIntervalMs = 3500;
/** Shortest time after which the runs of some long-running tasks fail. */
const minLifeMs = 250;
const maxLifeMs = 6000;

/** Replaces the pools and jobs of a plan by pools whose machines are moved as their demand rises and falls, with long-running tasks of which an endpoint may run only one. */
export function balancePlan(plan: RunPlan, mode: MoveMode): RunPlan {
	const {seed, durationMs} = plan;
	const random = createRandomSource(seed + 3_000_000);
	const services = seed % 2 === 0 ? ['desk', 'notify'] : ['desk'];
	const spareCount = random.getInteger(maxSpareMachines + 1);
	const endpoints: EndpointPlan[] = services.flatMap(service => Array.from({length: poolSizes[service] ?? 0}, (_, index) => ({
		id: `${service}-${index + 1}`, service, clockRate: 1,
	})));
	const jobs = services.flatMap((service, index) => [
		...drawServingJobs(random, `jobs-${service}`, durationMs),
		...drawBursts(random, `jobs-${service}`, durationMs, index * burstMs),
	]);
	return {
		...plan,
		queues: services.map(service => ({queue: `jobs-${service}`, service, attempts: 2})),
		endpoints,
		endpointCapacity,
		moves: {
			mode,
			sparePool: spareCount === 0 ? undefined : 'off',
			spareMachines: Array.from({length: spareCount}, (_, index) => `spare-${index + 1}`),
		},
		jobs: jobs.map((job, index) => numberJob(job, index + 1)),
	};
}

type UnnumberedJob = Omit<JobPlan, 'job'> & {readonly job: Omit<JobPlan['job'], 'jobId'>};

function numberJob({job, ...plan}: UnnumberedJob, number: number): JobPlan {
	return {...plan, job: {...job, payload: `${job.payload} job=${number}`, jobId: number.toString(16).padStart(16, '0')}};
}

/** Draws long-running jobs of 4 to 7 tasks that need an endpoint each. */
function drawServingJobs(random: RandomSource, queue: string, durationMs: number): UnnumberedJob[] {
	const jobs: UnnumberedJob[] = [];
	for (let atMs = 0; atMs < durationMs; atMs += drawBetween(random, 0, 2 * servingJobIntervalMs)) {
		const life = hasChance(random, 0.2) ? ` life=${drawBetween(random, minLifeMs, maxLifeMs)}` : '';
		jobs.push(createJob(atMs, queue, `serving${life}`, [{
			...drawStep(random, {count: [4, 7], cpuMillis: [500, 3000]}), isLongRunning: true, endpointLimit: 1,
		}], hasChance(random, 0.6) ? drawBetween(random, 4000, 20_000) : undefined));
	}

	return jobs;
}

/** Draws jobs of one or two steps, many of them in the bursts of the pool. */
function drawBursts(random: RandomSource, queue: string, durationMs: number, firstBurstMs: number): UnnumberedJob[] {
	const jobs: UnnumberedJob[] = [];
	const isInBurst = (atMs: number) => Math.floor((atMs + firstBurstMs) / burstMs) % 2 === 0;
	for (let atMs = 0; atMs < durationMs; atMs += drawBetween(random, 0, 2 * (isInBurst(atMs) ? burstIntervalMs : quietIntervalMs))) {
		const steps = Array.from({length: drawBetween(random, 1, 2)}, (_, index) => ({
			...drawStep(random, {count: [4, 8], cpuMillis: [600, 2500]}), after: index === 0 ? [] : [index - 1],
		}));
		jobs.push(createJob(atMs, queue, `ms=${drawBetween(random, 500, 1700)}`, steps, undefined));
	}

	return jobs;
}

function drawStep(random: RandomSource, {count, cpuMillis}: {readonly count: readonly [number, number]; readonly cpuMillis: readonly [number, number]}): StepRequest {
	return {
		taskCount: drawBetween(random, ...count), cpuMillis: drawBetween(random, ...cpuMillis), memoryMb: drawBetween(random, 200, 4000), estimateMs: 900, after: [], isLongRunning: false, mayDuplicate: false,
	};
}

function createJob(atMs: number, queue: string, payload: string, steps: readonly StepRequest[], cancelAfterMs: number | undefined): UnnumberedJob {
	return {
		atMs, job: {queue, payload, steps}, cancelAfterMs, repeatAfterMs: undefined, retriesRejection: true,
	};
}
