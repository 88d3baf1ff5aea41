import {
	poolClaimPrefix, type JobEffectOf, type JobEvent, type StoredAdmission,
} from '@pistachiogauge/jobs';
import {type VirtualJobStore} from './virtual-job-store.js';

/** The admission records of pools in the simulated store. */
export type VirtualAdmissionRecords = {
	readonly records: ReadonlyMap<string, StoredAdmission>;
	readonly callCounts: {read: number; write: number};
	getRecord(pool: string): StoredAdmission;
	/** Returns the record if the write was applied. */
	writeRecord(effect: JobEffectOf<'write-admission'>): StoredAdmission | undefined;
};

/** Creates the records; `publish` receives the changes that watches deliver. */
export function createVirtualAdmissionRecords(store: VirtualJobStore, publish: (changes: readonly JobEvent[]) => void): VirtualAdmissionRecords {
	const records = new Map<string, StoredAdmission>();
	const callCounts = {read: 0, write: 0};
	let lastRevision = 2_000_000;
	const getRecord = (pool: string): StoredAdmission => records.get(pool) ?? {pool, revision: 0, record: undefined};
	return {
		records,
		callCounts,
		getRecord,
		writeRecord({pool, token, revision, record}) {
			callCounts.write += 1;
			const isClaimLost = token !== undefined && store.claims.get(`${poolClaimPrefix}${pool}`)?.token !== token;
			if (isClaimLost || getRecord(pool).revision !== revision) {
				return undefined;
			}

			lastRevision += 1;
			const admission = {pool, revision: lastRevision, record};
			records.set(pool, admission);
			publish([{kind: 'admission-changed', admission}]);
			return admission;
		},
	};
}
