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
/** Fewer runs tell nothing. */
const minRuns = 5;
/** The current period is used once it has this many runs, or when it is the only one. */
const minPeriodRuns = 10;
const highestTrackedMs = 3_600_000;

/** Records kept; the teams' ones used least recently are forgotten first. */
const maxRecords = 2000;

/** What run times are known by. A team's work can be far longer than that of the others in its class. */
export type WorkKind = {
	readonly service: ServiceName;
	readonly requestClass: RequestClass;
	readonly team: string;
};

/** Records how long an endpoint took for a request. @internal */
export function recordServiceTime(state: EntryState, kind: WorkKind, durationMs: number, context: DecisionContext): void {
	addRunTime(state, getClassKey(kind), durationMs, context);
	addRunTime(state, getTeamKey(kind), durationMs, context);
}

/** Observed run times of the team's requests, or of all in the class while the team's are too few; undefined until enough runs have ended. @internal */
export function getServiceTimes(state: EntryState, kind: WorkKind, context: DecisionContext): ServiceTimes | undefined {
	return getTeamServiceTimes(state, kind, context) ?? getSummary(state, getClassKey(kind), context);
}

/** Observed run times of the team's own requests. @internal */
export function getTeamServiceTimes(state: EntryState, kind: WorkKind, context: DecisionContext): ServiceTimes | undefined {
	return getSummary(state, getTeamKey(kind), context);
}

function getClassKey({service, requestClass}: WorkKind): string {
	return `${service}\n${requestClass}`;
}

function getTeamKey({service, requestClass, team}: WorkKind): string {
	return `${service}\n${requestClass}\n${team}`;
}

function addRunTime(state: EntryState, key: string, durationMs: number, context: DecisionContext): void {
	const {serviceTimes} = state.admission;
	const record = serviceTimes.get(key) ?? createRecord(context);
	serviceTimes.delete(key);
	serviceTimes.set(key, record);
	if (serviceTimes.size > maxRecords) {
		const [oldest] = serviceTimes.keys();
		serviceTimes.delete(oldest!);
	}

	if (context.now >= record.periodEndsAt) {
		[record.current, record.former] = [record.former, record.current];
		record.current.reset();
		record.periodEndsAt = context.now + periodMs;
	}

	record.current.recordValue(Math.min(highestTrackedMs, Math.max(0, Math.round(durationMs))));
}

function getSummary(state: EntryState, key: string, context: DecisionContext): ServiceTimes | undefined {
	const record = state.admission.serviceTimes.get(key);
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
		lowestDiscernibleValue: 1, highestTrackableValue: 2, autoResize: true, numberOfSignificantValueDigits: 2, bitBucketSize: 32, useWebAssembly: false,
	});
}

function computeSummary({current, former}: ServiceTimeRecord): ServiceTimes | undefined {
	const count = current.totalCount + former.totalCount;
	if (count < minRuns) {
		return undefined;
	}

	// The slower of both periods once the current one tells enough, so a limit is not set too low.
	const periods = [current, former].filter(period => period.totalCount >= Math.min(count / 2, minPeriodRuns));
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
