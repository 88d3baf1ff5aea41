import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {drawItem, type FaultPlanOf} from './fault-plan.js';
import {
	drawBetween, hasChance, maxClockDelay, type JobPlan, type RunPlan,
} from './run-plan.js';

/** Times from the start of a fault until its endpoints crash and until they are back. */
export const recutTimes = {crashMs: 500, returnMs: 1100} as const;
/** Random numbers of close seeds begin alike. */
const seedFactor = 104_729;
const poolSizesOfRuns: ReadonlyArray<Readonly<Record<string, number>>> = [{desk: 9}, {desk: 5, notify: 4}];
const cutMs = 9000;
const roundIntervalMs = 14_000;
const maxRoundCount = 3;
const endpointCount = 3;
const meanJobIntervalMs = 280;
/** Long tasks stop this long before the end, so that their jobs end in time. */
const longTasksEndMs = 10_000;

/** Ways in which orders stay on their way across a restart, each for one seed in four. */
const shapes = [
	{lateShare: 0, lateness: 'delayed', darkOrders: 'kept'},
	{lateShare: 0.5, lateness: 'delayed', darkOrders: 'lost'},
	{lateShare: 0.5, lateness: 'delayed', darkOrders: 'kept'},
	{lateShare: 0.5, lateness: 'late', darkOrders: 'kept'},
] as const satisfies ReadonlyArray<Partial<FaultPlanOf<'endpoints-recut'>>>;

/** Adds rounds in which endpoints crash, are back and are cut off, and replaces the pools by ones of nine endpoints and the jobs by ones of which a third have long tasks. */
export function addRecuts(plan: RunPlan): RunPlan {
	const random = createRandomSource(plan.seed * seedFactor);
	const poolSizes = poolSizesOfRuns[Math.floor(plan.seed / shapes.length) % poolSizesOfRuns.length]!;
	const services = Object.keys(poolSizes);
	const recutPlan: RunPlan = {
		...plan,
		queues: services.map(service => ({queue: `jobs-${service}`, service, attempts: 2})),
		endpoints: Object.entries(poolSizes).flatMap(([service, size]) => Array.from({length: size}, (_, index) => ({
			id: `${service}-${index + 1}`, service, clockRate: 1 - (random.getFraction() * maxClockDelay),
		}))),
	};
	return {...recutPlan, faults: [...plan.faults, ...drawRounds(random, recutPlan)], jobs: drawJobs(random, recutPlan)};
}

function drawRounds(random: RandomSource, {seed, durationMs, queues}: RunPlan): Array<FaultPlanOf<'endpoints-recut'>> {
	const shape = shapes[seed % shapes.length]!;
	const firstMs = drawBetween(random, 3000, 6000);
	const rounds = Array.from({length: maxRoundCount}, (_, index): FaultPlanOf<'endpoints-recut'> => {
		const cutAfterMs = drawBetween(random, 150, 2000);
		return {
			kind: 'endpoints-recut',
			atMs: firstMs + (index * roundIntervalMs),
			durationMs: recutTimes.returnMs + cutAfterMs + cutMs,
			...shape,
			pool: random.getInteger(queues.length),
			endpointCount,
			firstEndpoint: random.getInteger(endpointCount),
			cutAfterMs,
			hasReports: hasChance(random, 0.5),
			killAfterMs: hasChance(random, 0.5) ? drawBetween(random, -500, 1400) : undefined,
			ownerDownMs: drawBetween(random, 300, 5000),
		};
	});
	return rounds.filter(round => round.atMs + round.durationMs <= durationMs);
}

function drawJobs(random: RandomSource, {durationMs, queues}: RunPlan): JobPlan[] {
	const jobs: JobPlan[] = [];
	for (let atMs = 0; atMs < durationMs; atMs += drawBetween(random, 0, 2 * meanJobIntervalMs)) {
		const isLong = hasChance(random, 1 / 3) && atMs < durationMs - longTasksEndMs;
		const durationOfTasksMs = isLong ? drawBetween(random, 5000, 13_000) : drawBetween(random, 200, 1200);
		jobs.push({
			atMs,
			job: {
				jobId: (jobs.length + 1).toString(16).padStart(16, '0'),
				queue: drawItem(random, queues).queue,
				payload: `ms=${durationOfTasksMs} job=${jobs.length + 1}`,
				steps: [{
					taskCount: drawBetween(random, 1, 5), cpuMillis: drawBetween(random, 100, 600), memoryMb: drawBetween(random, 100, 600),
					estimateMs: durationOfTasksMs, after: [], isLongRunning: false, mayDuplicate: false,
				}],
			},
			cancelAfterMs: hasChance(random, 0.06) ? drawBetween(random, 100, 4000) : undefined,
			repeatAfterMs: hasChance(random, 0.1) ? drawBetween(random, 200, 6000) : undefined,
			retriesRejection: true,
		});
	}

	return jobs;
}
