import {type RequestClass} from '@pistachiogauge/model';
import {createEntryPolicy} from './entry-policy.js';
import {
	burstMs, computeGoodput, computeLatency, createBurstRate, cycleMs, type LoadRequest, type LoadSource,
} from './load-request.js';
import {roundValue, type Measure, type MeasureLine} from './measure.js';
import {sharedFifo, strictPriority} from './queue-policies.js';
import {runLoad, type Policy} from './run-load.js';
import {slotsPerWorker} from './workers.js';

const workerCount = 8;
const meanRunMs = 200;
const deadlineMs = 10_000;
const durationMs = 3 * cycleMs;
/** Requests per second that the pool can run. */
const capacity = workerCount * slotsPerWorker * 1000 / meanRunMs;
/** Five times this rate is a fifth above the pool's capacity. */
const queueRate = 0.24 * capacity;
/** Run time of the flood's requests that could occupy every slot for a long time. */
const longRunMs = 5000;
const floodFactor = 3;
const classes: readonly RequestClass[] = ['urgent', 'normal', 'deferrable'];

/** Three sources, one for each class, that send bursts of five times their mean rate one after the other. */
const otherSources: readonly LoadSource[] = classes.map((requestClass, index) => ({
	name: `turn-${requestClass}`, requestClass, meanRunMs, deadlineMs, isIdempotent: true, getRate: createBurstRate(queueRate, index * (burstMs + ((cycleMs - (3 * burstMs)) / 3))),
}));

const entryPolicy = createEntryPolicy({budget: 2, queueLimit: 1000, teams: [...otherSources.map(source => source.name), 'flood']});

/** Results of the other sources under a flood, relative to the same load without the flood. */
type FloodMetrics = {
	readonly goodputRatio: number;
	readonly p99Ratio: number;
	readonly worstClassP99Ratio: number;
	/** Longest time until an urgent request started, in milliseconds. */
	readonly urgentStartMs: number;
};

/** Floods of three times the capacity, in order of increasing urgency. */
const floods: Readonly<Record<string, LoadSource>> = {
	deferrable: createFlood('deferrable', meanRunMs),
	'long-deferrable': createFlood('deferrable', longRunMs),
	urgent: createFlood('urgent', meanRunMs),
};

function createFlood(requestClass: RequestClass, floodRunMs: number): LoadSource {
	return {
		name: 'flood', requestClass, meanRunMs: floodRunMs, deadlineMs, isIdempotent: true, getRate: () => floodFactor * capacity * meanRunMs / floodRunMs,
	};
}

function runFlood(policy: Policy, flood: LoadSource, seed: number): FloodMetrics {
	const baseRequests = runLoad({workerCount, sources: otherSources, durationMs}, policy, seed).requests;
	const requestsUnderFlood = runLoad({workerCount, sources: [...otherSources, flood], durationMs}, policy, seed).requests.filter(request => request.source !== 'flood');
	const classRatios = classes.map(requestClass => {
		const hasClass = (request: LoadRequest) => request.requestClass === requestClass;
		return computeLatency(requestsUnderFlood.filter(request => hasClass(request)), 0.99) / computeLatency(baseRequests.filter(request => hasClass(request)), 0.99);
	});
	const urgentDelaysMs = requestsUnderFlood
		.filter(request => request.requestClass === 'urgent')
		.map(request => (request.startedAt ?? request.endedAt ?? Number.POSITIVE_INFINITY) - request.sentAt);
	return {
		goodputRatio: computeGoodput(requestsUnderFlood) / computeGoodput(baseRequests),
		p99Ratio: computeLatency(requestsUnderFlood, 0.99) / computeLatency(baseRequests, 0.99),
		worstClassP99Ratio: Math.max(...classRatios),
		urgentStartMs: Math.max(...urgentDelaysMs),
	};
}

const units: Readonly<Record<keyof FloodMetrics, string>> = {
	goodputRatio: 'ratio', p99Ratio: 'ratio', worstClassP99Ratio: 'ratio', urgentStartMs: 'ms',
};
const measureNames: Readonly<Record<keyof FloodMetrics, string>> = {
	goodputRatio: 'flood-goodput', p99Ratio: 'flood-p99', worstClassP99Ratio: 'flood-worst-class-p99', urgentStartMs: 'flood-longest-urgent-start',
};

/** Goodput and latency of the other sources while one source sends three times the pool's capacity. */
export const floodMeasure: Measure = {
	name: 'flood',
	description: 'goodput and latency of other requests during floods of deferrable, long deferrable and urgent requests, relative to the same load without the flood',
	run(seed) {
		const lines: MeasureLine[] = [];
		for (const [name, flood] of Object.entries(floods)) {
			const value = runFlood(entryPolicy, flood, seed);
			for (const baseline of [sharedFifo, strictPriority]) {
				const baselineValue = runFlood(baseline, flood, seed);
				for (const metric of Object.keys(units) as Array<keyof FloodMetrics>) {
					lines.push({
						measure: `${measureNames[metric]}-${name}`,
						unit: units[metric],
						policy: entryPolicy.name,
						baseline: baseline.name,
						value: roundValue(value[metric]),
						baselineValue: roundValue(baselineValue[metric]),
						seed,
					});
				}
			}
		}

		return lines;
	},
};
