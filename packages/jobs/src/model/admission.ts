import {type DurationModel} from './duration-model.js';

/**
How long newly accepted jobs of a queue would wait, by their work relative to the mean work of the queue.

Each list has an entry for each of `admissionWorkRatios`, in ms.

@public
*/
export type QueueWait = {
	/** Until the jobs are done that can still be in time and would be served before. */
	readonly timely: readonly number[];
	/** The same with those that are late already. */
	readonly total: readonly number[];
};

/** Work relative to the mean of the queue for which waits are published. Jobs above the mean yield about as much for their work as average ones. @public */
export const admissionWorkRatios = [0.25, 0.5, 1] as const;

/** Waits in a queue of an overloaded pool. @public */
export type QueueAdmission = {
	/** Mean work of a job, in thousandths of a core times ms. */
	readonly meanWork: number;
	/** How durations relate to estimates; undefined while nothing is measured. */
	readonly durations: DurationModel | undefined;
	/** By account, the empty name for jobs without one. An account without an entry has no jobs that wait. */
	readonly waits: Readonly<Record<string, QueueWait>>;
};

/**
What the owner of a pool publishes for admission.

It is all that a refusal depends on besides the configuration of its version and the submission, so that all entries decide alike under one revision of it.

@public
*/
export type AdmissionRecord = {
	/** Unix ms. */
	readonly publishedAt: number;
	/** Version of the configuration that the owner used. */
	readonly configurationVersion: number;
	/** Empty when the pool is not overloaded. */
	readonly queues: Readonly<Record<string, QueueAdmission>>;
	/** Time in ms after which callers whose jobs are refused should come back, as the owner has no memory for more jobs; undefined or 0 while it has. */
	readonly fullMs?: number | undefined;
};

/** The record of a pool as read from the store. @public */
export type StoredAdmission = {
	readonly pool: string;
	/** 0 if there is no record. */
	readonly revision: number;
	/** Undefined if there is none, or if it cannot be decoded. */
	readonly record: AdmissionRecord | undefined;
};
