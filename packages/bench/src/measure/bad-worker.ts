import {createEntryPolicy} from './entry-policy.js';
import {computeGoodput, type LoadSource} from './load-request.js';
import {roundValue, type Measure} from './measure.js';
import {sharedFifo} from './queue-policies.js';
import {runLoad, type LoadPlan, type Policy} from './run-load.js';
import {slotsPerWorker} from './workers.js';

const workerCount = 8;
const meanRunMs = 200;
const capacity = workerCount * slotsPerWorker * 1000 / meanRunMs;
const failsAtMs = 5000;
const durationMs = 15_000;
const warmUpMs = 2000;
/** A worker that has received no request for this long counts as removed. */
const removalGapMs = 500;
const sources: readonly LoadSource[] = [
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
const entryPolicy = createEntryPolicy({budget: 1, queueLimit: 1000, teams: sources.map(source => source.name)});

type BadWorkerMetrics = {
	/** Requests that the worker received before it was removed. */
	readonly receivedBeforeRemoval: number;
	/** All requests that it received until the end of the run, trial requests included. */
	readonly receivedTotal: number;
	readonly goodput: number;
};

function measureBadWorker(policy: Policy, seed: number): BadWorkerMetrics {
	const {requests, workers} = runLoad(plan, policy, seed);
	const receivedAfterFault = workers[0]!.receivedAt.filter(at => at >= warmUpMs + failsAtMs);
	const gapIndex = receivedAfterFault.findIndex((at, index) => (receivedAfterFault[index + 1] ?? Number.POSITIVE_INFINITY) - at > removalGapMs);
	return {receivedBeforeRemoval: gapIndex + 1, receivedTotal: receivedAfterFault.length, goodput: computeGoodput(requests.filter(request => request.sentAt >= warmUpMs + failsAtMs))};
}

const metrics: Readonly<Record<keyof BadWorkerMetrics, {readonly measure: string; readonly unit: string}>> = {
	receivedBeforeRemoval: {measure: 'bad-worker-found-after', unit: 'requests'},
	receivedTotal: {measure: 'bad-worker-received', unit: 'requests'},
	goodput: {measure: 'bad-worker-goodput', unit: 'ratio'},
};

/** Requests that a worker receives after it starts to fail every request quickly. */
export const badWorkerMeasure: Measure = {
	name: 'bad-worker',
	description: 'requests sent to a worker that fails every request quickly, until it is removed and in total, and goodput after the fault',
	run(seed) {
		const value = measureBadWorker(entryPolicy, seed);
		const baselineValue = measureBadWorker(sharedFifo, seed);
		return (Object.keys(metrics) as Array<keyof BadWorkerMetrics>).map(metric => ({
			...metrics[metric], policy: entryPolicy.name, baseline: sharedFifo.name, value: roundValue(value[metric]), baselineValue: roundValue(baselineValue[metric]), seed,
		}));
	},
};
