import {
	type Claim, type JobRecord, type Member, type PoolReport, type ProgressRecord, type Roster, type StoredJob, type EvacuatedEndpoint, type EvacuationRequest,
} from '@pistachiogauge/jobs';
import {type StoreItem} from '@pistachiogauge/platform';

/**
Keys of the project's own records in the platform's store. What one reader needs together stands under one prefix, so that one watch serves it.
*/
export const recordKeys = {
	/** Entries and claims; every entry follows them. */
	sharedPrefix: 'shared/',
	entryPrefix: 'shared/entry/',
	claimPrefix: 'shared/claim/',
	/** What is asked of a pool's owner. */
	getInboxPrefix: (pool: string) => `inbox/${pool}/`,
	getJobKey: (pool: string, jobId: string) => `inbox/${pool}/job/${jobId}`,
	getCancelKey: (pool: string, jobId: string) => `inbox/${pool}/cancel/${jobId}`,
	/** What a pool's owner keeps. */
	getStatePrefix: (pool: string) => `state/${pool}/`,
	getProgressKey: (pool: string, jobId: string) => `state/${pool}/progress/${jobId}`,
	getRosterKey: (pool: string) => `state/${pool}/roster`,
	/** What the fleet's holder and the owners tell each other. */
	fleetPrefix: 'fleet/',
	reportPrefix: 'fleet/report/',
	evacuationPrefix: 'fleet/vacate/',
	getEvacuationPoolPrefix: (pool: string) => `fleet/vacate/${pool}/`,
	lastHolderPrefix: 'shared/last/',
	evacuatedPrefix: 'fleet/vacated/',
	wavePrefix: 'fleet/wave/',
} as const;

/** Progress of a wave as kept for the next holder. @internal */
export type WaveRecord = {readonly maintained: readonly string[]; readonly isDone: boolean};

/** @internal */
export function encodeRecord(record: JobRecord | ProgressRecord | Roster | PoolReport | EvacuationRequest | Pick<EvacuatedEndpoint, 'requestId'> | WaveRecord | Omit<Member, 'node'> | {readonly node: string; readonly incarnation: string} | Record<string, never>): string {
	return JSON.stringify(record);
}

/**
Decodes one of the project's own records.

Only entries of this project write under these keys, so the text is trusted to hold what its key says; a text that is no JSON is left out.

@internal
*/
export function decodeRecord<Record>(item: StoreItem): Record | undefined {
	if (item.value === undefined) {
		return undefined;
	}

	try {
		return JSON.parse(item.value) as Record;
	} catch {
		return undefined;
	}
}

/** @internal */
export function decodeMember(item: StoreItem): Member | undefined {
	const record = decodeRecord<Omit<Member, 'node'>>(item);
	return record === undefined ? undefined : {...record, node: item.key.slice(recordKeys.entryPrefix.length)};
}

/** @internal */
export function decodeClaim(item: StoreItem): Claim | undefined {
	const record = decodeRecord<{readonly node: string; readonly incarnation: string}>(item);
	return record === undefined ? undefined : {...record, name: item.key.slice(recordKeys.claimPrefix.length), token: item.revision};
}

/** Progress of a job of which no task has been started. @internal */
export function createProgress(job: JobRecord): ProgressRecord {
	return {
		queue: job.queue, status: 'queued', steps: {}, lastRun: 0,
	};
}

/** A job whose progress record is as it was created, with the job's own. @internal */
export function createStoredJob(job: JobRecord, revision: number): StoredJob {
	return {
		job, progress: createProgress(job), revision, isCancelled: false,
	};
}
