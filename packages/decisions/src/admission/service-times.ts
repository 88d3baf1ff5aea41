import {type RequestClass, type ServiceName} from '@pistachiogauge/model';
import {build, type Histogram} from 'hdr-histogram-js';
import {type DecisionContext} from '../context.js';
import {type EntryState} from '../entry-state.js';

/** Observed run times of a service and class, in milliseconds. @public */
export type ServiceTimes = {
	readonly count: number;
	readonly meanMs: number;
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
};

/** Run times of the current and the last period. */
export type ServiceTimeRecord = {
	current: Histogram;
	former: Histogram;
	periodEndsAt: number;
	/** Quantiles as last computed; walking a histogram for each request would cost too much. */
	summary: ServiceTimes | undefined;
	summaryEndsAt: number;
};

/** Run times older than two periods are forgotten, so the estimate follows a change of the service. */
const periodMs = 60_000;
const summaryMs = 500;
/** Interval of the first attempts, while too few runs are known. */
const firstSummaryMs = 50;
/** Fewer runs tell too little to refuse anyone. */
const minRuns = 20;
const highestTrackedMs = 3_600_000;

/** Records how long an endpoint took for a request. @internal */
export function recordServiceTime(state: EntryState, service: ServiceName, requestClass: RequestClass, durationMs: number, context: DecisionContext): void {
	const key = `${service}\n${requestClass}`;
	const {serviceTimes} = state.admission;
	const record = serviceTimes.get(key) ?? createRecord(context);
	serviceTimes.set(key, record);
	if (context.now >= record.periodEndsAt) {
		[record.current, record.former] = [record.former, record.current];
		record.current.reset();
		record.periodEndsAt = context.now + periodMs;
	}

	record.current.recordValue(Math.min(highestTrackedMs, Math.max(0, Math.round(durationMs))));
}

/** Observed run times; undefined until enough runs have ended. @internal */
export function getServiceTimes(state: EntryState, service: ServiceName, requestClass: RequestClass, context: DecisionContext): ServiceTimes | undefined {
	const record = state.admission.serviceTimes.get(`${service}\n${requestClass}`);
	if (record === undefined) {
		return undefined;
	}

	if (context.now >= record.summaryEndsAt) {
		record.summary = computeSummary(record);
		record.summaryEndsAt = context.now + (record.summary === undefined ? firstSummaryMs : summaryMs);
	}

	return record.summary;
}

function createRecord(context: DecisionContext): ServiceTimeRecord {
	return {
		current: createHistogram(), former: createHistogram(), periodEndsAt: context.now + periodMs, summary: undefined, summaryEndsAt: 0,
	};
}

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1, highestTrackableValue: highestTrackedMs, numberOfSignificantValueDigits: 2, bitBucketSize: 32, useWebAssembly: false,
	});
}

function computeSummary({current, former}: ServiceTimeRecord): ServiceTimes | undefined {
	const count = current.totalCount + former.totalCount;
	if (count < minRuns) {
		return undefined;
	}

	// The slower of both periods once the current one tells enough, so a limit is not set too low.
	const periods = [current, former].filter(period => period.totalCount >= minRuns / 2);
	const getQuantile = (percentile: number) => Math.max(...periods.map(period => period.getValueAtPercentile(percentile)));
	return {
		count,
		meanMs: ((current.mean * current.totalCount) + (former.mean * former.totalCount)) / count,
		p50Ms: getQuantile(50),
		p90Ms: getQuantile(90),
		p99Ms: getQuantile(99),
		p999Ms: getQuantile(99.9),
	};
}
