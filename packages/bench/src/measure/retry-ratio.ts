import {createEntryPolicy} from './entry-policy.js';
import {computeGoodput, type LoadSource} from './load-request.js';
import {roundValue, type Measure} from './measure.js';
import {runLoad, type LoadPlan, type Policy} from './run-load.js';
import {unlimitedRetries} from './unlimited-retries.js';
import {slotsPerWorker, stopWorker} from './workers.js';

const workerCount = 8;
const meanRunMs = 200;
const capacity = workerCount * slotsPerWorker * 1000 / meanRunMs;
const rackLossAtMs = 8000;
const durationMs = 20_000;
/** Nine tenths of the capacity of the remaining rack. */
const requestRate = 0.45 * capacity;
const sources: readonly LoadSource[] = [
	{
		name: 'reads', requestClass: 'normal', meanRunMs, deadlineMs: 5000, isIdempotent: true, getRate: () => requestRate / 2,
	},
	{
		name: 'bookings', requestClass: 'urgent', meanRunMs, deadlineMs: 5000, isIdempotent: false, getRate: () => requestRate / 2,
	},
];
const plan: LoadPlan = {
	workerCount,
	sources,
	durationMs,
	changes: [{
		at: rackLossAtMs,
		change(workers) {
			for (const worker of workers.filter(item => item.rack === 'r1')) {
				stopWorker(worker);
			}
		},
	}],
};
const entryPolicy = createEntryPolicy({budget: 1, queueLimit: 1000, teams: sources.map(source => source.name)});
const warmUpMs = 2000;

type RetryMetrics = {
	readonly ratio: number;
	readonly goodput: number;
};

function measureRetries(policy: Policy, seed: number): RetryMetrics {
	const requests = runLoad(plan, policy, seed).requests.filter(request => request.sentAt >= warmUpMs + rackLossAtMs - meanRunMs);
	return {ratio: requests.reduce((sum, request) => sum + request.attemptCount, 0) / requests.length, goodput: computeGoodput(requests)};
}

/** Attempts per request from the loss of a rack onwards. */
export const retryRatioMeasure: Measure = {
	name: 'retry-ratio',
	description: 'attempts per request, and goodput, after the loss of a rack of four workers',
	run(seed) {
		const value = measureRetries(entryPolicy, seed);
		const baselineValue = measureRetries(unlimitedRetries, seed);
		const names = {policy: entryPolicy.name, baseline: unlimitedRetries.name, seed};
		return [
			{
				measure: 'retry-ratio', unit: 'sent per asked', ...names, value: roundValue(value.ratio), baselineValue: roundValue(baselineValue.ratio),
			},
			{
				measure: 'retry-ratio-goodput', unit: 'ratio', ...names, value: roundValue(value.goodput), baselineValue: roundValue(baselineValue.goodput),
			},
		];
	},
};
