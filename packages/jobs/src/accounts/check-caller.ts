import {
	type CallerAnswer, type CallerRejectionReason, type ClientAccount, type Clocks, type Configuration, type Queue,
} from '../model/index.js';
import {findAccount} from './find-account.js';

/** Result of the check of a caller's key. @public */
export type CallerCheck =
	| {
		readonly kind: 'granted';
		/** Account of the key; undefined for a request without a key to a public queue, or with one that belongs to no account. */
		readonly account: ClientAccount | undefined;
		/** The queue is public, and the request's key was not looked up because the configuration is too old. */
		readonly isKeyUnchecked: boolean;
	}
	| {readonly kind: 'rejected'; readonly reason: CallerRejectionReason; readonly account: ClientAccount | undefined; readonly answer: CallerAnswer};

/** What the check depends on besides the request. @public */
export type CheckBasis = {
	readonly configuration: Configuration;
	/** Clocks before the call that confirmed the configuration last; undefined if none has. */
	readonly confirmedAt: Clocks | undefined;
	/** Undefined where revocation is not strict. */
	readonly strictRevokeMs: number | undefined;
};

/**
Part of the time for a revocation during which a confirmed configuration may be used. The rest covers the difference of clock rates and the time from a caller's request to its check.
*/
const maxAgeFactor = 0.75;
/** Retry time sent with a refusal because of the configuration's age; meanwhile the load balancer routes the caller to another entry. */
const ageRetryAfterMs = 1000;

const unauthorized: CallerAnswer = {kind: 'unauthorized'};
const refusedForAge: CallerAnswer = {kind: 'refused', reason: 'the configuration has not been confirmed recently', retryAfterMs: ageRetryAfterMs};

/**
Whether the configuration may lack the removal of a key that must be refused by now. It never is where revocation is not strict or the configuration has no accounts.

The age is the larger of the differences of both clocks: the monotonic clock stands still while a machine is suspended, and the wall clock may be set back.

@public
*/
export function isConfigurationTooOld({configuration, confirmedAt, strictRevokeMs}: CheckBasis, clocks: Clocks): boolean {
	if (strictRevokeMs === undefined || configuration.accounts === undefined) {
		return false;
	}

	return confirmedAt === undefined || Math.max(clocks.now - confirmedAt.now, clocks.wallTime - confirmedAt.wallTime) > maxAgeFactor * strictRevokeMs;
}

/**
Checks whether a caller may use a queue.

@param keyHash - SHA-256 hash of the request's key in lower-case hexadecimal; undefined if it carries none.
@public
*/
export function checkCaller(basis: CheckBasis, queue: Queue, keyHash: string | undefined, clocks: Clocks): CallerCheck {
	const isTooOld = isConfigurationTooOld(basis, clocks);
	const account = keyHash === undefined ? undefined : findAccount(basis.configuration.accounts ?? [], keyHash);
	if (queue.isPublic) {
		return {kind: 'granted', account: isTooOld ? undefined : account, isKeyUnchecked: isTooOld && keyHash !== undefined};
	}

	if (keyHash === undefined) {
		return {
			kind: 'rejected', reason: 'no-key', account, answer: unauthorized,
		};
	}

	// A key that is unknown to an old configuration may have been added since.
	if (isTooOld) {
		return {
			kind: 'rejected', reason: 'configuration-age', account, answer: refusedForAge,
		};
	}

	return account === undefined
		? {
			kind: 'rejected', reason: 'unknown-key', account, answer: unauthorized,
		}
		: {kind: 'granted', account, isKeyUnchecked: false};
}
