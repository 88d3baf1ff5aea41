import {emitEffect, type DecisionContext} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {type JobFilter, type JobOutput} from '../filter.js';
import {
	isOpen, type Job, type LedgerView, type PoolLedger,
} from '../ledger/index.js';
import {type Endpoint, type PoolReport} from '../model/index.js';
import {type ObservationView} from '../observation/index.js';
import {getRank, type RankedJob} from '../placement/index.js';

/** The last report of each pool that this entry owns. @public */
export type ReportingState = {readonly reports: Map<string, {readonly text: string; readonly sentAt: number}>};

/** @public */
export function createReportingState(): ReportingState {
	return {reports: new Map()};
}

/** Least time in ms between two reports of a pool; demand in a pool rises within a second, and machines take longer to come. */
const reportPauseMs = 150;

/** Time in ms over which arriving work is measured; a pool's turn begins within it. */
const arrivalWindowMs = 600;
/** Fewest jobs in that time that tell a rate; a few large ones tell none. */
const arrivalMinimum = 5;

/** Share of the time until a job is due that its work is spread over; the rest is for machines to come and for tasks that do not fit together. */
const usableShare = 0.6;

type State = {readonly reporting: ReportingState} & LedgerView & DirectoryView & ObservationView;

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
	if (text === last?.text) {
		return [];
	}

	state.reporting.reports.set(pool.pool, {text, sentAt: context.now});
	return [emitEffect({kind: 'publish-report', token: pool.token, report})];
}

/** What one job adds to a report. */
type JobLoad = {
	readonly usedMillis: number;
	readonly backlogMillis: number;
	readonly hasWork: boolean;
};

function createReport(state: State, pool: Readonly<PoolLedger>, now: number): PoolReport {
	const waiting: Record<string, number> = {};
	const busy = new Set<string>();
	let backlogMillis = 0;
	let usedMillis = 0;
	let hasWork = false;
	let neededMillis = 0;
	let arrivingWork = 0;
	let arrivalCount = 0;
	for (const job of pool.active) {
		if (job.status === 'queued') {
			waiting[job.record.queue] = (waiting[job.record.queue] ?? 0) + 1;
		}

		const load = measureLoad(job, busy);
		usedMillis += load.usedMillis;
		hasWork ||= load.hasWork;
		// Machines are not brought in for what is too late to be of use; it runs in the room that there is.
		const rank = getRank(state, job, now);
		const {standing, restWork} = rank;
		neededMillis += getNeededMillis(rank);
		backlogMillis += standing === 'hopeless' ? 0 : load.backlogMillis;
		if (job.knownAt > now - arrivalWindowMs) {
			arrivalCount += 1;
			arrivingWork += restWork;
		}
	}

	const endpoints = [...state.directory.endpoints.values()].filter(endpoint => endpoint.pool === pool.pool && endpoint.state === 'ready');
	return {
		pool: pool.pool,
		waiting,
		hasWork,
		backlogMillis,
		usedMillis,
		neededMillis: Math.round(neededMillis),
		arrivingMillis: arrivalCount < arrivalMinimum ? 0 : Math.round(arrivingWork / arrivalWindowMs),
		capacityMillis: endpoints.reduce((sum: number, endpoint: Endpoint) => sum + endpoint.room.cpuMillis, 0),
		idleEndpoints: endpoints.filter(endpoint => !busy.has(endpoint.id)).map(endpoint => endpoint.id),
	};
}

/** Room with which a job is done in time, if it has that room from now on: its work over the time until it is due, or over its longest chain where that is longer. */
function getNeededMillis({standing, dueInMs, restMs, restWork}: RankedJob): number {
	if (standing === 'serving' || standing === 'hopeless') {
		return 0;
	}

	return restWork / Math.max(1, restMs, dueInMs * usableShare);
}

/** Adds the endpoints that a job's tasks are on to those that are busy. */
function measureLoad(job: Job, busy: Set<string>): JobLoad {
	let usedMillis = 0;
	let backlogMillis = 0;
	let hasWork = false;
	for (const step of job.steps.values()) {
		const isStepOpen = isOpen(step);
		const cpuMillis = step.spec.isFiller ? 0 : step.spec.room.cpuMillis;
		hasWork ||= !step.spec.isLongRunning;
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

	return {usedMillis, backlogMillis, hasWork};
}
