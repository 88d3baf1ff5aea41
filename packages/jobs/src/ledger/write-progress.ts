import {
	emitEffect, passEvent, restartEvent, type DecisionContext,
} from '@pistachiogauge/chain';
import {emitCount, emitLog, type JobOutput} from '../filter.js';
import {
	poolClaimPrefix, type JobEventOf, type ProgressRecord, type Roster,
} from '../model/index.js';
import {isActive, type Job, type PoolLedger} from './ledger-state.js';

/**
Most records in one write. A transaction takes 32 entries: the claim's condition, the roster's two, and for each record a condition, a value and the removal of what the job asked for.
*/
const recordsPerSave = 9;
/** How long a change that nobody waits for may be collected with others, in ms; short against a task's duration, as ends are listed again until they are on record. */
const collectMs = 25;
/** Pause before a failed write is tried again, in ms. */
const retryPauseMs = 150;

/** Writes what has changed, one write at a time. @internal */
export function saveProgress(pool: PoolLedger, roster: Roster | undefined, context: DecisionContext): JobOutput[] {
	const isRosterBehind = roster !== undefined && JSON.stringify(roster) !== JSON.stringify(pool.rosterOnRecord);
	if (pool.pendingSave !== undefined || context.now < pool.saveRetryAt || (pool.unsavedJobs.size === 0 && !isRosterBehind)) {
		return [];
	}

	const isDue = pool.isUrgent || isRosterBehind || (pool.unsavedSince !== undefined && context.now >= pool.unsavedSince + collectMs);
	if (!isDue) {
		return [];
	}

	// What callers wait for goes first.
	const jobs = [...pool.unsavedJobs].sort((left, right) => Number(isActive(left)) - Number(isActive(right))).slice(0, recordsPerSave);
	const saveId = pool.nextSaveId;
	pool.nextSaveId += 1;
	pool.pendingSave = {
		saveId,
		versions: new Map(jobs.map(job => [job.record.id, job.version])),
		roster: isRosterBehind ? roster : undefined,
	};
	if (isRosterBehind) {
		// No task is started on an endpoint from the moment on that a record without it may be there.
		pool.rosterEndpointIds = new Set(roster.endpointIds.filter(id => pool.rosterEndpointIds.has(id)));
	}

	return [emitEffect({
		kind: 'save-progress',
		pool: pool.pool,
		token: pool.token,
		saveId,
		records: jobs.map(job => ({jobId: job.record.id, revision: job.revision, progress: formatProgress(job)})),
		roster: isRosterBehind ? {roster, revision: pool.rosterRevision} : undefined,
	})];
}

type SaveHandler = (pool: PoolLedger, event: JobEventOf<'progress-saved'>, context: DecisionContext) => JobOutput[];

const retryLater: SaveHandler = (pool, event, context) => {
	pool.saveRetryAt = context.now + retryPauseMs;
	return [emitCount(`progress_saves_failed_total{result="${event.result}"}`)];
};

const saveHandlers: Readonly<Record<JobEventOf<'progress-saved'>['result'], SaveHandler>> = {
	applied: recordSave,
	conflict: settleConflict,
	refused(pool, event, context) {
		if (!pool.isRosterUnsure) {
			pool.rosterEndpointIds = new Set(pool.rosterOnRecord.endpointIds);
		}

		return retryLater(pool, event, context);
	},
	// It may have been carried out: the next write then meets the new revisions and adopts them.
	unknown(pool, event, context) {
		pool.isRosterUnsure ||= pool.pendingSave?.roster !== undefined;
		return retryLater(pool, event, context);
	},
};

/** Takes the store's answer to a write of progress. @internal */
export function settleSave(pool: PoolLedger, event: JobEventOf<'progress-saved'>, context: DecisionContext): JobOutput[] {
	const {pendingSave} = pool;
	if (pendingSave?.saveId !== event.saveId) {
		return [];
	}

	const outputs = saveHandlers[event.result](pool, event, context);
	pool.pendingSave = undefined;
	return outputs;
}

function recordSave(pool: PoolLedger, {revision}: JobEventOf<'progress-saved'>, context: DecisionContext): JobOutput[] {
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

		const recorded = job.unrecordedEnds.filter(end => end.version <= version);
		job.unrecordedEnds = job.unrecordedEnds.filter(end => end.version > version);
		outputs.push(...recorded.map(({endpointId, number}) => restartEvent({kind: 'end-saved', endpointId, number} as const)));
	}

	if (roster !== undefined) {
		pool.rosterEndpointIds = new Set(roster.endpointIds);
		pool.rosterOnRecord = roster;
		pool.isRosterUnsure = false;
		pool.rosterRevision = revision;
		outputs.push(passEvent({kind: 'placement-due', pool: pool.pool}));
	}

	pool.unsavedSince = pool.unsavedJobs.size > 0 ? context.now : undefined;
	pool.isUrgent = [...pool.unsavedJobs].some(job => !isActive(job));
	return outputs;
}

/** A record was not as expected: an earlier write of this entry came through after all, or the claim is another's. */
function settleConflict(pool: PoolLedger, {isClaimLost, presentRevisions: found}: JobEventOf<'progress-saved'>): JobOutput[] {
	if (isClaimLost) {
		return [restartEvent({kind: 'claim-superseded', name: `${poolClaimPrefix}${pool.pool}`, token: pool.token})];
	}

	const outputs: JobOutput[] = [];
	for (const [jobId, revision] of found ?? []) {
		const job = pool.jobs.get(jobId);
		if (job !== undefined && job.revision !== revision) {
			job.revision = revision;
			outputs.push(emitLog('info', 'progress record adopted', {job: jobId, revision}));
		}
	}

	const rosterRevision = found?.get(rosterRecordKey);
	if (rosterRevision !== undefined) {
		pool.rosterRevision = rosterRevision;
	}

	return outputs;
}

/** Stands for the roster among the records of a write. @public */
export const rosterRecordKey = '(roster)';

/** The record of a job as it stands. @internal */
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
