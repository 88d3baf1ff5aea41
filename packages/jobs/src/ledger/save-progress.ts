import {
	emitEffect, passEvent, restartEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {
	poolClaimPrefix, type JobEventOf, type ProgressRecord, type Roster,
} from '../model/index.js';
import {isActive, type Job, type PoolLedger} from './ledger-state.js';

/**
Maximum number of records in one save. A transaction takes 32 entries: the condition on the claim, two for the roster, and for each record a condition, a put and the removal of the job's record once it has ended.
*/
const maxRecordsPerSave = 9;
/** How long changes that nobody waits for are batched. Short compared with a task's duration, as endpoints list ends again until they are saved. */
const batchDelayMs = 25;
/** Delay before a failed save is retried. */
const retryDelayMs = 150;

/** Saves unsaved changes, with one save in progress at a time. @internal */
export function saveProgress(pool: PoolLedger, roster: Roster | undefined, context: DecisionContext): JobOutput[] {
	const isRosterOutdated = roster !== undefined && JSON.stringify(roster) !== JSON.stringify(pool.savedRoster);
	if (pool.pendingSave !== undefined || context.now < pool.saveRetryAt || (pool.unsavedJobs.size === 0 && !isRosterOutdated)) {
		return [];
	}

	const isDue = pool.isSaveUrgent || isRosterOutdated || (pool.unsavedSince !== undefined && context.now >= pool.unsavedSince + batchDelayMs);
	if (!isDue) {
		return [];
	}

	// Ended jobs go first, as callers wait for them.
	const jobs = [...pool.unsavedJobs].sort((left, right) => Number(isActive(left)) - Number(isActive(right))).slice(0, maxRecordsPerSave);
	const saveId = pool.nextSaveId;
	pool.nextSaveId += 1;
	pool.pendingSave = {
		saveId,
		versions: new Map(jobs.map(job => [job.record.id, job.version])),
		roster: isRosterOutdated ? roster : undefined,
	};
	if (isRosterOutdated) {
		// From now on the roster in the store may no longer include the removed endpoints, so no task is started on them.
		pool.rosterEndpointIds = new Set(roster.endpointIds.filter(id => pool.rosterEndpointIds.has(id)));
	}

	return [emitEffect({
		kind: 'save-progress',
		pool: pool.pool,
		token: pool.token,
		saveId,
		records: jobs.map(job => ({jobId: job.record.id, revision: job.revision, progress: formatProgress(job)})),
		roster: isRosterOutdated ? {roster, revision: pool.rosterRevision} : undefined,
	})];
}

type SaveHandler = (pool: PoolLedger, event: JobEventOf<'progress-saved'>, context: DecisionContext) => JobOutput[];

const scheduleRetry: SaveHandler = (pool, event, context) => {
	pool.saveRetryAt = context.now + retryDelayMs;
	return [emitCount(`progress_saves_failed_total{result="${event.result}"}`)];
};

const saveHandlers: Readonly<Record<JobEventOf<'progress-saved'>['result'], SaveHandler>> = {
	applied: markSaved,
	conflict: handleConflict,
	refused(pool, event, context) {
		if (!pool.isRosterSaveUnknown) {
			pool.rosterEndpointIds = new Set(pool.savedRoster.endpointIds);
		}

		return scheduleRetry(pool, event, context);
	},
	// The save may have been carried out. If so, the next one conflicts with the new revisions and adopts them.
	unknown(pool, event, context) {
		pool.isRosterSaveUnknown ||= pool.pendingSave?.roster !== undefined;
		return scheduleRetry(pool, event, context);
	},
};

/** Handles the store's answer to a save. @internal */
export function handleSaveResult(pool: PoolLedger, event: JobEventOf<'progress-saved'>, context: DecisionContext): JobOutput[] {
	const {pendingSave} = pool;
	if (pendingSave?.saveId !== event.saveId) {
		return [];
	}

	const outputs = saveHandlers[event.result](pool, event, context);
	pool.pendingSave = undefined;
	return outputs;
}

function markSaved(pool: PoolLedger, {revision}: JobEventOf<'progress-saved'>, context: DecisionContext): JobOutput[] {
	const {versions, roster} = pool.pendingSave!;
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
				pool.endedJobs.set(jobId, {queue: job.record.queue, status: job.status, endedAt: job.endedAt ?? context.wallTime});
			}
		}

		const savedEnds = job.unsavedEnds.filter(end => end.version <= version);
		job.unsavedEnds = job.unsavedEnds.filter(end => end.version > version);
		outputs.push(...savedEnds.map(({endpointId, number}) => restartEvent({kind: 'end-saved', endpointId, number} as const)));
	}

	if (roster !== undefined) {
		pool.rosterEndpointIds = new Set(roster.endpointIds);
		pool.savedRoster = roster;
		pool.isRosterSaveUnknown = false;
		pool.rosterRevision = revision;
		outputs.push(passEvent({kind: 'placement-due', pool: pool.pool}));
	}

	pool.unsavedSince = pool.unsavedJobs.size > 0 ? context.now : undefined;
	pool.isSaveUrgent = [...pool.unsavedJobs].some(job => !isActive(job));
	return outputs;
}

/** Handles a record whose revision was not as expected: an earlier save of this entry was carried out after all, or another entry holds the claim. */
function handleConflict(pool: PoolLedger, {isClaimLost, presentRevisions}: JobEventOf<'progress-saved'>): JobOutput[] {
	if (isClaimLost) {
		return [restartEvent({kind: 'claim-superseded', name: `${poolClaimPrefix}${pool.pool}`, token: pool.token})];
	}

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
			steps[step.key] = step.tasks.map(task => task.isDone ? 'd' : '.').join('');
		}

		for (const [index, task] of step.tasks.entries()) {
			if (task.failedRuns.size > 0) {
				failedRuns[`${step.key}.${index}`] = [...task.failedRuns];
			}
		}
	}

	return {
		queue: job.record.queue,
		status: job.status,
		steps,
		...(Object.keys(failedRuns).length > 0 && {failedRuns}),
		lastRun: job.lastRun,
		...(job.endedAt !== undefined && {endedAt: job.endedAt}),
	};
}
