import {type RequestClass, type ServiceName} from '@pistachiogauge/model';
import {build, type Histogram} from 'hdr-histogram-js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';

/** Statistics of observed service times. @public */
export type ServiceTimes = {
	readonly count: number;
	readonly meanMs: number;
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
};

/** Histograms of the current and the previous period. */
export type ServiceTimeHistogram = {
	current: Histogram;
	previous: Histogram;
	periodEndsAt: number;
	/** Cached statistics; reading the percentiles from the histograms for each request would be too expensive. */
	summary: ServiceTimes | undefined;
	summaryEndsAt: number;
};

/** Service times older than two periods are dropped, so that the statistics follow a change of the service. */
const periodMs = 60_000;
const summaryIntervalMs = 500;
/** Interval while there are too few samples for a summary. */
const firstSummaryIntervalMs = 50;
/** No statistics are returned for fewer samples. */
const minSampleCount = 5;
/** The percentiles of a period are used once it has this many samples, or half of the samples of both periods. */
const minPeriodSampleCount = 10;
const maxTrackedMs = 3_600_000;

/** Limit on memory; histograms that were updated least recently are deleted first. */
const maxHistograms = 2000;

/** Identifies a group of service times. Includes the team, because the requests of one team can take far longer than those of the others in its class. */
export type ServiceTimeKey = {
	readonly service: ServiceName;
	readonly requestClass: RequestClass;
	readonly team: string;
};

/** Records the service time of a request at an endpoint, for its class and for its team. @internal */
export function recordServiceTime(state: EntryState, key: ServiceTimeKey, durationMs: number, context: DecisionContext): void {
	addServiceTime(state, formatClassKey(key), durationMs, context);
	addServiceTime(state, formatTeamKey(key), durationMs, context);
}

/** Returns the service times of the team's requests, or of the whole class while the team has too few samples; undefined while the class has too few as well. @internal */
export function getServiceTimes(state: EntryState, key: ServiceTimeKey, context: DecisionContext): ServiceTimes | undefined {
	return getTeamServiceTimes(state, key, context) ?? getSummary(state, formatClassKey(key), context);
}

/** Returns the service times of the team's own requests; undefined while there are too few samples. @internal */
export function getTeamServiceTimes(state: EntryState, key: ServiceTimeKey, context: DecisionContext): ServiceTimes | undefined {
	return getSummary(state, formatTeamKey(key), context);
}

function formatClassKey({service, requestClass}: ServiceTimeKey): string {
	return `${service}\n${requestClass}`;
}

function formatTeamKey({service, requestClass, team}: ServiceTimeKey): string {
	return `${service}\n${requestClass}\n${team}`;
}

function addServiceTime(state: EntryState, key: string, durationMs: number, context: DecisionContext): void {
	const {serviceTimes} = state.admission;
	const histogram = serviceTimes.get(key) ?? createServiceTimeHistogram(context);
	serviceTimes.delete(key);
	serviceTimes.set(key, histogram);
	if (serviceTimes.size > maxHistograms) {
		const [oldest] = serviceTimes.keys();
		serviceTimes.delete(oldest!);
	}

	if (context.now >= histogram.periodEndsAt) {
		[histogram.current, histogram.previous] = [histogram.previous, histogram.current];
		histogram.current.reset();
		histogram.periodEndsAt = context.now + periodMs;
	}

	histogram.current.recordValue(Math.min(maxTrackedMs, Math.max(0, Math.round(durationMs))));
}

function getSummary(state: EntryState, key: string, context: DecisionContext): ServiceTimes | undefined {
	const histogram = state.admission.serviceTimes.get(key);
	if (histogram === undefined) {
		return undefined;
	}

	if (context.now >= histogram.summaryEndsAt) {
		histogram.summary = computeSummary(histogram);
		histogram.summaryEndsAt = context.now + (histogram.summary === undefined ? firstSummaryIntervalMs : summaryIntervalMs);
	}

	return histogram.summary;
}

function createServiceTimeHistogram(context: DecisionContext): ServiceTimeHistogram {
	return {
		current: createHistogram(), previous: createHistogram(), periodEndsAt: context.now + periodMs, summary: undefined, summaryEndsAt: 0,
	};
}

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1, highestTrackableValue: 2, autoResize: true, numberOfSignificantValueDigits: 2, bitBucketSize: 32, useWebAssembly: false,
	});
}

function computeSummary({current, previous}: ServiceTimeHistogram): ServiceTimes | undefined {
	const count = current.totalCount + previous.totalCount;
	if (count < minSampleCount) {
		return undefined;
	}

	// Takes the slower of both periods once the current one has enough samples, so that timeouts are not set too low.
	const periods = [current, previous].filter(period => period.totalCount >= Math.min(count / 2, minPeriodSampleCount));
	const computePercentile = (percentile: number) => Math.max(...periods.map(period => period.getValueAtPercentile(percentile)));
	return {
		count,
		meanMs: ((current.mean * current.totalCount) + (previous.mean * previous.totalCount)) / count,
		p50Ms: computePercentile(50),
		p90Ms: computePercentile(90),
		p99Ms: computePercentile(99),
		p999Ms: computePercentile(99.9),
	};
}
