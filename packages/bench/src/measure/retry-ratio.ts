import {createEntryPolicy} from './entry-policy.js';
import {computeGoodput, type Source} from './job.js';
import {formatFigure, type Measure} from './measure.js';
import {runLoad, type LoadPlan, type Policy} from './run-load.js';
import {unlimitedRetries} from './unlimited-retries.js';
import {slotsPerWorker, stopWorker} from './workers.js';

const workerCount = 8;
const meanRunMs = 200;
const capacity = workerCount * slotsPerWorker * 1000 / meanRunMs;
const deathMs = 8000;
const durationMs = 20_000;
/** Nine tenths of what the rack that is left can run. */
const rate = 0.45 * capacity;
const sources: readonly Source[] = [
	{
		name: 'reads', requestClass: 'normal', meanRunMs, deadlineMs: 5000, isIdempotent: true, getRate: () => rate / 2,
	},
	{
		name: 'bookings', requestClass: 'urgent', meanRunMs, deadlineMs: 5000, isIdempotent: false, getRate: () => rate / 2,
	},
];
const plan: LoadPlan = {
	workerCount,
	sources,
	durationMs,
	changes: [{
		at: deathMs,
		change(workers) {
			for (const worker of workers.filter(item => item.rack === 'r1')) {
				stopWorker(worker);
			}
		},
	}],
};
const ours = createEntryPolicy({budget: 1, queueLimit: 1000, teams: sources.map(source => source.name)});
const warmUpMs = 2000;

type RetryFigures = {
	readonly ratio: number;
	readonly goodput: number;
};

function measureRetries(policy: Policy, seed: number): RetryFigures {
	const jobs = runLoad(plan, policy, seed).jobs.filter(job => job.at >= warmUpMs + deathMs - meanRunMs);
	return {ratio: jobs.reduce((sum, job) => sum + job.attempts, 0) / jobs.length, goodput: computeGoodput(jobs)};
}

/** Requests sent for each one asked from the loss of a rack on. */
export const retryRatioMeasure: Measure = {
	name: 'retry-ratio',
	description: 'sent to asked requests, and goodput, from the loss of a rack of four on',
	run(seed) {
		const value = measureRetries(ours, seed);
		const baselineValue = measureRetries(unlimitedRetries, seed);
		const names = {policy: ours.name, baseline: unlimitedRetries.name, seed};
		return [
			{
				measure: 'retry-ratio', unit: 'sent per asked', ...names, value: formatFigure(value.ratio), baselineValue: formatFigure(baselineValue.ratio),
			},
			{
				measure: 'retry-ratio-goodput', unit: 'ratio', ...names, value: formatFigure(value.goodput), baselineValue: formatFigure(baselineValue.goodput),
			},
		];
	},
};
