import {createEntryPolicy} from './entry-policy.js';
import {localGuessing, staticShares} from './entry-share-policies.js';
import {
	computeGoodput, computeLatency, createBurstRate, turnMs, type Source,
} from './job.js';
import {formatFigure, type Measure, type MeasureLine} from './measure.js';
import {runLoad, type LoadPlan, type Policy} from './run-load.js';
import {slotsPerWorker} from './workers.js';

const workerCount = 8;
const meanRunMs = 200;
const capacity = workerCount * slotsPerWorker * 1000 / meanRunMs;
/** Five times the mean is a fifth above what the pool holds. */
const source: Source = {
	name: 'queue', requestClass: 'normal', meanRunMs, deadlineMs: 1000, isIdempotent: true, getRate: createBurstRate(0.24 * capacity, 0),
};
const plan: LoadPlan = {workerCount, sources: [source], durationMs: 3 * turnMs};
const ours = createEntryPolicy({budget: 2, queueLimit: 1000, teams: [source.name]});

type SlotFigures = {
	readonly goodput: number;
	readonly p99Ms: number;
	readonly refusedShare: number;
};

function measureSlotUse(policy: Policy, seed: number): SlotFigures {
	const {jobs, workers} = runLoad(plan, policy, seed);
	return {
		goodput: computeGoodput(jobs),
		p99Ms: computeLatency(jobs, 0.99),
		refusedShare: workers.reduce((sum, worker) => sum + worker.refused, 0) / jobs.length,
	};
}

const figures: Readonly<Record<keyof SlotFigures, {readonly measure: string; readonly unit: string}>> = {
	goodput: {measure: 'slot-use-goodput', unit: 'ratio'},
	p99Ms: {measure: 'slot-use-p99', unit: 'ms'},
	refusedShare: {measure: 'slot-use-refusals', unit: 'refusals per request'},
};

/** How well one owner per pool uses the slots in bursts, against entries that share them out. */
export const slotUseMeasure: Measure = {
	name: 'slot-use',
	description: 'goodput, p99 and refusals of one queue in bursts: one owner against entries that share the slots',
	run(seed) {
		const lines: MeasureLine[] = [];
		const value = measureSlotUse(ours, seed);
		for (const baseline of [staticShares, localGuessing]) {
			const baselineValue = measureSlotUse(baseline, seed);
			for (const figure of Object.keys(figures) as Array<keyof SlotFigures>) {
				lines.push({
					...figures[figure], policy: ours.name, baseline: baseline.name, value: formatFigure(value[figure]), baselineValue: formatFigure(baselineValue[figure]), seed,
				});
			}
		}

		return lines;
	},
};
