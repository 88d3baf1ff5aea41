import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {getConfirmedWallTime, type AuthorityView} from '../authority/index.js';
import {type DirectoryView} from '../directory/index.js';
import {type EvacuationView} from '../evacuation/index.js';
import {type JobFilter, type JobOutput} from '../filter.js';
import {type LedgerView, type PoolLedger} from '../ledger/index.js';
import {type DurationModel, type PoolReport} from '../model/index.js';
import {type ObservationView} from '../observation/index.js';
import {type QuotaView} from '../quota/index.js';
import {rankByMeasuredDurations, type RankedJob} from '../placement/index.js';
import {type SupervisionView} from '../supervision/index.js';
import {createDemandLimiter} from './limit-demand.js';
import {arrivalWindowMs, estimateArrivingMillis, type Arrival} from './estimate-arrivals.js';
import {listNeededEndpoints} from './list-needed-endpoints.js';
import {
	addLoad, computeMemoryPerMilli, measureLoad, noLoad, type Load,
} from './measure-load.js';

/** @public */
export type ReportingState = {
	/** The last report of each pool that this entry owns. */
	readonly reports: Map<string, {readonly text: string; readonly sentAt: number}>;
	/** Recent arrivals of each pool by job, also of jobs that have ended since. */
	readonly arrivals: Map<string, Map<string, RecentArrival>>;
	/** Monotonic ms from which this entry has learned of all that was stored while it did not reach the store. */
	watchesCurrentFrom: number;
};

/** Work of a job as it arrived. */
type RecentArrival = Omit<Arrival, 'ageMs'> & {readonly at: number; readonly memoryMbPerMilli: number};

/** @public */
export function createReportingState(): ReportingState {
	return {reports: new Map(), arrivals: new Map(), watchesCurrentFrom: 0};
}

/** Minimum interval between two reports of a pool; demand in a pool rises within a second, and machines take longer to arrive. */
const minReportIntervalMs = 150;

/** Interval at which an unchanged report is published again; readers treat a report as outdated after 3 s. */
const repeatIntervalMs = 1000;

/** Time within which a watch whose answer was lost times out and is sent again. */
const watchCatchUpMs = 2500;

/** Share of the time until a job is due over which its work is spread; the rest is reserved for machines to arrive and for tasks that do not fit together. */
const usableTimeShare = 0.6;

type State = {readonly reporting: ReportingState} & AuthorityView & LedgerView & DirectoryView & EvacuationView & SupervisionView & ObservationView & QuotaView;

/**
Reports the demand and the capacity of the pools that this entry owns to the other entries.

@public
*/
export const reportingFilter: JobFilter<State> = {
	name: 'reporting',
	handlers: {
		'store-reached'({reporting}, _event, {now}) {
			reporting.watchesCurrentFrom = now + watchCatchUpMs;
			return [];
		},
		'pool-lost'({reporting}, {pool}) {
			reporting.reports.delete(pool);
			reporting.arrivals.delete(pool);
			return [];
		},
		tick: (state, _event, context) => [...state.ledger.pools.values()].flatMap(pool => publishReport(state, pool, context)),
	},
};

function publishReport(state: State, pool: Readonly<PoolLedger>, context: DecisionContext): JobOutput[] {
	const last = state.reporting.reports.get(pool.pool);
	if (last !== undefined && context.now < last.sentAt + minReportIntervalMs) {
		return [];
	}

	const report = createReport(state, pool, context.now);
	const text = JSON.stringify(report);
	if (text === last?.text && context.now < last.sentAt + repeatIntervalMs) {
		return [];
	}

	state.reporting.reports.set(pool.pool, {text, sentAt: context.now});
	return [emitEffect({kind: 'publish-report', token: pool.token, report: {...report, confirmedAt: context.now < state.reporting.watchesCurrentFrom ? 0 : getConfirmedWallTime(state, pool.pool)}})];
}

