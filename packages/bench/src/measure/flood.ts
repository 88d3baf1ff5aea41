import {type RequestClass} from '@pistachiogauge/model';
import {createEntryPolicy} from './entry-policy.js';
import {
	burstMs, computeGoodput, computeLatency, createBurstRate, turnMs, type Job, type Source,
} from './job.js';
import {formatFigure, type Measure, type MeasureLine} from './measure.js';
import {sharedFifo, strictPriority} from './queue-policies.js';
import {runLoad, type Policy} from './run-load.js';
import {slotsPerWorker} from './workers.js';

const workerCount = 8;
const meanRunMs = 200;
const deadlineMs = 10_000;
const durationMs = 3 * turnMs;
/** Requests a second that the pool can run. */
const capacity = workerCount * slotsPerWorker * 1000 / meanRunMs;
/** Five times the mean is a fifth above what the pool holds. */
const queueMean = 0.24 * capacity;
/** Run time of the flood that could hold every slot for long. */
const longRunMs = 5000;
const floodFactor = 3;
const classes: readonly RequestClass[] = ['urgent', 'normal', 'deferrable'];

/** Three queues, one of each class, that ask five times their mean in turn. */
const otherSources: readonly Source[] = classes.map((requestClass, index) => ({
	name: `turn-${requestClass}`, requestClass, meanRunMs, deadlineMs, isIdempotent: true, getRate: createBurstRate(queueMean, index * (burstMs + ((turnMs - (3 * burstMs)) / 3))),
}));

const ours = createEntryPolicy({budget: 2, queueLimit: 1000, teams: [...otherSources.map(source => source.name), 'flood']});

/** Figures of the other work under a flood, against the same work without it. */
type FloodFigures = {
	readonly goodputRatio: number;
	readonly p99Ratio: number;
	readonly worstClassP99Ratio: number;
	/** Longest time until an urgent request started, in milliseconds. */
	readonly urgentStartMs: number;
};

/** Floods of three times the capacity, the least urgent first. */
const floods: Readonly<Record<string, Source>> = {
	deferrable: createFlood('deferrable', meanRunMs),
	'long-deferrable': createFlood('deferrable', longRunMs),
	urgent: createFlood('urgent', meanRunMs),
};

function createFlood(requestClass: RequestClass, floodRunMs: number): Source {
	return {
		name: 'flood', requestClass, meanRunMs: floodRunMs, deadlineMs, isIdempotent: true, getRate: () => floodFactor * capacity * meanRunMs / floodRunMs,
	};
}

function runFlood(policy: Policy, flood: Source, seed: number): FloodFigures {
	const quiet = runLoad({workerCount, sources: otherSources, durationMs}, policy, seed).jobs;
	const flooded = runLoad({workerCount, sources: [...otherSources, flood], durationMs}, policy, seed).jobs.filter(job => job.source !== 'flood');
	const classRatios = classes.map(requestClass => {
		const isOfClass = (job: Job) => job.requestClass === requestClass;
		return computeLatency(flooded.filter(job => isOfClass(job)), 0.99) / computeLatency(quiet.filter(job => isOfClass(job)), 0.99);
	});
	const urgentStarts = flooded.filter(job => job.requestClass === 'urgent').map(job => (job.startedAt ?? job.endedAt ?? Number.POSITIVE_INFINITY) - job.at);
	return {
		goodputRatio: computeGoodput(flooded) / computeGoodput(quiet),
		p99Ratio: computeLatency(flooded, 0.99) / computeLatency(quiet, 0.99),
		worstClassP99Ratio: Math.max(...classRatios),
		urgentStartMs: Math.max(...urgentStarts),
	};
}

const units: Readonly<Record<keyof FloodFigures, string>> = {
	goodputRatio: 'ratio', p99Ratio: 'ratio', worstClassP99Ratio: 'ratio', urgentStartMs: 'ms',
};
const measureNames: Readonly<Record<keyof FloodFigures, string>> = {
	goodputRatio: 'flood-goodput', p99Ratio: 'flood-p99', worstClassP99Ratio: 'flood-worst-class-p99', urgentStartMs: 'flood-longest-urgent-start',
};

/** Other work's goodput and waits while one kind of work asks for three times the pool's capacity. */
export const floodMeasure: Measure = {
	name: 'flood',
	description: 'other work in floods of deferrable, long deferrable and urgent requests, against the same work without it',
	run(seed) {
		const lines: MeasureLine[] = [];
		for (const [name, flood] of Object.entries(floods)) {
			const value = runFlood(ours, flood, seed);
			for (const baseline of [sharedFifo, strictPriority]) {
				const baselineValue = runFlood(baseline, flood, seed);
				for (const figure of Object.keys(units) as Array<keyof FloodFigures>) {
					lines.push({
						measure: `${measureNames[figure]}-${name}`,
						unit: units[figure],
						policy: ours.name,
						baseline: baseline.name,
						value: formatFigure(value[figure]),
						baselineValue: formatFigure(baselineValue[figure]),
						seed,
					});
				}
			}
		}

		return lines;
	},
};
