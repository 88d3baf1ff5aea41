import {type RandomSource} from '@pistachiogauge/decisions';
import {type Outcome, type RequestClass} from '@pistachiogauge/model';

/** A request of a measured load. Times are virtual milliseconds. */
export type Job = {
	readonly id: string;
	readonly at: number;
	/** Queue of the load that the job belongs to. */
	readonly source: string;
	readonly requestClass: RequestClass;
	readonly runMs: number;
	readonly deadlineMs: number;
	readonly isIdempotent: boolean;
	/** Set when an attempt starts at a worker. */
	startedAt: number | undefined;
	endedAt: number | undefined;
	outcome: Outcome | undefined;
	status: number;
	/** Attempts that reached a worker or its address. */
	attempts: number;
};

/** A queue of requests whose rate changes with time. */
export type Source = {
	readonly name: string;
	readonly requestClass: RequestClass;
	readonly meanRunMs: number;
	readonly deadlineMs: number;
	readonly isIdempotent: boolean;
	/** Requests a second at a virtual time. */
	readonly getRate: (at: number) => number;
};

/** Steps in which the rate is taken as constant. */
const stepMs = 50;

/** Draws the requests of a source: exponential gaps, run times between half of and one and a half times the mean. */
export function createJobs(source: Source, startMs: number, durationMs: number, random: RandomSource): Job[] {
	const jobs: Job[] = [];
	for (let step = 0; step < durationMs; step += stepMs) {
		const perMs = source.getRate(step) / 1000;
		for (let at = step + computeGap(perMs, random); at < step + stepMs; at += computeGap(perMs, random)) {
			jobs.push({
				id: `${source.name}-${jobs.length}`,
				at: startMs + at,
				source: source.name,
				requestClass: source.requestClass,
				runMs: source.meanRunMs * (0.5 + random.getFraction()),
				deadlineMs: source.deadlineMs,
				isIdempotent: source.isIdempotent,
				startedAt: undefined,
				endedAt: undefined,
				outcome: undefined,
				status: 0,
				attempts: 0,
			});
		}
	}

	return jobs;
}

function computeGap(perMs: number, random: RandomSource): number {
	return perMs <= 0 ? Number.POSITIVE_INFINITY : -Math.log(1 - random.getFraction()) / perMs;
}

/** Length of a burst; the rest of a turn is quiet. */
export const burstMs = 3000;
const burstFactor = 5;
const quietFactor = 0.05;

/** Length of a turn in which bursts of five times the mean and quiet times of a twentieth give the mean. */
export const turnMs = burstMs * (burstFactor - quietFactor) / (1 - quietFactor);

/** Rate of a queue that asks five times its mean for a few seconds and a twentieth in between. */
export function createBurstRate(mean: number, offsetMs: number): (at: number) => number {
	return at => mean * ((at + turnMs - offsetMs) % turnMs < burstMs ? burstFactor : quietFactor);
}

/** Share of jobs that completed with a success. */
export function computeGoodput(jobs: readonly Job[]): number {
	return jobs.filter(job => job.outcome === 'completed' && job.status < 500).length / Math.max(1, jobs.length);
}

/** Quantile of the time from asking to the answer of the jobs that completed. */
export function computeLatency(jobs: readonly Job[], quantile: number): number {
	const times = jobs.filter(job => job.outcome === 'completed').map(job => job.endedAt! - job.at).sort((left, right) => left - right);
	return times[Math.min(times.length - 1, Math.floor(times.length * quantile))] ?? Number.POSITIVE_INFINITY;
}
