import {createRandomSource, type RandomSource} from '@pistachiogauge/decisions';
import {drawItem, type FaultPlanOf} from './fault-plan.js';
import {
	drawBetween, hasChance, type JobPlan, type RunPlan,
} from './run-plan.js';

/** Times from the start of a fault until its endpoints crash and until they are back. */
export const recutTimes = {crashMs: 500, returnMs: 1100} as const;
const cutMs = 9000;
const roundIntervalMs = 14_000;
const maxRoundCount = 3;
const endpointCount = 3;
const meanJobIntervalMs = 280;
/** Long tasks stop this long before the end, so that their jobs end in time. */
const longTasksEndMs = 10_000;

/** Ways in which orders stay on their way across a restart. */
const shapes = [
	{lateShare: 0, lateness: 'delayed', darkOrders: 'kept'},
	{lateShare: 0.5, lateness: 'delayed', darkOrders: 'lost'},
	{lateShare: 0.5, lateness: 'delayed', darkOrders: 'kept'},
	{lateShare: 0.5, lateness: 'late', darkOrders: 'kept'},
] as const satisfies ReadonlyArray<Partial<FaultPlanOf<'endpoints-recut'>>>;

/** Adds rounds in which endpoints crash, are back and are cut off, and replaces the jobs by ones of which a third have long tasks. */
export function addRecuts(plan: RunPlan): RunPlan {
	const random = createRandomSource(plan.seed + 4_000_000);
	return {...plan, faults: [...plan.faults, ...drawRounds(random, plan)], jobs: drawJobs(random, plan)};
}

function drawRounds(random: RandomSource, {durationMs, queues}: RunPlan): Array<FaultPlanOf<'endpoints-recut'>> {
	const shape = drawItem(random, shapes);
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