function createReport(state: State, pool: Readonly<PoolLedger>, now: number): Omit<PoolReport, 'confirmedAt'> {
	const waiting: Record<string, number> = {};
	const busy = new Set<string>();
	let backlog = noLoad;
	let used = noLoad;
	let hasWork = false;
	let needed = noLoad;
	let endpointMinimum = 0;
	const arrivals = getRecentArrivals(state.reporting, pool.pool, now);
	const loads = new Map([...pool.activeJobs].map(job => [job, measureLoad(job, busy)]));
	const limitDemand = createDemandLimiter(state, pool.pool, loads);
	for (const [job, load] of loads) {
		if (job.status === 'queued') {
			waiting[job.record.queue] = (waiting[job.record.queue] ?? 0) + 1;
		}

		const {backlogPart, neededPart} = limitDemand(job);
		used = addLoad(used, load.used);
		hasWork ||= load.hasWork;
		// No machines are requested for jobs that are too late to be of use; they run on the capacity that there is.
		const rank = rankByMeasuredDurations(state, job, now);
		const {objectiveStatus} = rank;
		const memoryMbPerMilli = computeMemoryPerMilli(job);
		const neededMillis = computeNeededMillis(rank) * neededPart;
		needed = addLoad(addLoad(needed, load.serving, neededPart), {cpuMillis: neededMillis, memoryMb: neededMillis * memoryMbPerMilli});
		endpointMinimum = Math.max(endpointMinimum, load.endpointMinimum);
		backlog = objectiveStatus === 'hopeless' ? backlog : addLoad(backlog, load.backlog, backlogPart);
		// The age counts from acceptance, as all jobs are new to this entry after a takeover.
		if (now < job.acceptedAt + arrivalWindowMs && !arrivals.has(job.record.id)) {
			arrivals.set(job.record.id, {
				work: rank.totalWork * neededPart, memoryMbPerMilli, at: job.acceptedAt, initialSlackMs: rank.initialSlackMs,
			});
		}
	}

	const usable = listUsableEndpoints(state, pool, now);
	const millisPerMb = computeMillisPerMb(state, usable);
	const computeMillis = ({cpuMillis, memoryMb}: Load) => Math.round(Math.max(cpuMillis, memoryMb * millisPerMb));
	const estimateArriving = (getFactor: (arrival: RecentArrival) => number) => estimateArrivingMillis([...arrivals.values()].map(arrival => ({work: arrival.work * getFactor(arrival), ageMs: now - arrival.at, initialSlackMs: arrival.initialSlackMs})));
	const usedMillis = computeMillis(used);
	return {
		pool: pool.pool,
		waiting,
		hasWork,
		backlogMillis: computeMillis(addLoad(used, backlog)) - usedMillis,
		usedMillis,
		neededMillis: computeMillis(needed),
		arrivingMillis: Math.round(Math.max(estimateArriving(() => 1), estimateArriving(({memoryMbPerMilli}) => memoryMbPerMilli * millisPerMb))),
		endpointMinimum,
		usableEndpoints: usable,
		idleEndpoints: usable.filter(id => !busy.has(id)),
		servingEndpoints: usable.filter(id => busy.has(id) && [...state.supervision.endpoints.get(id)?.runs.values() ?? []].every(run => run.isLongRunning)),
		releasableEndpoints: listReleasableEndpoints(state, usable),
		neededEndpoints: listNeededEndpoints(state, pool, now),
		durationModels: getDurationModels(state, pool),
	};
}

/** Returns what was measured of the queues whose jobs are active, so that a new owner ranks them as this one does. */
function getDurationModels({observation}: State, pool: Readonly<PoolLedger>): Record<string, DurationModel> {
	const models: Record<string, DurationModel> = {};
	for (const {record: {queue}} of pool.activeJobs) {
		const model = observation.durationModels.get(queue);
		if (model !== undefined && models[queue] === undefined) {
			models[queue] = roundModel(model);
		}
	}

	return models;
}

/** Rounds a model, as its last digits say nothing and take space in each report. */
function roundModel({count, ...moments}: DurationModel): DurationModel {
	const round = (value: number) => Math.round(value * 1000) / 1000;
	return {
		count,
		meanLogEstimate: round(moments.meanLogEstimate),
		meanLogDuration: round(moments.meanLogDuration),
		variance: round(moments.variance),
		covariance: round(moments.covariance),
	};
}

/** Thousandths of a core that the pool's endpoints have for each MB of memory. */
function computeMillisPerMb({directory}: State, usable: readonly string[]): number {
	let cpuMillis = 0;
	let memoryMb = 0;
	for (const id of usable) {
		const capacity = directory.endpoints.get(id)?.capacity;
		cpuMillis += capacity?.cpuMillis ?? 0;
		memoryMb += capacity?.memoryMb ?? 0;
	}

	return memoryMb === 0 ? 0 : cpuMillis / memoryMb;
}

/** Returns the arrivals of a pool that are recent enough to be measured. */
function getRecentArrivals({arrivals}: ReportingState, pool: string, now: number): Map<string, RecentArrival> {
	const recent = arrivals.get(pool) ?? new Map<string, RecentArrival>();
	arrivals.set(pool, recent);
	for (const [jobId, {at}] of recent) {
		if (now >= at + arrivalWindowMs) {
			recent.delete(jobId);
		}
	}

	return recent;
}

/** Lists ready endpoints that answer this entry and are not avoided. */
function listUsableEndpoints({directory, supervision, observation}: State, pool: Readonly<PoolLedger>, now: number): string[] {
	return [...directory.endpoints.values()]
		.filter(({id, pool: name, state}) => name === pool.pool && state === 'ready'
			&& supervision.endpoints.get(id)?.phase === 'answering' && now >= (observation.endpoints.get(id)?.avoidUntil ?? 0))
		.map(({id}) => id);
}

/** Lists endpoints whose tasks all end by themselves, the least used first, as they are expected to be idle first. */
function listReleasableEndpoints({supervision}: State, usable: readonly string[]): string[] {
	return usable
		.map(id => ({id, runs: [...supervision.endpoints.get(id)?.runs.values() ?? []]}))
		.filter(({runs}) => runs.every(run => !run.isLongRunning))
		.map(({id, runs}) => ({id, usedMillis: runs.reduce((sum, run) => sum + run.resources.cpuMillis, 0)}))
		.sort((left, right) => left.usedMillis - right.usedMillis)
		.map(({id}) => id);
}

/** Computes the capacity with which a job meets its objective if it has it from now on: its remaining work divided by the time until it is due, or by its critical path where that is longer. A job that is already late is due when its result stops being of use. */
function computeNeededMillis({objectiveStatus, dueInMs, slackMs, remainingCriticalPathMs, remainingWork}: RankedJob): number {
	if (objectiveStatus === 'serving' || objectiveStatus === 'hopeless') {
		return 0;
	}

	const leftMs = objectiveStatus === 'late' ? slackMs + remainingCriticalPathMs : dueInMs;
	return remainingWork / Math.max(1, remainingCriticalPathMs, leftMs * usableTimeShare);
}
