import {type Bundle, type SignedBundle} from './bundle.js';
import {type EntryId, type ZoneName} from './identifiers.js';

/** Intervals and time limits of an entry, all in milliseconds. @public */
export type EntryTimings = {
	/** Interval between heartbeats to every other member. */
	readonly heartbeatMs: number;
	/** Validity of a voucher, counted from the time at which it was requested. */
	readonly voucherMs: number;
	/** Added to the validity of vouchers before a pool changes its owner; covers clock drift. */
	readonly driftMs: number;
	/** Time without a message after which a member is suspected of having failed. */
	readonly suspectMs: number;
	/** Maximum allowed difference between a caller's clock and an entry's clock. */
	readonly clockSkewMs: number;
	/** Retention period of the outcomes of non-idempotent requests. */
	readonly keyRetentionMs: number;
	/** Time limit for an endpoint's response if the caller sets no deadline. */
	readonly defaultDeadlineMs: number;
};

/** Result of verifying a signed bundle. @public */
export type BundleVerification =
	| {readonly kind: 'valid'; readonly bundle: Bundle}
	| {readonly kind: 'invalid'; readonly reason: string};

/** Configuration of an entry as the decisions see it. @public */
export type EntryConfig = {
	readonly id: EntryId;
	readonly zone: ZoneName;
	/** IPv4 address and port of the peer listener. */
	readonly peerAddress: string;
	readonly timings: EntryTimings;
	/** Verifies the signature of a bundle and parses its text; returns the reason if either fails. */
	readonly verifyBundle: (bundle: SignedBundle) => BundleVerification;
};

/** @public */
export const defaultTimings: EntryTimings = {
	heartbeatMs: 250,
	voucherMs: 1000,
	driftMs: 100,
	suspectMs: 1000,
	clockSkewMs: 5000,
	keyRetentionMs: 86_400_000,
	defaultDeadlineMs: 10_000,
};
