import {
	appendItems, emitEffect, passEvent, restartEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {
	poolClaimPrefix, type JobEventOf, type ProgressRecord, type Roster,
} from '../model/index.js';
import {
	isActive, type Job, type PendingSave, type PoolLedger,
} from './ledger-state.js';
import {formatMarks} from './task-table.js';

/**
Maximum number of records in one save. A transaction takes 32 entries: the condition on the claim, two for the roster, and for each record a condition, a put and the removal of the job's record once it has ended.
*/
const maxRecordsPerSave = 9;
/** How long changes that nobody waits for are batched. Short compared with a task's duration, as endpoints list ends again until they are saved. */
const batchDelayMs = 25;
/** Delay before a failed save is retried. */
const retryDelayMs = 150;

/** Maximum number of saves in progress. A save takes two turns of a busy loop, in which an owner of hundreds of endpoints has more changes than one save can hold. */
const maxPendingSaves = 4;

/** Saves unsaved changes. A job is in one save at a time, as the next one needs the revision of its record. @internal */
export function saveProgress(pool: PoolLedger, roster: Roster | undefined, context: DecisionContext): JobOutput[] {
	const isRosterPending = [...pool.pendingSaves.values()].some(save => save.roster !== undefined);
	const isRosterOutdated = roster !== undefined && !isRosterPending && isSaveNeeded(pool, roster);
	if (pool.pendingSaves.size >= maxPendingSaves || context.now < pool.saveRetryAt || (pool.unsavedJobs.size === 0 && !isRosterOutdated)) {
		return [];
	}

	const pendingJobIds = new Set([...pool.pendingSaves.values()].flatMap(({versions}) => [...versions.keys()]));
	// Ended jobs go first, as callers wait for them.
	const jobs = [...pool.unsavedJobs].filter(job => !pendingJobIds.has(job.record.id)).sort((left, right) => Number(isActive(left)) - Number(isActive(right)));
	const isDue = pool.isSaveUrgent || isRosterOutdated || (pool.unsavedSince !== undefined && context.now >= pool.unsavedSince + batchDelayMs);
	const outputs: JobOutput[] = [];
	if (isRosterOutdated || (isDue && jobs.length > 0)) {
		outputs.push(startSave(pool, jobs.splice(0, maxRecordsPerSave), isRosterOutdated ? roster : undefined));
	}

	while (pool.pendingSaves.size < maxPendingSaves && jobs.length >= maxRecordsPerSave) {
		outputs.push(startSave(pool, jobs.splice(0, maxRecordsPerSave), undefined));
	}

	if (outputs.length > 0) {
		pool.unsavedSince = jobs.length > 0 ? context.now : undefined;
		pool.isSaveUrgent = jobs.some(job => !isActive(job));
	}

	return outputs;
}

/** Whether a roster is to be saved: it differs from the one in the store, that one is not known after an unanswered save, or endpoints were left out while a save without them was under way. */
function isSaveNeeded(pool: PoolLedger, roster: Roster): boolean {
	return pool.isRosterSaveUnknown
		|| JSON.stringify(roster) !== JSON.stringify(pool.savedRoster)
		|| roster.endpointIds.some(id => !pool.rosterEndpointIds.has(id));
}

function startSave(pool: PoolLedger, jobs: readonly Job[], roster: Roster | undefined): JobOutput {
	const saveId = pool.nextSaveId;
	pool.nextSaveId += 1;
	pool.pendingSaves.set(saveId, {saveId, versions: new Map(jobs.map(job => [job.record.id, job.version])), roster});
	if (roster !== undefined) {
		// From now on the roster in the store may no longer include the removed endpoints, so no task is started on them.
		pool.rosterEndpointIds = new Set(roster.endpointIds.filter(id => pool.rosterEndpointIds.has(id)));
	}

	return emitEffect({
		kind: 'save-progress',
		pool: pool.pool,
		token: pool.token,
		saveId,
		records: jobs.map(job => ({jobId: job.record.id, revision: job.revision, progress: formatProgress(job)})),
		roster: roster === undefined ? undefined : {roster, revision: pool.rosterRevision},
	});
}

type SaveHandler = (pool: PoolLedger, save: PendingSave, event: JobEventOf<'progress-saved'>, context: DecisionContext) => JobOutput[];

const scheduleRetry: SaveHandler = (pool, _save, event, context) => {
	pool.saveRetryAt = context.now + retryDelayMs;
	pool.unsavedSince ??= context.now;
	pool.isSaveUrgent = [...pool.unsavedJobs].some(job => !isActive(job));
	return [emitCount(`progress_saves_failed_total{result="${event.result}"}`)];
};

const saveHandlers: Readonly<Record<JobEventOf<'progress-saved'>['result'], SaveHandler>> = {
	applied: markSaved,
	conflict: handleConflict,
	refused(pool, save, event, context) {
		if (save.roster !== undefined && !pool.isRosterSaveUnknown) {
			pool.rosterEndpointIds = listUsableEndpoints(pool, pool.savedRoster);
		}

		return scheduleRetry(pool, save, event, context);
	},
	// The save may have been carried out. If so, the next one conflicts with the new revisions and adopts them.
	unknown(pool, save, event, context) {
		pool.isRosterSaveUnknown ||= save.roster !== undefined;
		return scheduleRetry(pool, save, event, context);
	},
};

/** Handles the store's answer to a save. @internal */
export function handleSaveResult(pool: PoolLedger, event: JobEventOf<'progress-saved'>, context: DecisionContext): JobOutput[] {
	const save = pool.pendingSaves.get(event.saveId);
	if (save === undefined) {
		return [];
	}

	pool.pendingSaves.delete(event.saveId);
	return saveHandlers[event.result](pool, save, event, context);
}

function markSaved(pool: PoolLedger, {versions, roster}: PendingSave, {revision}: JobEventOf<'progress-saved'>, context: DecisionContext): JobOutput[] {
	const outputs: JobOutput[] = [];
	for (const [jobId, version] of versions) {
		const job = pool.jobs.get(jobId);
		if (job === undefined) {
			continue;
		}

		job.revision = revision;
		job.savedVersion = version;
		if (job.version === version) {
			pool.unsavedJobs.delete(job);
			if (!isActive(job)) {
				pool.jobs.delete(jobId);
				pool.endedJobs.set(jobId, {
					queue: job.record.queue, account: job.record.account, status: job.status, endedAt: job.endedAt ?? context.wallTime, rooms: job.record.account === undefined ? undefined : job.record.spec.steps.map(({room}) => room),
				});
			}
		}

		const savedEnds = job.unsavedEnds.filter(end => end.version <= version);
		job.unsavedEnds = job.unsavedEnds.filter(end => end.version > version);
		appendItems(outputs, savedEnds.map(({endpointId, endpointStartedAt, number}) => restartEvent({
			kind: 'end-saved', endpointId, endpointStartedAt, number,
		} as const)));
	}

	if (roster !== undefined) {
		pool.rosterEndpointIds = listUsableEndpoints(pool, roster);
		pool.savedRoster = roster;
		pool.isRosterSaveUnknown = false;
		pool.rosterRevision = revision;
		outputs.push(passEvent({kind: 'placement-due', pool: pool.pool}));
	}

	if (pool.unsavedJobs.size > 0) {
		pool.unsavedSince ??= context.now;
		pool.isSaveUrgent ||= [...versions.keys()].some(jobId => hasUnsavedEnd(pool, jobId));
	}

	return outputs;
}

/** Lists the endpoints of a roster on which tasks may be started. The next owner does not wait for those that have been evacuated. */
function listUsableEndpoints(pool: PoolLedger, roster: Roster): Set<string> {
	return new Set(roster.endpointIds.filter(id => !pool.evacuatedEndpointIds.has(id)));
}

/** Whether a job has ended since it was last saved. */
function hasUnsavedEnd(pool: PoolLedger, jobId: string): boolean {
	const job = pool.jobs.get(jobId);
	return job !== undefined && !isActive(job);
}

/** Handles a record whose revision was not as expected: an earlier save of this entry was carried out after all, or another entry holds the claim. */
function handleConflict(pool: PoolLedger, _save: PendingSave, {isClaimLost, presentRevisions}: JobEventOf<'progress-saved'>, context: DecisionContext): JobOutput[] {
	if (isClaimLost) {
		return [restartEvent({kind: 'claim-superseded', name: `${poolClaimPrefix}${pool.pool}`, token: pool.token})];
	}

	pool.unsavedSince ??= context.now;
	pool.isSaveUrgent = [...pool.unsavedJobs].some(job => !isActive(job));
	const outputs: JobOutput[] = [];
	for (const [jobId, revision] of presentRevisions ?? []) {
		const job = pool.jobs.get(jobId);
		if (job !== undefined && job.revision !== revision) {
			job.revision = revision;
			outputs.push(emitLog('info', 'revision of progress record updated from store', {job: jobId, revision}));
		}
	}

	const rosterRevision = presentRevisions?.get(rosterRecordKey);
	if (rosterRevision !== undefined) {
		pool.rosterRevision = rosterRevision;
	}

	return outputs;
}

/** Key of the roster in `presentRevisions` of a `progress-saved` event; the other keys there are job ids. @public */
export const rosterRecordKey = '(roster)';

/** Formats the current progress record of a job. @internal */
export function formatProgress(job: Job): ProgressRecord {
	const steps: Record<string, string> = {};
	const failedRuns: Record<string, readonly number[]> = {};
	for (const step of isActive(job) ? job.steps.values() : []) {
		if (step.doneCount > 0) {
			steps[step.key] = formatMarks(step.tasks);
		}

		for (const [index, task] of step.tasks.started) {
			if (task.failedRuns.size > 0) {
				failedRuns[`${step.key}.${index}`] = [...task.failedRuns];
			}
		}
	}

	return {
		queue: job.record.queue,
		account: job.record.account,
		status: job.status,
		steps,
		...(job.doneOccurrences > 0 && {doneOccurrences: job.doneOccurrences}),
		...(Object.keys(failedRuns).length > 0 && {failedRuns}),
		lastRun: job.lastRun,
		...(job.endedAt !== undefined && {endedAt: job.endedAt}),
	};
}
