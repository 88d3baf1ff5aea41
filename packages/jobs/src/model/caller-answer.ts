import {type JobStatus} from './job.js';

/** Answer to a caller, independent of its encoding. @public */
export type CallerAnswer =
	| {readonly kind: 'accepted'}
	| {readonly kind: 'status'; readonly status: JobStatus}
	| {readonly kind: 'waiting'; readonly waiting: number}
	| {readonly kind: 'cancelled'}
	| {readonly kind: 'unknown-queue'}
	| {readonly kind: 'unknown-job'}
	/** The request carries no API key that is valid for the queue. */
	| {readonly kind: 'unauthorized'}
	| {readonly kind: 'invalid'; readonly message: string}
	/** Not accepted; nothing will run because of this request. */
	| {readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs: number}
	/** It is unknown whether the request took effect; sending the same request again is safe. */
	| {readonly kind: 'undecided'; readonly reason: string};
