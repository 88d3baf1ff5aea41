import {createHash} from 'node:crypto';
import {
	type AdmissionRecord, type Claim, type JobAddress, type JobLocation, type JobRecord, type Member, type PoolDemandHistory, type PoolReport, type ProgressRecord, type Roster, type ShareRecord, type StoredAdmission, type StoredJob, type StoredShares, type EvacuatedEndpoint, type EvacuationRequest,
} from '@pistachiogauge/jobs';
import {decodeValue, parseJson, type StoreItem} from '@pistachiogauge/platform';
import {recordSchemas} from './record-schemas.js';

/**
Keys of the project's own records in the platform's store. Records that one reader needs together share a prefix, so that one watch covers them.
*/
export const recordKeys = {
	/** Registrations of entries, and claims; every entry watches them. */
	sharedPrefix: 'shared/',
	entryPrefix: 'shared/entry/',
	claimPrefix: 'shared/claim/',
	/** Waits in overloaded pools. Such a record is never deleted, as writes of jobs depend on its revision. */
	admissionPrefix: 'shared/admission/',
	getAdmissionKey: (pool: string) => `shared/admission/${pool}`,
	/** Where a job's records are: one key for each job, so that a job is created once whichever pool its queue belongs to. */
	getJobLocationKey: (jobId: string) => `jobs/${jobId}`,
	/** A cancellation of a job that was not stored; it lies under a lease. The queue and account are hashed, as keys are limited to 200 bytes. */
	getEarlyCancellationKey: (jobId: string, {host, prefix, account}: JobAddress) => `cancelled/${jobId}/${createHash('sha256').update(JSON.stringify([host, prefix, account])).digest('hex').slice(0, 32)}`,
	/** Requests to a pool's owner. */
	getInboxPrefix: (pool: string) => `inbox/${pool}/`,
	getJobKey: (pool: string, jobId: string) => `inbox/${pool}/job/${jobId}`,
	getCancelKey: (pool: string, jobId: string) => `inbox/${pool}/cancel/${jobId}`,
	/** State that a pool's owner maintains. */
	getStatePrefix: (pool: string) => `state/${pool}/`,
	getProgressKey: (pool: string, jobId: string) => `state/${pool}/progress/${jobId}`,
	getRosterKey: (pool: string) => `state/${pool}/roster`,
	/** Records that the holder of the fleet claim and the owners of pools exchange. */
	fleetPrefix: 'fleet/',
	reportPrefix: 'fleet/report/',
	evacuationPrefix: 'fleet/vacate/',
	getEvacuationPoolPrefix: (pool: string) => `fleet/vacate/${pool}/`,
	lastHolderPrefix: 'shared/last/',
	evacuatedPrefix: 'fleet/vacated/',
	getEvacuatedPoolPrefix: (pool: string) => `fleet/vacated/${pool}/`,
	wavePrefix: 'fleet/wave/',
	demandHistoryKey: 'fleet/demand',
	recentOrdersKey: 'fleet/orders',
	/** Shares of the accounts' caps; owners of pools watch them. */
	sharesPrefix: 'shares/',
	getSharesKey: (account: string) => `shares/${encodeURIComponent(account)}`,
} as const;

/** Progress of a wave, stored for the next holder of the fleet claim. @internal */
export type WaveRecord = {readonly maintained: readonly string[]; readonly isDone: boolean};

/** What the holders of the fleet claim have learned of the pools' demand. @internal */
export type DemandHistoryRecord = {readonly history: readonly PoolDemandHistory[]};

/** Machines that a holder of the fleet claim may have ordered in the last seconds, and its token. @internal */
export type RecentOrdersRecord = {readonly token: number; readonly machines: readonly string[]};

/** @internal */
export function encodeRecord(record: AdmissionRecord | ShareRecord | DemandHistoryRecord | RecentOrdersRecord | JobLocation | JobRecord | ProgressRecord | Roster | PoolReport | EvacuationRequest | Pick<EvacuatedEndpoint, 'requestId'> | WaveRecord | Omit<Member, 'node'> | {readonly node: string; readonly incarnation: string} | Record<string, never>): string {
	return JSON.stringify(record);
}

/** Type of the record that belongs to each schema. */
type RecordTypes = {
	readonly admission: AdmissionRecord;
	readonly member: Omit<Member, 'node'>;
	readonly holder: {readonly node: string; readonly incarnation: string};
	readonly job: JobRecord;
	readonly jobLocation: JobLocation;
	readonly progress: ProgressRecord;
	readonly roster: Roster;
	readonly report: PoolReport;
	readonly evacuationRequest: EvacuationRequest;
	readonly evacuated: Pick<EvacuatedEndpoint, 'requestId'>;
	readonly wave: WaveRecord;
	readonly demandHistory: DemandHistoryRecord;
	readonly recentOrders: RecentOrdersRecord;
	readonly shares: ShareRecord;
};

/** Decodes one of the project's own records. @returns Undefined when it was deleted, is not JSON, or does not match the schema. @internal */
export function decodeRecord<Kind extends keyof RecordTypes>(kind: Kind, item: StoreItem): RecordTypes[Kind] | undefined {
	if (item.value === undefined) {
		return undefined;
	}

	return decodeValue(recordSchemas[kind], parseJson(item.value)) as RecordTypes[Kind] | undefined;
}

/** @internal */
export function decodeMember(item: StoreItem): Member | undefined {
	const record = decodeRecord('member', item);
	return record === undefined ? undefined : {...record, node: item.key.slice(recordKeys.entryPrefix.length)};
}

/** @internal */
export function decodeClaim(item: StoreItem): Claim | undefined {
	const record = decodeRecord('holder', item);
	return record === undefined ? undefined : {...record, name: item.key.slice(recordKeys.claimPrefix.length), token: item.revision};
}

/** Creates the progress of a job of which no task has started. @internal */
export function createInitialProgress(job: JobRecord): ProgressRecord {
	return {
		queue: job.queue, account: job.account, status: 'queued', steps: {}, lastRun: 0,
	};
}

/** Creates a stored job with its initial progress, which is written in the same transaction as the job. @internal */
export function createStoredJob(job: JobRecord, revision: number): StoredJob {
	return {
		job, progress: createInitialProgress(job), revision, isCancelled: false,
	};
}

/** Decodes the shares of an account. @returns Undefined when the key names no account; the record is undefined when it was deleted or cannot be decoded. @internal */
export function decodeShares(item: StoreItem): StoredShares | undefined {
	const account = decodeAccountName(item.key.slice(recordKeys.sharesPrefix.length));
	return account === undefined ? undefined : {account, revision: item.revision, record: decodeRecord('shares', item)};
}

/** Decodes the admission record of a pool; the record is undefined when it was deleted or cannot be decoded. @internal */
export function decodeAdmission(item: StoreItem): StoredAdmission {
	return {pool: item.key.slice(recordKeys.admissionPrefix.length), revision: item.value === undefined ? 0 : item.revision, record: decodeRecord('admission', item)};
}

function decodeAccountName(name: string): string | undefined {
	try {
		return decodeURIComponent(name);
	} catch {
		return undefined;
	}
}
