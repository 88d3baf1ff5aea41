import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {type JobFilter, type JobOutput} from '../filter.js';
import {
	isStepReady, type Job, type LedgerView, type PoolLedger,
} from '../ledger/index.js';
import {type PoolReport} from '../model/index.js';
import {type ObservationView} from '../observation/index.js';
import {rankByMeasuredDurations, type RankedJob} from '../placement/index.js';
import {type SupervisionView} from '../supervision/index.js';
import {estimateArrivals, type Arrival} from './estimate-arrivals.js';

/** The last report of each pool that this entry owns. @public */
export type ReportingState = {readonly reports: Map<string, {readonly text: string; readonly sentAt: number}>};

/** @public */
export function createReportingState(): ReportingState {
	return {reports: new Map()};
}

/** Least time in ms between two reports of a pool; demand in a pool rises within a second, and machines take longer to come. */
const reportPauseMs = 150;

/** Time in ms after which a report is sent again though nothing in it has changed; readers take one of 3 s as outdated. */
const repeatMs = 1000;

/** Share of the time until a job is due that its work is spread over; the rest is for machines to come and for tasks that do not fit together. */
const usableShare = 0.6;

type State = {readonly reporting: ReportingState} & LedgerView & DirectoryView & SupervisionView & ObservationView;

/**
Tells the others what waits in the pools that this entry owns, and how much room they have.

@public
*/
export const reportingFilter: JobFilter<State> = {
	name: 'reporting',
	handlers: {
		'pool-lost'({reporting}, {pool}) {
			reporting.reports.delete(pool);
			return [];
		},
		tick: (state, _event, context) => [...state.ledger.pools.values()].flatMap(pool => publishReport(state, pool, context)),
	},
};

function publishReport(state: State, pool: Readonly<PoolLedger>, context: DecisionContext): JobOutput[] {
	const last = state.reporting.reports.get(pool.pool);
	if (last !== undefined && context.now < last.sentAt + reportPauseMs) {
		return [];
	}

	const report = createReport(state, pool, context.now);
	const text = JSON.stringify(report);
	if (text === last?.text && context.now < last.sentAt + repeatMs) {
		return [];
	}

	state.reporting.reports.set(pool.pool, {text, sentAt: context.now});
	return [emitEffect({kind: 'publish-report', token: pool.token, report})];
}

/** What one job adds to a report. */
type JobLoad = {
	readonly usedMillis: number;
	readonly backlogMillis: number;
	readonly servingMillis: number;
	readonly endpointMinimum: number;
	readonly hasWork: boolean;
};

function createReport(state: State, pool: Readonly<PoolLedger>, now: number): PoolReport {
	const waiting: Record<string, number> = {};
	const busy = new Set<string>();
	let backlogMillis = 0;
	let usedMillis = 0;
	let hasWork = false;
	let neededMillis = 0;
	let endpointMinimum = 0;
	const arrivals: Arrival[] = [];
	for (const job of pool.activeJobs) {
		if (job.status === 'queued') {
			waiting[job.record.queue] = (waiting[job.record.queue] ?? 0) + 1;
		}

		const load = measureLoad(job, busy);
		usedMillis += load.usedMillis;
		hasWork ||= load.hasWork;
		// Machines are not brought in for what is too late to be of use; it runs in the room that there is.
		const rank = rankByMeasuredDurations(state, job, now);
		const {objectiveStatus: standing, remainingWork: restWork} = rank;
		neededMillis += load.servingMillis + getNeededMillis(rank);
		endpointMinimum = Math.max(endpointMinimum, load.endpointMinimum);
		backlogMillis += standing === 'hopeless' ? 0 : load.backlogMillis;
		// By the time of acceptance: after a takeover all jobs are new to this entry.
		arrivals.push({work: restWork, ageMs: now - job.acceptedAt, patienceMs: rank.initialSlackMs});
	}

	const usable = listUsable(state, pool, now);
	return {
		pool: pool.pool,
		waiting,
		hasWork,
		backlogMillis,
		usedMillis,
		neededMillis: Math.round(neededMillis),
		arrivingMillis: Math.round(estimateArrivals(arrivals)),
		endpointMinimum,
		usableEndpoints: usable,
		idleEndpoints: usable.filter(id => !busy.has(id)),
		servingEndpoints: usable.filter(id => busy.has(id) && [...state.supervision.endpoints.get(id)?.runs.values() ?? []].every(run => run.isLongRunning)),
		releasableEndpoints: listReleasable(state, usable),
	};
}

/** Endpoints that answer this entry and are not avoided. */
function listUsable({directory, supervision, observation}: State, pool: Readonly<PoolLedger>, now: number): string[] {
	return [...directory.endpoints.values()]
		.filter(({id, pool: name, state}) => name === pool.pool && state === 'ready'
			&& supervision.endpoints.get(id)?.phase === 'answering' && now >= (observation.endpoints.get(id)?.avoidUntil ?? 0))
		.map(({id}) => id);
}

/** Endpoints whose tasks all end by themselves, those that are the first to be empty first. */
function listReleasable({supervision}: State, usable: readonly string[]): string[] {
	return usable
		.map(id => ({id, runs: [...supervision.endpoints.get(id)?.runs.values() ?? []]}))
		.filter(({runs}) => runs.every(run => !run.isLongRunning))
		.map(({id, runs}) => ({id, usedMillis: runs.reduce((sum, run) => sum + run.resources.cpuMillis, 0)}))
		.sort((left, right) => left.usedMillis - right.usedMillis)
		.map(({id}) => id);
}

/** Room with which a job is done in time, if it has that room from now on: its work over the time until it is due, or over its longest chain where that is longer. A job that is late by now is due when it stops being of use. */
function getNeededMillis({objectiveStatus: standing, dueInMs, slackMs, remainingCriticalPathMs: restMs, remainingWork: restWork}: RankedJob): number {
	if (standing === 'serving' || standing === 'hopeless') {
		return 0;
	}

	const leftMs = standing === 'late' ? slackMs + restMs : dueInMs;
	return restWork / Math.max(1, restMs, leftMs * usableShare);
}

/** Adds the endpoints that a job's tasks are on to those that are busy. */
function measureLoad(job: Job, busy: Set<string>): JobLoad {
	let usedMillis = 0;
	let backlogMillis = 0;
	let servingMillis = 0;
	let endpointMinimum = 0;
	let hasWork = false;
	for (const step of job.steps.values()) {
		const isStepOpen = isStepReady(step);
		const cpuMillis = step.spec.isFiller ? 0 : step.spec.room.cpuMillis;
		hasWork ||= !step.spec.isLongRunning;
		if (step.spec.isLongRunning) {
			servingMillis += cpuMillis * step.tasks.length;
			endpointMinimum = Math.max(endpointMinimum, Math.ceil(step.tasks.length / (step.spec.endpointLimit ?? step.tasks.length)));
		}

		for (const task of step.tasks) {
			for (const endpointId of task.runs.values()) {
				busy.add(endpointId);
				usedMillis += cpuMillis;
			}

			if (isStepOpen && !task.isDone && task.runs.size === 0) {
				backlogMillis += cpuMillis;
			}
		}
	}

	return {
		usedMillis, backlogMillis, servingMillis, endpointMinimum, hasWork,
	};
}
