import {type RandomSource} from '@pistachiogauge/decisions';
import {type Outcome, type RequestClass} from '@pistachiogauge/model';

/** A request of a simulated load. Times are virtual milliseconds. */
export type LoadRequest = {
	readonly id: string;
	readonly sentAt: number;
	/** Name of the load source. */
	readonly source: string;
	readonly requestClass: RequestClass;
	readonly runMs: number;
	readonly deadlineMs: number;
	readonly isIdempotent: boolean;
	/** Start of the first attempt at a worker. */
	startedAt: number | undefined;
	endedAt: number | undefined;
	outcome: Outcome | undefined;
	status: number;
	/** Attempts that were sent to a worker, whether or not it was reached. */
	attemptCount: number;
};

/** A source of requests with a rate that may change over time. */
export type LoadSource = {
	readonly name: string;
	readonly requestClass: RequestClass;
	readonly meanRunMs: number;
	readonly deadlineMs: number;
	readonly isIdempotent: boolean;
	/** Requests per second at a time since the start of the load. */
	readonly getRate: (at: number) => number;
};

/** Length of a step in which the rate is treated as constant. */
const stepMs = 50;

/** Draws the requests of a source, with exponential gaps and run times uniformly between half and one and a half times the mean. */
export function createRequests(source: LoadSource, startMs: number, durationMs: number, random: RandomSource): LoadRequest[] {
	const requests: LoadRequest[] = [];
	for (let stepStartMs = 0; stepStartMs < durationMs; stepStartMs += stepMs) {
		const requestsPerMs = source.getRate(stepStartMs) / 1000;
		for (let at = stepStartMs + drawGapMs(requestsPerMs, random); at < stepStartMs + stepMs; at += drawGapMs(requestsPerMs, random)) {
			requests.push({
				id: `${source.name}-${requests.length}`,
				sentAt: startMs + at,
				source: source.name,
				requestClass: source.requestClass,
				runMs: source.meanRunMs * (0.5 + random.getFraction()),
				deadlineMs: source.deadlineMs,
				isIdempotent: source.isIdempotent,
				startedAt: undefined,
				endedAt: undefined,
				outcome: undefined,
				status: 0,
				attemptCount: 0,
			});
		}
	}

	return requests;
}

function drawGapMs(requestsPerMs: number, random: RandomSource): number {
	return requestsPerMs <= 0 ? Number.POSITIVE_INFINITY : -Math.log(1 - random.getFraction()) / requestsPerMs;
}

/** Length of a burst; the rate is low for the rest of the cycle. */
export const burstMs = 3000;
const burstFactor = 5;
const quietFactor = 0.05;

/** Length of a cycle, so that bursts of five times the mean and quiet phases of a twentieth of it average to the mean. */
export const cycleMs = burstMs * (burstFactor - quietFactor) / (1 - quietFactor);

/** Creates a rate of five times the mean during bursts and a twentieth of it in between. */
export function createBurstRate(mean: number, offsetMs: number): (at: number) => number {
	return at => mean * ((at + cycleMs - offsetMs) % cycleMs < burstMs ? burstFactor : quietFactor);
}

/** Share of requests that completed with a status below 500. */
export function computeGoodput(requests: readonly LoadRequest[]): number {
	return requests.filter(request => request.outcome === 'completed' && request.status < 500).length / Math.max(1, requests.length);
}

/** Quantile of the time from sending to the answer over the completed requests. */
export function computeLatency(requests: readonly LoadRequest[], quantile: number): number {
	const times = requests.filter(request => request.outcome === 'completed').map(request => request.endedAt! - request.sentAt).sort((left, right) => left - right);
	return times[Math.min(times.length - 1, Math.floor(times.length * quantile))] ?? Number.POSITIVE_INFINITY;
}
