import {
	type JobEvent, type JobEventOf, type JobEffectOf, type JobLocation,
} from '@pistachiogauge/jobs';
import {type StoreClient, type StoreItem} from '@pistachiogauge/platform';
import {
	createInitialProgress, createStoredJob, decodeRecord, encodeRecord, recordKeys,
} from './job-records.js';
import {writeResults} from './write-results.js';

type JobStore = Pick<StoreClient, 'readItem' | 'applyTransaction'>;

/**
Creates the records of a job on condition that its id has none.

@returns The event `job-recorded` for the pool's owner if the job was created, and the result for the caller's request.
@throws If the outcome cannot be read.
@internal
*/
export async function storeJob(store: JobStore, {requestId, job, location, admissionRevision}: JobEffectOf<'store-job'>): Promise<readonly JobEvent[]> {
	const progressKey = recordKeys.getProgressKey(job.pool, job.id);
	const locationKey = recordKeys.getJobLocationKey(job.id);
	const cancellationKey = recordKeys.getEarlyCancellationKey(job.id, location);
	const createResult = (result: JobEventOf<'job-stored'>['result'], stored?: JobLocation): JobEvent => ({
		kind: 'job-stored', requestId, result, location: stored,
	});
	const result = await store.applyTransaction({
		conditions: [
			{key: locationKey, revision: 0},
			{key: cancellationKey, revision: 0},
			// An entry of an earlier version writes no location.
			{key: progressKey, revision: 0},
			...(admissionRevision === undefined ? [] : [{key: recordKeys.getAdmissionKey(job.pool), revision: admissionRevision}]),
		],
		puts: [
			{key: locationKey, value: encodeRecord(location)},
			{key: recordKeys.getJobKey(job.pool, job.id), value: encodeRecord(job)},
			{key: progressKey, value: encodeRecord(createInitialProgress(job))},
		],
	});
	if (result.kind === 'applied') {
		// The pool's owner learns of the job from its watch; if this entry is the owner, it learns of it at once.
		return [{kind: 'job-recorded', stored: createStoredJob(job, result.revision)}, createResult('applied')];
	}

	if (result.kind === 'unknown') {
		const stored = await readJobLocation(store, job.id);
		return [createResult(stored === undefined ? 'unknown' : 'conflict', stored)];
	}

	if (result.kind !== 'conflict') {
		return [createResult(writeResults[result.kind])];
	}

	const isPresent = (key: string) => (result.revisions.get(key) ?? 0) !== 0;
	if (isPresent(locationKey) || isPresent(progressKey)) {
		return [createResult('conflict', decodeLocation(locationKey, result))];
	}

	return [createResult(isPresent(cancellationKey) ? 'cancelled' : 'superseded')];
}

/** @returns Undefined if no job has the id, or one that an entry of an earlier version has stored. @throws If the record cannot be read. @internal */
export async function readJobLocation(store: Pick<StoreClient, 'readItem'>, jobId: string): Promise<JobLocation | undefined> {
	const item = await store.readItem(recordKeys.getJobLocationKey(jobId));
	return item === undefined ? undefined : decodeExistingLocation(item);
}

function decodeLocation(key: string, {revisions, values}: {readonly revisions: ReadonlyMap<string, number>; readonly values: ReadonlyMap<string, string>}): JobLocation | undefined {
	const value = values.get(key);
	return value === undefined ? undefined : decodeExistingLocation({key, value, revision: revisions.get(key) ?? 0});
}

function decodeExistingLocation(item: StoreItem): JobLocation {
	const location = decodeRecord('jobLocation', item);
	if (location === undefined) {
		// The job exists, so the caller must not be told otherwise.
		throw new Error(`the location of the job cannot be decoded: ${item.key}, revision ${item.revision}`);
	}

	return location;
}
