import {type AdmissionRecord, type StoredAdmission} from '../model/index.js';

/** An admission record as this entry knows it. @public */
export type KnownAdmission = Omit<StoredAdmission, 'pool'> & {
	/** Monotonic ms at which this entry first saw the revision. */
	readonly seenAt: number;
};

/** What the jobs of this entry's pools may take of its memory. @public */
export type PoolMemory = {
	/** For all pools together, in bytes. */
	readonly maxBytes: number;
	/** Monotonic ms. */
	measuredAt: number;
	/** Pools that take on no more jobs, and since when, in monotonic ms. */
	readonly fullSince: Map<string, number>;
};

/** 15% of the heap limit of the smallest entry of the deploy file, so that one that takes over the pools of another has room for both. */
const defaultMaxJobBytes = 40_000_000;

/** @public */
export type AdmissionState = {
	/** Admission records by pool. A pool that has never been overloaded has none. */
	readonly records: Map<string, KnownAdmission>;
	/** Publications of the pools that this entry owns: when one was last considered, in monotonic ms, and whether a write is open. */
	readonly publications: Map<string, {checkedAt: number; isWriting: boolean}>;
	/** Monotonic ms since when configurations have had accounts; undefined if the present one has none. */
	accountsSince: number | undefined;
	readonly memory: PoolMemory;
};

/** Read-only view of the admission records for other filters. @public */
export type AdmissionView = {readonly admission: {readonly records: ReadonlyMap<string, KnownAdmission>}};

/** @public */
export function createAdmissionState(maxJobBytes = defaultMaxJobBytes): AdmissionState {
	return {
		records: new Map(), publications: new Map(), accountsSince: undefined, memory: {maxBytes: maxJobBytes, measuredAt: Number.NEGATIVE_INFINITY, fullSince: new Map()},
	};
}

/** Creates a record by which no submission is refused. @param wallTime - Unix ms. @internal */
export function createLiftedRecord(wallTime: number, configurationVersion: number): AdmissionRecord {
	return {publishedAt: wallTime, configurationVersion, queues: {}};
}
