import {
	appendItems, emitEffect, passEvent, restartEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {type DirectoryView} from '../directory/index.js';
import {emitLog, type JobFilter, type JobOutput} from '../filter.js';
import {
	type JobEventOf, type StepSpec, type StoredJob,
} from '../model/index.js';
import {
	applyEnd, endCompleteJob, endJob, markUnsaved,
} from './apply-end.js';
import {
	createPoolLedger, findTask, isActive, type LedgerState, type PoolLedger,
} from './ledger-state.js';
import {
	createOccurrences, findReportedTask, markTakenOver, removeDoneOccurrences, restoreJob,
} from './restore-job.js';
import {createRoster} from './create-roster.js';
import {handleSaveResult, saveProgress} from './save-progress.js';
import {keepTask, releaseDoneTasks} from './task-table.js';

/** How long an ended job is kept: callers may query it for 120 s, plus 30 s for clock differences and late retries. */
const retentionMs = 150_000;
/** Interval between searches for ended jobs that can be deleted. */
const purgeIntervalMs = 5000;
/** Maximum number of jobs deleted in one transaction, which takes 32 entries: three records of each, and the condition on the claim. */
const purgeBatchSize = 10;
/** Maximum number of these transactions at a time; more jobs than a busy pool ends in the interval. */
const maxPurgeBatches = 16;
/** How many run numbers are skipped after an endpoint refused a run number as outdated. */
const outdatedRunSkip = 16;

type State = {readonly ledger: LedgerState} & DirectoryView;

/**
Tracks the jobs of the pools that this entry owns: which tasks are done, which may run next, and which changes are saved in the store.

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
				pool.earlyCancellations.add(jobId);
			}

			return pool === undefined || job === undefined || !isActive(job)
				? []
				: [...endJob(pool, job, 'cancelled', context), ...saveIfUrgent(pool, context), passEvent({kind: 'placement-due', pool: name})];
		},
		'occurrence-reported'({ledger}, {pool, taskId}, context) {
			findReportedTask(ledger.pools.get(pool), taskId, context);
			return [];
		},
		'task-placed': recordRun,
		'run-adopted': recordRun,
		'run-confirmed': recordBegin,
		'run-ended': recordEnd,
		'run-dropped'({ledger}, {
			pool: name, taskId, run, endpointId, checkpoint,
		}, context) {
			const pool = ledger.pools.get(name);
			const task = findTask(pool, taskId);
			if (task?.runs.get(run) === endpointId) {
				task.runs.delete(run);
				task.idleSince = context.now;
				task.checkpoint = checkpoint === '' ? task.checkpoint : checkpoint;
				pool?.releasableSteps.add(task.step);
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
					job.lastRun += outdatedRunSkip;
				}
			}

			return [];
		},
		'endpoint-forgotten'({ledger}, {pool, endpointId}) {
			ledger.pools.get(pool)?.forgottenEndpointIds.add(endpointId);
			ledger.pools.get(pool)?.silentRuns.delete(endpointId);
			ledger.pools.get(pool)?.endpointProcesses.delete(endpointId);
			return [];
		},
		'endpoint-process-accepted'({ledger}, {pool, endpointId, startedAt}) {
			ledger.pools.get(pool)?.endpointProcesses.set(endpointId, startedAt);
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
			ledger.pools.get(pool)?.evacuatedEndpointIds.add(endpointId);
			return [];
		},
		'evacuation-withdrawn'({ledger}, {pool, endpointId}) {
			ledger.pools.get(pool)?.evacuatedEndpointIds.delete(endpointId);
			return [];
		},
		'progress-saved'({ledger}, event, context) {
			const pool = ledger.pools.get(event.pool);
			return pool?.token === event.token ? [...handleSaveResult(pool, event, context), ...saveIfUrgent(pool, context)] : [];
		},
		tick: (state, _event, context) => [...state.ledger.pools.values()].flatMap(pool => [
			...createDueOccurrences(pool, context),
			...releaseTasks(pool),
			...saveProgress(pool, createRoster(state.directory, pool), context),
			...purgeEndedJobs(pool, context),
		]),
	},
};

function loadPool({ledger}: State, {
	pool: name, token, jobs, ended, roster, rosterRevision, evacuatedEndpointIds,
}: JobEventOf<'pool-loaded'>, context: DecisionContext): JobOutput[] {
	const pool: PoolLedger = {
		...createPoolLedger({pool: name, token, now: context.now}),
		endedJobs: new Map(ended),
		rosterRevision,
		// The machines of evacuated endpoints may be ordered away at any time.
		rosterEndpointIds: new Set(roster.endpointIds.filter(id => !evacuatedEndpointIds.includes(id))),
		evacuatedEndpointIds: new Set(evacuatedEndpointIds),
		savedRoster: roster,
		silentRuns: new Map(Object.entries(roster.silentRuns ?? {})),
		nextPurgeAt: context.now + purgeIntervalMs,
	};
	ledger.pools.set(name, pool);
	for (const stored of jobs) {
		addJob(pool, stored, context);
	}

	for (const job of pool.jobs.values()) {
		markTakenOver(job, token);
	}

	for (const {taskId} of Object.values(roster.silentRuns ?? {}).flat()) {
		findReportedTask(pool, taskId, context);
	}

	return [
		emitLog('info', 'records of pool loaded', {
			pool: name, token, jobs: pool.jobs.size, active: pool.activeJobs.size, roster: roster.endpointIds.length, silent: pool.silentRuns.size,
		}),
		// A previous owner does not end a job whose last occurrence was completed before it was due by its clock.
		...[...pool.activeJobs].flatMap(job => endCompleteJob(pool, job, context)),
	];
}

function addJob(pool: PoolLedger | undefined, stored: StoredJob, context: DecisionContext): JobOutput[] {
	const {id} = stored.job;
	if (pool === undefined || pool.jobs.has(id) || pool.endedJobs.has(id)) {
		return [];
	}

	const job = restoreJob({...stored, isCancelled: stored.isCancelled || pool.earlyCancellations.delete(id)}, context);
	pool.jobs.set(id, job);
	if (job.version > job.savedVersion) {
		// Cancelled before this entry knew the job.
		pool.unsavedJobs.add(job);
		pool.unsavedSince ??= context.now;
		pool.isSaveUrgent = true;
	}

	if (!isActive(job)) {
		return [];
	}

	pool.activeJobs.add(job);
	return [
		emitLog('info', 'job received by pool owner', {
			job: id, queue: job.record.queue, account: job.record.account, pool: pool.pool, token: pool.token, revision: stored.revision, ageMs: Math.round(context.now - job.acceptedAt), steps: stored.job.spec.steps.map(step => describeStep(step)),
		}),
		passEvent({kind: 'placement-due', pool: pool.pool}),
	];
}

/** Describes a step for the log: number of tasks, resources of each, estimated duration, traits and limits. */
function describeStep(step: StepSpec): string {
	const traits = Object.entries({
		long: step.isLongRunning, gang: step.isGang, fills: step.isFiller, saves: step.isCheckpointing, copies: step.mayDuplicate,
	}).filter(([, isSet]) => isSet).map(([name]) => name);
	const limits = Object.entries({
		apart: step.endpointLimit, miss: step.missLimit, tail: step.tailTargetMs,
	}).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}=${value}`);
	return [`${step.count}x${step.room.cpuMillis}m/${step.room.memoryMb}MB`, `${step.estimateMs}ms`, ...traits, ...limits].join(' ');
}

function recordRun({ledger}: State, {pool: name, taskId, run, endpointId}: {readonly pool: string; readonly taskId: string; readonly run: number; readonly endpointId: string}): JobOutput[] {
	const pool = ledger.pools.get(name);
	const task = findTask(pool, taskId);
	if (pool === undefined || task === undefined) {
		return [];
	}

	keepTask(task);
	task.runs.set(run, endpointId);
	task.step.job.lastRun = Math.max(task.step.job.lastRun, run);
	return [];
}

/** Records that a task of a job has begun. A start that is only sent may never arrive. */
function recordBegin({ledger}: {readonly ledger: LedgerState}, {pool: name, taskId}: {readonly pool: string; readonly taskId: string}, context: DecisionContext): JobOutput[] {
	const pool = ledger.pools.get(name);
	const job = findTask(pool, taskId)?.step.job;
	if (pool !== undefined && job?.status === 'queued') {
		job.status = 'running';
		markUnsaved(pool, job, context.now);
	}

	return [];
}

function recordEnd({ledger}: State, {
	pool: name, endpointId, endpointStartedAt, end,
}: JobEventOf<'run-ended'>, context: DecisionContext): JobOutput[] {
	const pool = ledger.pools.get(name);
	const task = findReportedTask(pool, end.taskId, context);
	if (pool === undefined || task === undefined) {
		// The job has ended or is unknown, so there is nothing to save.
		return [restartEvent({
			kind: 'end-saved', endpointId, endpointStartedAt, number: end.number,
		})];
	}

	const {job} = task.step;
	recordBegin({ledger}, {pool: name, taskId: end.taskId}, context);
	const outputs = applyEnd(pool, task, endpointId, end, context);
	const isSaved = job.version <= job.savedVersion;
	if (isSaved) {
		outputs.push(restartEvent({
			kind: 'end-saved', endpointId, endpointStartedAt, number: end.number,
		}));
	} else {
		job.unsavedEnds.push({
			endpointId, endpointStartedAt, number: end.number, version: job.version,
		});
	}

	return [...outputs, ...saveIfUrgent(pool, context), passEvent({kind: 'placement-due', pool: name})];
}

/** Saves at once if callers wait for a change; other changes are saved on the next tick. */
function saveIfUrgent(pool: PoolLedger, context: DecisionContext): JobOutput[] {
	return pool.isSaveUrgent ? saveProgress(pool, undefined, context) : [];
}

/** Releases the objects of tasks that are done. Filters that handle an end after this one still look its task up. */
function releaseTasks({releasableSteps}: PoolLedger): JobOutput[] {
	for (const step of releasableSteps) {
		releaseDoneTasks(step);
	}

	releasableSteps.clear();
	return [];
}

function createDueOccurrences(pool: PoolLedger, context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const job of pool.activeJobs) {
		removeDoneOccurrences(job);
		if (createOccurrences(job, context)) {
			// A previous owner whose clock was ahead may have completed the last one.
			appendItems(outputs, endCompleteJob(pool, job, context));
			outputs.push(passEvent({kind: 'placement-due', pool: pool.pool}));
		}
	}

	return outputs;
}

function purgeEndedJobs(pool: PoolLedger, context: DecisionContext): JobOutput[] {
	if (context.now < pool.nextPurgeAt) {
		return [];
	}

	pool.nextPurgeAt = context.now + purgeIntervalMs;
	const expiredIds = [...pool.endedJobs]
		.filter(([, {endedAt}]) => context.wallTime > endedAt + retentionMs)
		.map(([jobId]) => jobId)
		.slice(0, purgeBatchSize * maxPurgeBatches);
	const outputs: JobOutput[] = [];
	for (let start = 0; start < expiredIds.length; start += purgeBatchSize) {
		const jobIds = expiredIds.slice(start, start + purgeBatchSize);
		for (const jobId of jobIds) {
			pool.endedJobs.delete(jobId);
		}

		outputs.push(emitEffect({
			kind: 'delete-ended-jobs', pool: pool.pool, token: pool.token, jobIds,
		}));
	}

	return outputs;
}
