import {createEntryPolicy} from './entry-policy.js';
import {localGuessing, staticShares} from './slot-sharing-policies.js';
import {
	computeGoodput, computeLatency, createBurstRate, cycleMs, type LoadSource,
} from './load-request.js';
import {roundValue, type Measure, type MeasureLine} from './measure.js';
import {runLoad, type LoadPlan, type Policy} from './run-load.js';
import {slotsPerWorker} from './workers.js';

const workerCount = 8;
const meanRunMs = 200;
const capacity = workerCount * slotsPerWorker * 1000 / meanRunMs;
/** A burst of five times the mean rate is a fifth above the pool's capacity. */
const source: LoadSource = {
	name: 'queue', requestClass: 'normal', meanRunMs, deadlineMs: 1000, isIdempotent: true, getRate: createBurstRate(0.24 * capacity, 0),
};
const plan: LoadPlan = {workerCount, sources: [source], durationMs: 3 * cycleMs};
const entryPolicy = createEntryPolicy({budget: 2, queueLimit: 1000, teams: [source.name]});

type SlotUseMetrics = {
	readonly goodput: number;
	readonly p99Ms: number;
	readonly refusedShare: number;
};

function measureSlotUse(policy: Policy, seed: number): SlotUseMetrics {
	const {requests, workers} = runLoad(plan, policy, seed);
	return {
		goodput: computeGoodput(requests),
		p99Ms: computeLatency(requests, 0.99),
		refusedShare: workers.reduce((sum, worker) => sum + worker.refusedCount, 0) / requests.length,
	};
}

const metrics: Readonly<Record<keyof SlotUseMetrics, {readonly measure: string; readonly unit: string}>> = {
	goodput: {measure: 'slot-use-goodput', unit: 'ratio'},
	p99Ms: {measure: 'slot-use-p99', unit: 'ms'},
	refusedShare: {measure: 'slot-use-refusals', unit: 'refusals per request'},
};

/** Slot use in bursts with one owner per pool, against entries that share the slots. */
export const slotUseMeasure: Measure = {
	name: 'slot-use',
	description: 'goodput, p99 latency and refusals of one bursty source: one owner per pool against entries that share the slots',
	run(seed) {
		const lines: MeasureLine[] = [];
		const value = measureSlotUse(entryPolicy, seed);
		for (const baseline of [staticShares, localGuessing]) {
			const baselineValue = measureSlotUse(baseline, seed);
			for (const metric of Object.keys(metrics) as Array<keyof SlotUseMetrics>) {
				lines.push({
					...metrics[metric], policy: entryPolicy.name, baseline: baseline.name, value: roundValue(value[metric]), baselineValue: roundValue(baselineValue[metric]), seed,
				});
			}
		}

		return lines;
	},
};
