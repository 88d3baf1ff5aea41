import {type CallerAnswer} from './caller-answer.js';
import {type JobSpec} from './job.js';

/** What a caller's request asks for. @public */
export type CallerAction = 'submit' | 'get' | 'cancel' | 'count';

/** What it takes to relay a caller's request. @public */
export type CallerOrigin = {
	/** Host and path as given by the caller; a peer finds the queue in its own configuration. */
	readonly host: string;
	readonly path: string;
	/** Monotonic ms by which the caller expects an answer. */
	readonly answerBy: number;
};

/** A caller's request as it is sent to a peer. @public */
export type RelayedRequest = {
	readonly action: CallerAction;
	readonly host: string;
	readonly path: string;
	readonly spec: JobSpec | undefined;
	/** See the event `caller-requested`. */
	readonly keyHash: string | undefined;
};

/** What became of a request at a peer. @public */
export type RelayResult =
	| {readonly kind: 'answered'; readonly answer: CallerAnswer}
	/** The peer could not be connected to or did not take the request, so nothing was done. */
	| {readonly kind: 'unavailable'}
	/** No valid answer in time: the request may have been carried out, or may still be. */
	| {readonly kind: 'silent'};
