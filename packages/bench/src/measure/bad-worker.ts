import {createEntryPolicy} from './entry-policy.js';
import {computeGoodput, type Source} from './job.js';
import {formatFigure, type Measure} from './measure.js';
import {sharedFifo} from './queue-policies.js';
import {runLoad, type LoadPlan, type Policy} from './run-load.js';
import {slotsPerWorker} from './workers.js';

const workerCount = 8;
const meanRunMs = 200;
const capacity = workerCount * slotsPerWorker * 1000 / meanRunMs;
const failsAtMs = 5000;
const durationMs = 15_000;
const warmUpMs = 2000;
/** A worker that gets nothing for so long has been taken out. */
const outMs = 500;
const sources: readonly Source[] = [
	{
		name: 'reads', requestClass: 'normal', meanRunMs, deadlineMs: 5000, isIdempotent: true, getRate: () => capacity / 4,
	},
	{
		name: 'bookings', requestClass: 'urgent', meanRunMs, deadlineMs: 5000, isIdempotent: false, getRate: () => capacity / 4,
	},
];
const plan: LoadPlan = {
	workerCount,
	sources,
	durationMs,
	changes: [{
		at: failsAtMs,
		change(workers) {
			workers[0]!.mode = 'fail';
		},
	}],
};
const ours = createEntryPolicy({budget: 1, queueLimit: 1000, teams: sources.map(source => source.name)});

type WorkerFigures = {
	/** Requests that the worker got before it was taken out. */
	readonly untilFound: number;
	/** All requests that it got until the end of the run, trials included. */
	readonly received: number;
	readonly goodput: number;
};

function measureBadWorker(policy: Policy, seed: number): WorkerFigures {
	const {jobs, workers} = runLoad(plan, policy, seed);
	const times = workers[0]!.receivedAt.filter(at => at >= warmUpMs + failsAtMs);
	const gapIndex = times.findIndex((at, index) => (times[index + 1] ?? Number.POSITIVE_INFINITY) - at > outMs);
	return {untilFound: gapIndex + 1, received: times.length, goodput: computeGoodput(jobs.filter(job => job.at >= warmUpMs + failsAtMs))};
}

const figures: Readonly<Record<keyof WorkerFigures, {readonly measure: string; readonly unit: string}>> = {
	untilFound: {measure: 'bad-worker-found-after', unit: 'requests'},
	received: {measure: 'bad-worker-received', unit: 'requests'},
	goodput: {measure: 'bad-worker-goodput', unit: 'ratio'},
};

/** Requests that a worker gets after it began to fail everything fast. */
export const badWorkerMeasure: Measure = {
	name: 'bad-worker',
	description: 'requests at a worker that fails everything fast until it is taken out, and goodput from then on',
	run(seed) {
		const value = measureBadWorker(ours, seed);
		const baselineValue = measureBadWorker(sharedFifo, seed);
		return (Object.keys(figures) as Array<keyof WorkerFigures>).map(figure => ({
			...figures[figure], policy: ours.name, baseline: sharedFifo.name, value: formatFigure(value[figure]), baselineValue: formatFigure(baselineValue[figure]), seed,
		}));
	},
};
