import {
	emitEffect, passEvent, restartEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {
	type JobEventOf, type Roster, type StepSpec, type StoredJob,
} from '../model/index.js';
import {applyEnd, endJob, markChanged} from './apply-end.js';
import {
	createPoolLedger, findTask, isActive, type LedgerState, type PoolLedger,
} from './ledger-state.js';
import {markUncertain, restoreJob, openOccurrences} from './open-job.js';
import {saveProgress, settleSave} from './write-progress.js';

/** How long an ended job is kept, in ms: callers may ask for 120 s, and half a minute more for clocks and late repeats. */
const retentionMs = 150_000;
/** Pause between looks for jobs that may be forgotten, in ms. */
const forgetPauseMs = 5000;
/** Jobs forgotten in one write, of two records each. */
const forgetBatch = 15;
/** Step of run numbers after an endpoint says that a number was used before. */
const outdatedRunStep = 16;

type State = {readonly ledger: LedgerState} & DirectoryView;

/**
Keeps the jobs of the pools that this entry owns: what has ended, what may run next, and what of it is on record.

@public
*/
export const ledgerFilter: JobFilter<State> = {
	name: 'ledger',
	handlers: {
		'pool-loaded': loadPool,
		'pool-lost'({ledger}, {pool}) {
			ledger.pools.delete(pool);
			return [];
		},
		'pool-surveyed'({ledger}, {pool: name}) {
			const pool = ledger.pools.get(name);
			for (const job of pool?.activeJobs ?? []) {
				job.isAwaitingSurvey = false;
			}

			return [passEvent({kind: 'placement-due', pool: name})];
		},
		'job-recorded': ({ledger}, {stored}, context) => addJob(ledger.pools.get(stored.job.pool), stored, context),
		'job-cancelled'({ledger}, {pool: name, jobId}, context) {
			const pool = ledger.pools.get(name);
			const job = pool?.jobs.get(jobId);
			if (pool !== undefined && job === undefined && !pool.endedJobs.has(jobId)) {
				pool.earlyCancels.add(jobId);
			}

			return pool === undefined || job === undefined || !isActive(job)
				? []
				: [...endJob(pool, job, 'cancelled', context), ...saveNow(pool, context), passEvent({kind: 'placement-due', pool: name})];
		},
		'task-placed': noteRun,
		'run-adopted': noteRun,
		'run-ended': noteEnd,
		'run-dropped'({ledger}, {
			pool: name, taskId, run, endpointId, checkpoint,
		}, context) {
			const task = findTask(ledger.pools.get(name), taskId);
			if (task?.runs.get(run) === endpointId) {
				task.runs.delete(run);
				task.idleSince = context.now;
				task.checkpoint = checkpoint === '' ? task.checkpoint : checkpoint;
			}

			return [passEvent({kind: 'placement-due', pool: name})];
		},
		'start-refused'({ledger}, {taskId, refusal}) {
			if (refusal !== 'outdated') {
				return [];
			}

			for (const pool of ledger.pools.values()) {
				const job = findTask(pool, taskId)?.step.job;
				if (job !== undefined) {
					job.lastRun += outdatedRunStep;
				}
			}

			return [];
		},
		'endpoint-forgotten'({ledger}, {pool, endpointId}) {
			ledger.pools.get(pool)?.forgottenIds.add(endpointId);
			ledger.pools.get(pool)?.silentRuns.delete(endpointId);
			return [];
		},
		'endpoint-silent'({ledger}, {pool, endpointId, runs}) {
			ledger.pools.get(pool)?.silentRuns.set(endpointId, runs);
			return [];
		},
		'endpoint-recovered'({ledger}, {pool, endpointId}) {
			ledger.pools.get(pool)?.silentRuns.delete(endpointId);
			return [];
		},
		'evacuation-completed'({ledger}, {pool, endpointId}) {
			ledger.pools.get(pool)?.evacuatedIds.add(endpointId);
			return [];
		},
		'evacuation-withdrawn'({ledger}, {pool, endpointId}) {
			ledger.pools.get(pool)?.evacuatedIds.delete(endpointId);
			return [];
		},
		'progress-saved'({ledger}, event, context) {
			const pool = ledger.pools.get(event.pool);
			return pool?.token === event.token ? [...settleSave(pool, event, context), ...saveNow(pool, context)] : [];
		},
		tick: (state, _event, context) => [...state.ledger.pools.values()].flatMap(pool => [
			...openDueJobs(pool, context),
			...saveProgress(pool, createRoster(state, pool), context),
			...forgetJobs(pool, context),
		]),
	},
};

function loadPool({ledger}: State, {
	pool: name, token, jobs, ended, roster, rosterRevision,
}: JobEventOf<'pool-loaded'>, context: DecisionContext): JobOutput[] {
	const pool: PoolLedger = {
		...createPoolLedger({pool: name, token, now: context.now}), endedJobs: new Map(ended), rosterRevision, rosterEndpointIds: new Set(roster.endpointIds), rosterOnRecord: roster, silentRuns: new Map(Object.entries(roster.silentRuns ?? {})), forgetAt: context.now + forgetPauseMs,
	};
	ledger.pools.set(name, pool);
	for (const stored of jobs) {
		addJob(pool, stored, context);
	}

	for (const job of pool.jobs.values()) {
		markUncertain(job, token);
	}

	return [emitLog('info', 'pool loaded', {
		pool: name, token, jobs: pool.jobs.size, active: pool.activeJobs.size, roster: roster.endpointIds.length, silent: pool.silentRuns.size,
	})];
}

function addJob(pool: PoolLedger | undefined, stored: StoredJob, context: DecisionContext): JobOutput[] {
	const {id} = stored.job;
	if (pool === undefined || pool.jobs.has(id) || pool.endedJobs.has(id)) {
		return [];
	}

	const job = restoreJob({...stored, isCancelled: stored.isCancelled || pool.earlyCancels.delete(id)}, context);
	pool.jobs.set(id, job);
	if (job.version > job.savedVersion) {
		// Cancelled before this entry knew it.
		pool.unsavedJobs.add(job);
		pool.unsavedSince ??= context.now;
		pool.isUrgent = true;
	}

	if (!isActive(job)) {
		return [];
	}

	pool.activeJobs.add(job);
	return [
		emitLog('info', 'job known', {
			job: id, queue: job.record.queue, pool: pool.pool, token: pool.token, revision: stored.revision, ageMs: Math.round(context.now - job.acceptedAt), steps: stored.job.spec.steps.map(step => describeStep(step)),
		}),
		passEvent({kind: 'placement-due', pool: pool.pool}),
	];
}

/** A step in a few words, for the log: number of tasks, room of each, and what is special about it. */
function describeStep(step: StepSpec): string {
	const traits = Object.entries({
		long: step.isLongRunning, gang: step.isGang, fills: step.isFiller, saves: step.isCheckpointing, copies: step.mayDuplicate,
	}).filter(([, isSet]) => isSet).map(([name]) => name);
	const limits = Object.entries({
		apart: step.endpointLimit, miss: step.missLimit, tail: step.tailTargetMs,
	}).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}=${value}`);
	return [`${step.count}x${step.room.cpuMillis}m/${step.room.memoryMb}MB`, `${step.estimateMs}ms`, ...traits, ...limits].join(' ');
}

function noteRun({ledger}: State, {pool: name, taskId, run, endpointId}: {readonly pool: string; readonly taskId: string; readonly run: number; readonly endpointId: string}, context: DecisionContext): JobOutput[] {
	const pool = ledger.pools.get(name);
	const task = findTask(pool, taskId);
	if (pool === undefined || task === undefined) {
		return [];
	}

	const {job} = task.step;
	task.runs.set(run, endpointId);
	job.lastRun = Math.max(job.lastRun, run);
	if (job.status === 'queued') {
		job.status = 'running';
		markChanged(pool, job, context.now);
	}

	return [];
}

function noteEnd({ledger}: State, {pool: name, endpointId, end}: JobEventOf<'run-ended'>, context: DecisionContext): JobOutput[] {
	const pool = ledger.pools.get(name);
	const task = findTask(pool, end.taskId);
	if (pool === undefined || task === undefined) {
		// Of a job that ended or that nobody knows: there is nothing to record.
		return [restartEvent({kind: 'end-saved', endpointId, number: end.number})];
	}

	const {job} = task.step;
	const outputs = applyEnd(pool, task, endpointId, end, context);
	const isOnRecord = job.version <= job.savedVersion;
	if (isOnRecord) {
		outputs.push(restartEvent({kind: 'end-saved', endpointId, number: end.number}));
	} else {
		job.unrecordedEnds.push({endpointId, number: end.number, version: job.version});
	}

	return [...outputs, ...saveNow(pool, context), passEvent({kind: 'placement-due', pool: name})];
}

/** Writes at once what callers wait for; the rest goes with the next tick. */
function saveNow(pool: PoolLedger, context: DecisionContext): JobOutput[] {
	return pool.isUrgent ? saveProgress(pool, undefined, context) : [];
}

function openDueJobs(pool: PoolLedger, context: DecisionContext): JobOutput[] {
	let isDue = false;
	for (const job of pool.activeJobs) {
		isDue = openOccurrences(job, context) || isDue;
	}

	return isDue ? [passEvent({kind: 'placement-due', pool: pool.pool})] : [];
}

/** Endpoints that may run tasks: those listed for the pool, and those on record of which it is not certain that they run nothing. */
function createRoster(state: State, pool: PoolLedger): Roster {
	const ids = new Set<string>();
	for (const endpoint of state.directory.endpoints.values()) {
		if (endpoint.pool === pool.pool) {
			ids.add(endpoint.id);
			pool.forgottenIds.delete(endpoint.id);
		}
	}

	for (const id of pool.rosterEndpointIds) {
		if (!pool.forgottenIds.has(id)) {
			ids.add(id);
		}
	}

	const silent = [...pool.silentRuns].filter(([, runs]) => runs.length > 0).sort(([left], [right]) => left < right ? -1 : 1);
	return {
		endpointIds: [...ids].filter(id => !pool.evacuatedIds.has(id) && !pool.silentRuns.has(id)).sort(),
		...(silent.length > 0 && {silentRuns: Object.fromEntries(silent)}),
	};
}

function forgetJobs(pool: PoolLedger, context: DecisionContext): JobOutput[] {
	if (context.now < pool.forgetAt) {
		return [];
	}

	pool.forgetAt = context.now + forgetPauseMs;
	const old = [...pool.endedJobs]
		.filter(([, {endedAt}]) => context.wallTime > endedAt + retentionMs)
		.map(([jobId]) => jobId)
		.slice(0, forgetBatch);
	for (const jobId of old) {
		pool.endedJobs.delete(jobId);
	}

	return old.length === 0
		? []
		: [emitEffect({
			kind: 'delete-ended-jobs', pool: pool.pool, token: pool.token, jobIds: old,
		})];
}
